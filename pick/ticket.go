package pick

import "time"

// Ticket is one attempt of a request on a server.
type Ticket struct {
	balancer *Book
	serverID string
	domain   string
	service  string
	load     Load
	work     Work
	started  time.Time
	// uncachedTokens is the number of prompt tokens that the server had to
	// prefill. serverIdle is set when it had nearly no other work.
	uncachedTokens   int
	serverIdle       bool
	prefilled, ended bool
}

// maxIdleRunning is the number of running requests up to which the prefill time
// of a prompt is nearly unaffected.
const maxIdleRunning = 3

// Begin adds a request to the load of the chosen server, whose KV cache has kv tokens.
func (b *Book) Begin(now time.Time, c Choice, w Work, kv int) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serverState(c.Server.ID)
	t := &Ticket{
		balancer: b, serverID: c.Server.ID, domain: c.Server.Domain, service: c.Server.Service, work: w, started: now, uncachedTokens: c.Missing,
		serverIdle: c.Load.Reading == 0 && c.Load.Running <= maxIdleRunning,
		load:       Load{Running: 1, Reading: c.Reading, Tokens: w.Prompt + w.Output/2},
	}
	s.local = s.local.Plus(t.load)
	s.addAdapterUse(w, 1)
	if w.Model != "" {
		s.cache.add(now, w, w.prefixKeys(), int(prefixCacheShare*float64(kv)))
	}
	return t
}

// First records the first event: the prefill is complete.
func (t *Ticket) First(now time.Time) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.serverIdle && !t.prefilled && !t.ended {
		t.balancer.learnPrefillRate(t.work, t.uncachedTokens, now.Sub(t.started))
	}
	t.endPrefill()
}

func (t *Ticket) endPrefill() {
	if !t.prefilled {
		t.prefilled = true
		t.balancer.serverState(t.serverID).local.Reading -= t.load.Reading
	}
}

// Verdict is the result of an attempt, as evidence about the server.
type Verdict int

// Results of an attempt.
const (
	// Neutral is no evidence: the caller disconnected, or the server was shutting down.
	Neutral Verdict = iota
	// Good is a complete response.
	Good
	// Refused is a refusal without execution: the server is full or restarting.
	Refused
	// Bad is an error, a truncated or invalid response, or a timeout.
	Bad
)

// Weights of a result in the moving average of failures: a server that fails a
// third of its requests is avoided after two or three failures.
const (
	failureWeight      = 0.35
	refusedWeight      = 0.1
	successWeight      = 0.2
	responseTimeWeight = 0.2
)

// End removes the request from the load of the server and records its result.
func (t *Ticket) End(now time.Time, v Verdict) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.endPrefill()
	s := t.balancer.serverState(t.serverID)
	s.addAdapterUse(t.work, -1)
	s.local.Running--
	s.local.Tokens -= t.load.Tokens
	s.failures.record(now, v)
	// A server's failure counts against its domain only while the domain has failed connections.
	if f := t.balancer.domainFailureRate(t.domain); v == Good || f.rate > 0 {
		f.record(now, v)
	}
	if v == Good && t.work.Model != "" {
		t.balancer.recordModelResponse(t.service, now.Sub(t.started))
	}
	if v == Good {
		took := now.Sub(t.started)
		if t.balancer.responseTimes == nil {
			t.balancer.responseTimes = make(map[string]time.Duration)
		}
		s.responseTime = movingAverage(s.responseTime, took)
		t.balancer.responseTimes[t.service] = movingAverage(t.balancer.responseTimes[t.service], took)
	}
}

// recordModelResponse records the time of a complete response of a model server. b.mu is held.
func (b *Book) recordModelResponse(service string, took time.Duration) {
	if b.modelResponseTimes == nil {
		b.modelResponseTimes = make(map[string]time.Duration)
	}
	average := b.modelResponseTime(service)
	b.modelResponseTimes[service] = average + time.Duration(modelResponseWeight*float64(took-average))
}

// movingAverage moves a mean towards a new value; a zero mean is replaced by the value.
func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(responseTimeWeight*float64(value-mean))
}
