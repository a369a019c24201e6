package pick

import (
	"cmp"
	"time"
)

// Attempt is one send of a request to one server.
type Attempt struct {
	balancer *Balancer
	serverID string
	domain   string
	service  string
	load     Load
	work     Work
	started  time.Time
	// uncachedTokens is the number of prompt tokens that the server had to
	// prefill. serverIdle is set when it had nearly no other work, serverQuiet when
	// it had too little to delay the tokens of a stream.
	uncachedTokens          int
	serverIdle, serverQuiet bool
	// pace is the pace of the server at the start, eventPace that at the first event, which
	// came at firstEventAt.
	pace, eventPace  float64
	firstEventAt     time.Time
	prefilled, ended bool
	// predicted is the predicted time to the first event. events is the number of events of a complete stream, streamTook the
	// time from the first to the last one, and longestPause the longest time between two.
	predicted, streamTook, longestPause time.Duration
	events                              int
}

// maxIdleRunning is the number of running requests up to which the prefill time
// of a prompt is nearly unaffected.
const maxIdleRunning = 3

// Begin adds a request to the load of the chosen server, whose KV cache has kvTokens
// tokens.
func (b *Balancer) Begin(now time.Time, c Choice, w Work, kvTokens int) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serverState(c.Server.ID)
	a := &Attempt{
		balancer: b, serverID: c.Server.ID, domain: c.Server.Domain, service: c.Server.Service, work: w, started: now, uncachedTokens: c.UncachedTokens,
		serverIdle: c.Load.PrefillTime == 0 && c.Load.Running <= maxIdleRunning, serverQuiet: quiet(c.Load, c.Server, w), pace: cmp.Or(c.Pace, 1), predicted: c.PredictedTime,
		load: Load{Running: 1, KVTokens: w.PromptTokens + w.MaxOutputTokens/2}.withPrefill(w.serverPriority(), c.PrefillTime),
	}
	s.local = s.local.Add(a.load)
	b.addRunning(a)
	s.addAdapterUse(w, 1)
	if w.Model != "" {
		s.cache.add(now, w, w.prefixKeys(), int(prefixCacheShare*float64(kvTokens)))
	}
	return a
}

// FirstEvent records the first event: the prefill is complete.
func (a *Attempt) FirstEvent(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.prefilled {
		// The head of the response has reported the pace during the prefill.
		a.eventPace, a.firstEventAt = a.balancer.pace(now, a.serverID), now
	}
	if a.serverIdle && !a.prefilled && !a.ended {
		a.observePrefill(now)
		a.balancer.updatePrefillRate(a.work, a.uncachedTokens, now.Sub(a.started), a.eventPace)
	}
	if !a.prefilled && !a.ended {
		a.balancer.recordServed(now, a.service, a.work, true)
	}
	a.endPrefill()
}

func (a *Attempt) endPrefill() {
	if !a.prefilled {
		a.prefilled = true
		s := a.balancer.serverState(a.serverID)
		s.local = s.local.Sub(Load{}.withPrefill(a.work.serverPriority(), a.load.PrefillTime))
	}
}

// Result is the result of an attempt, as evidence about the server.
type Result int

// Results of an attempt.
const (
	// Neutral is no evidence: the caller disconnected, or the server was shutting down.
	Neutral Result = iota
	// Succeeded is a complete response.
	Succeeded
	// Refused is a refusal without execution: the server is full or restarting.
	Refused
	// Failed is an error, a broken or forged response, or a timeout.
	Failed
)

// Weights of a sample in the moving averages of failures and response times. A server
// that fails a third of its requests is avoided after two or three failures.
const (
	failureWeight      = 0.35
	refusedWeight      = 0.1
	successWeight      = 0.2
	responseTimeWeight = 0.2
)

// End removes the request from the load of the server and records its result.
func (a *Attempt) End(now time.Time, result Result) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(a.balancer.running, a)
	if !a.prefilled && (result == Succeeded || result == Neutral) {
		// Without a first event, Neutral means that the caller has disconnected.
		a.balancer.recordServed(now, a.service, a.work, result == Succeeded)
	}
	a.endPrefill()
	s := a.balancer.serverState(a.serverID)
	s.addAdapterUse(a.work, -1)
	s.local = s.local.Sub(Load{Running: 1, KVTokens: a.load.KVTokens})
	s.failures.record(now, result)
	// A server's failure counts against its failure domain only if connections to the domain have failed.
	if f := a.balancer.domainFailureRate(a.domain); result == Succeeded || f.rate > 0 {
		f.record(now, result)
	}
	if result == Succeeded {
		took := now.Sub(a.started)
		usual := scale(took, 2/(a.pace+a.balancer.pace(now, a.serverID)))
		if a.work.Model != "" {
			a.balancer.recordModelResponse(a.service, usual)
		}
		a.observeResponse(now, took)
		a.balancer.recordResponseSpread(a.work, usual)
		a.balancer.recordLongest(a, usual)
		if a.balancer.responseTimes == nil {
			a.balancer.responseTimes = make(map[string]time.Duration)
		}
		s.responseTime = movingAverage(s.responseTime, took)
		a.balancer.responseTimes[a.service] = movingAverage(a.balancer.responseTimes[a.service], usual)
	}
}

// recordModelResponse records the time of a complete response of a model server. b.mu is held.
func (b *Balancer) recordModelResponse(service string, took time.Duration) {
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
