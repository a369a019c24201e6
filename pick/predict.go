package pick

import (
	"cmp"
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

const (
	// defaultPrefillTokensPerMs is the prefill rate of the largest model until
	// responses have been measured. Decode steps of running requests between chunks
	// lower the rate of an idle server.
	defaultPrefillTokensPerMs = 32.0
	// prefillRateWeight is the weight of one response in the moving average of a
	// model's prefill rate. minPrefillTokensPerMs and maxPrefillTokensPerMs bound
	// the samples. Prompts below minPrefillSampleTokens are not sampled, because
	// network latency and the first decode step outweigh their prefill time.
	prefillRateWeight      = 0.1
	minPrefillTokensPerMs  = 8.0
	maxPrefillTokensPerMs  = 400.0
	minPrefillSampleTokens = 200
	// runningRequestCost is what each running request adds to the time to first
	// token: it lengthens a decode step by microseconds, and some tens of steps
	// run before the first token.
	runningRequestCost = 300 * time.Microsecond
	// crossDomainCost is the cost of another failure domain in time: one network
	// round trip and the transfer across domains.
	crossDomainCost = 4 * time.Millisecond
	// newConnectionCost is the cost of a new connection in time: it occupies a
	// slot of the server and takes a round trip and a millisecond of server work.
	newConnectionCost = 6 * time.Millisecond
	// defaultResponseTime is the response time of a service without models until
	// responses have been measured.
	defaultResponseTime = 20 * time.Millisecond
	// defaultModelResponseTime is the time of a complete response of a model
	// server until responses have been measured. modelResponseWeight is the weight
	// of one response in the average; it is small because kinds of requests differ
	// by a factor of five.
	defaultModelResponseTime = 700 * time.Millisecond
	modelResponseWeight      = 0.02
	// prefixCacheShare is the share of a server's KV cache assumed to hold cached
	// prompts; running requests use the rest.
	prefixCacheShare = 0.7
	// assumedPrefixShare is the share of a shared prefix that its server is
	// assumed to have cached for other VMs before this VM has sent it there.
	assumedPrefixShare = 0.6
	// kvPreemptionShare is the KV cache usage above which a server preempts
	// running streams. It leaves capacity for the tokens still to be generated.
	kvPreemptionShare = 0.85
	// preemptionCost is the cost of the preemption that a request beyond
	// kvPreemptionShare causes.
	preemptionCost = 2 * time.Second
	// failureCost is the cost of a certain failure: the request misses its
	// objective, and a request that must not run twice is lost.
	failureCost = 3 * time.Second
)

// slotBacklog returns the time that a server needs for the responses it is
// generating, each of which occupies one slot. Requests are distributed so that
// prefill and decode together are balanced. With prefill alone, a server with
// short prompts and no free slot would rank equal to an empty one, and requests
// would wait there for a slot.
func (b *Balancer) slotBacklog(e backs.Entry) time.Duration {
	if e.Slots == 0 {
		return 0
	}
	s := b.serverState(e.ID)
	return time.Duration(s.local.Running+s.remote.Running) * b.modelResponseTime(e.Service) / time.Duration(e.Slots)
}

// modelResponseTime returns the average time of a complete response of a model server.
func (b *Balancer) modelResponseTime(service string) time.Duration {
	return cmp.Or(b.modelResponseTimes[service], defaultModelResponseTime)
}

// predict returns the choice of a server with its predicted time. If assumeShared is set, the server counts as having
// cached a part of the prompt's shared prefix for other VMs.
func (b *Balancer) predict(now time.Time, e backs.Entry, w Work, prefixKeys []uint64, assumeShared bool) Choice {
	s := b.serverState(e.ID)
	load, pace := s.local.Add(s.remote), b.pace(now, e.ID)
	if w.Model == "" {
		serviceAverage := scale(cmp.Or(b.responseTimes[e.Service], defaultResponseTime), pace)
		return Choice{Server: e, PredictedTime: s.predictResponseTime(serviceAverage, load, e.Slots), Load: load, Pace: pace}
	}
	cachedTokens := s.cache.hitTokens(w, prefixKeys)
	if assumeShared {
		cachedTokens = max(cachedTokens, int(assumedPrefixShare*float64(sharedPrefixTokens(w))))
	}
	uncached := max(w.PromptTokens-cachedTokens, 1)
	prefill := time.Duration(pace * float64(uncached) / b.prefillRate(w) * float64(time.Millisecond))
	queueTime, overtaken := b.queueTimes(now, e, w)
	return Choice{Server: e, UncachedTokens: uncached, QueueTime: queueTime, OvertakenTime: overtaken, PrefillTime: prefill, Load: load, Pace: pace, PredictedTime: queueTime + prefill}
}

// prefillRate returns the prefill rate of the work's model in tokens per
// millisecond. Without measurements, larger models are assumed to be slower in
// proportion to their size.
func (b *Balancer) prefillRate(w Work) float64 {
	if r, ok := b.prefillRates[w.Model]; ok {
		return r
	}
	if w.RelativeModelSize > 0 {
		return min(defaultPrefillTokensPerMs/w.RelativeModelSize, maxPrefillTokensPerMs)
	}
	return defaultPrefillTokensPerMs
}

// updatePrefillRate updates a model's prefill rate with a measurement: the time in
// which an idle server with a pace prefilled a number of prompt tokens.
func (b *Balancer) updatePrefillRate(w Work, tokens int, took time.Duration, pace float64) {
	if took = scale(took-firstEventOverhead, 1/pace); tokens < minPrefillSampleTokens || took <= 0 {
		return
	}
	if b.prefillRates == nil {
		b.prefillRates = make(map[string]float64)
	}
	observed := min(max(float64(tokens)/(took.Seconds()*1000), minPrefillTokensPerMs), maxPrefillTokensPerMs)
	rate := b.prefillRate(w)
	b.prefillRates[w.Model] = rate + prefillRateWeight*(observed-rate)
}

func sharedPrefixTokens(w Work) int {
	tokens := 0
	for _, p := range w.PromptParts[:max(len(w.PromptParts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// predictResponseTime predicts the response time of a service without models: the
// number of rounds of requests ahead of this one times the average response time.
// A server without responses gets the average of the service at its pace, so that it is tried.
func (s *serverState) predictResponseTime(serviceAverage time.Duration, load Load, slots int) time.Duration {
	took := s.responseTime
	if took == 0 {
		took = serviceAverage
	}
	rounds := float64(load.Running+1) / float64(max(slots, 1))
	return time.Duration(float64(took) * math.Max(1, rounds) * (1 + 0.2*rounds))
}

// penalty returns the cost of a server beside its response time: distance, recent
// failures and a KV cache that is nearly full.
func (b *Balancer) penalty(now time.Time, e backs.Entry, w Work, kvTokens int) time.Duration {
	s := b.serverState(e.ID)
	cost := time.Duration(s.failures.now(now) * float64(failureCost))
	if e.Domain != b.Domain {
		cost += crossDomainCost + time.Duration(b.domainFailures[e.Domain].now(now)*float64(failureCost))
	}
	if s.mayPreempt(w, kvTokens) {
		cost += preemptionCost
	}
	if e.WarmupRemaining > 0 {
		cost += defaultResponseTime
	}
	if w.Model == "" && !b.hasIdleConn(e) {
		cost += newConnectionCost
	}
	return cost
}

// mayPreempt reports whether a server whose KV cache has kvTokens, 0 when unknown, would be so full with one more
// request that it preempts running streams.
func (s *serverState) mayPreempt(w Work, kvTokens int) bool {
	if w.Model == "" || kvTokens <= 0 {
		return false
	}
	needed := s.local.KVTokens + s.remote.KVTokens + w.PromptTokens + w.MaxOutputTokens
	return float64(needed) > kvPreemptionShare*float64(kvTokens)
}

// hasIdleConn reports whether an idle connection to a server is open.
func (b *Balancer) hasIdleConn(e backs.Entry) bool {
	return b.HasIdleConn == nil || b.HasIdleConn(e.ID)
}
