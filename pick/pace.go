package pick

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Load pattern: servers of one service differ in speed by 2.2 times. With one prefill rate and one token time for all of
// them, the slow ones get as many requests as the fast ones, their queues are longer than predicted, and a request that is
// predicted to be in time is late there.
//
// The rates are therefore those of a server with a pace of 1, and each server takes its pace times as long. Measurements of
// the rates are divided by the pace of their server, and their ratios to the predictions are reported, so that the pace can
// be compared with what responses show.

const (
	// maxMeasuredPrefill and measuredSlotShare are the pending prefill and the share of occupied slots up to which the token
	// time of a stream counts as evidence of the server's pace. A short prompt takes some 30 ms, and each running request
	// lengthens a decode step by microseconds only.
	maxMeasuredPrefill = 50 * time.Millisecond
	measuredSlotShare  = 0.25
	// minMeasuredEvents is the number of events from which the token time of a stream is such evidence. The time of fewer
	// depends on when each was read.
	minMeasuredEvents = 8
)

// pace returns how long work sent now takes on a server, 1 as usual.
func (b *Balancer) pace(now time.Time, id string) float64 {
	if b.Pace == nil {
		return 1
	}
	return b.Pace(now, id)
}

// observe reports the time of a response divided by the time predicted at a pace of 1.
func (b *Balancer) observe(now time.Time, id string, took, predicted float64) {
	if b.Observed != nil && took > 0 && predicted > 0 {
		b.Observed(now, id, took/predicted)
	}
}

// scale multiplies a time by a factor. A factor of 1 leaves it as it is.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(factor * float64(d))
}

// extraPrefill returns how much longer the prefill of a request takes on a server with a pace than on one with a pace of 1.
// It is negative for faster servers. b.mu is held.
func (b *Balancer) extraPrefill(w Work, pace float64) time.Duration {
	if pace == 1 {
		return 0
	}
	return time.Duration((pace - 1) * b.unsharedPrefillMs(w) * float64(time.Millisecond))
}

// unsharedPrefillMs returns the milliseconds that the prefill of a request takes at a pace of 1, on a server that has cached the
// assumed part of its shared prefix. b.mu is held.
func (b *Balancer) unsharedPrefillMs(w Work) float64 {
	return max(float64(w.PromptTokens)-assumedPrefixShare*float64(sharedPrefixTokens(w)), 1) / b.prefillRate(w)
}

// observePrefill reports the prefill time of a prompt on an idle server. b.mu is held.
func (a *Attempt) observePrefill(now time.Time) {
	b, took := a.balancer, now.Sub(a.started)-firstEventOverhead
	if _, measured := b.prefillRates[a.work.Model]; measured && a.uncachedTokens >= minPrefillSampleTokens {
		b.observe(now, a.serverID, took.Seconds()*1000, float64(a.uncachedTokens)/b.prefillRate(a.work))
	}
}

// observeStream reports the token time of a stream that began while the server had little other work. b.mu is held.
func (a *Attempt) observeStream(now time.Time, events int, took time.Duration) {
	b := a.balancer
	tokenTime, measured := b.tokenTimes[a.work.Model]
	if measured && a.serverQuiet && events >= minMeasuredEvents && a.work.TokensPerEvent > 0 {
		b.observe(now, a.serverID, float64(took)/float64((events-1)*a.work.TokensPerEvent), float64(tokenTime))
	}
}

// observeResponse reports the time of a complete response of a service without models that waited for no other. b.mu is held.
func (a *Attempt) observeResponse(now time.Time, took time.Duration) {
	if a.work.Model == "" && a.serverQuiet {
		a.balancer.observe(now, a.serverID, float64(took), float64(a.balancer.responseTimes[a.service]))
	}
}

// quiet reports whether a server with a load processes one more request with little delay by others.
func quiet(load Load, server backs.Entry, w Work) bool {
	if w.Model == "" {
		return load.Running < max(server.Slots, 1)
	}
	return load.PrefillTime <= maxMeasuredPrefill && load.Running <= max(maxIdleRunning, int(measuredSlotShare*float64(server.Slots)))
}
