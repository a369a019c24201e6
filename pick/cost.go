package pick

import (
	"cmp"
	"time"
)

// Load pattern: demand moves between models, some of which run four times as fast as
// others, and prompts are short or long. The number of requests or tokens does not
// determine how many servers a model needs. The demand is therefore measured as the
// share of a server's time that the requests take: prefill, during which the server
// does nothing else, and the decode time divided by the number of slots.

const (
	// defaultOutputShare is the assumed output as a share of the maximum output tokens,
	// until responses have been measured. outputShareWeight is the weight of one response.
	defaultOutputShare = 0.5
	outputShareWeight  = 0.02
	// defaultTokenTime is the decode time of a token of the largest model until responses
	// have been measured.
	defaultTokenTime = 5 * time.Millisecond
	// fasterTokenTimeWeight and slowerTokenTimeWeight are the weights of a response whose
	// events arrived faster, or slower, than the average. The average should approach the
	// token time of a server without prefill, and most servers have some.
	fasterTokenTimeWeight = 0.2
	slowerTokenTimeWeight = 0.02
	// firstEventOverhead is the part of the time to first event that is not prefill:
	// network latency and a decode step of some 5 ms.
	firstEventOverhead = 7 * time.Millisecond
)

// Cost returns the server time that a request takes: its prefill time plus its decode time
// divided by the number of slots.
func (b *Balancer) Cost(w Work) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	prefill := time.Duration(b.unsharedPrefillMs(w) * float64(time.Millisecond))
	return prefill + b.decodeTime(w)/time.Duration(max(w.Slots, 1))
}

// decodeTime returns the time to generate the response to a request on a server
// without prefill work. b.mu is held.
func (b *Balancer) decodeTime(w Work) time.Duration {
	return time.Duration(b.expectedOutputTokens(w) * float64(b.tokenTime(w)))
}

// expectedOutputTokens returns the expected length of a response in tokens. b.mu is held.
func (b *Balancer) expectedOutputTokens(w Work) float64 {
	share, ok := b.outputShares[w.Route]
	if !ok {
		share = defaultOutputShare
	}
	return share * float64(w.MaxOutputTokens)
}

// tokenTime returns the decode time of a token of the work's model. b.mu is held.
func (b *Balancer) tokenTime(w Work) time.Duration {
	if d, ok := b.tokenTimes[w.Model]; ok {
		return d
	}
	if w.RelativeModelSize > 0 {
		return time.Duration(w.RelativeModelSize * float64(defaultTokenTime))
	}
	return defaultTokenTime
}

// StreamCompleted records a complete response: its number of events and the time from the
// first to the last one.
func (a *Attempt) StreamCompleted(events int, took time.Duration) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = a.started
	}
	a.events, a.streamTook = events, took
	end := a.firstEventAt.Add(took)
	a.observeStream(end, events, took)
	a.balancer.recordStream(a.work, events, scale(took, 2/(cmp.Or(a.eventPace, a.pace)+a.balancer.pace(end, a.serverID))))
}

// recordStream records the output and the token time of a stream; took is its time at a pace of 1. b.mu is held.
func (b *Balancer) recordStream(w Work, events int, took time.Duration) {
	if w.MaxOutputTokens <= 0 || w.TokensPerEvent <= 0 || events <= 0 {
		return
	}
	if b.outputShares == nil {
		b.outputShares, b.tokenTimes = make(map[string]float64), make(map[string]time.Duration)
	}
	share, ok := b.outputShares[w.Route]
	if !ok {
		share = defaultOutputShare
	}
	b.outputShares[w.Route] = share + outputShareWeight*(float64(events*w.TokensPerEvent)/float64(w.MaxOutputTokens)-share)
	if events < 2 {
		return
	}
	observed := took / time.Duration((events-1)*w.TokensPerEvent)
	weight := fasterTokenTimeWeight
	if observed > b.tokenTime(w) {
		weight = slowerTokenTimeWeight
	}
	b.tokenTimes[w.Model] = b.tokenTime(w) + time.Duration(weight*float64(observed-b.tokenTime(w)))
}
