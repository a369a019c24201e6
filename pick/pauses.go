package pick

import "time"

// Load pattern: prompts are prefilled in pieces between the tokens of running streams, so that a stream pauses while its
// server reads a long prompt. On a fast server the pause stays below what callers accept. On one that takes twice as long, or
// is slow for a moment, it does not, and a stream whose first event was in time is late all the same. The time to the first
// event says nothing about it.
//
// The longest pauses of recent streams, divided by the pace of their server, tell which share of a route's streams would
// pause for too long at another pace. That share counts as cost where servers are compared. Servers of equal pace have
// equal shares, and are chosen as without it.

const (
	// pauseSamples is the number of recent streams of a route whose longest pauses are kept.
	pauseSamples = 64
	// pausePrior is the number of streams without a pause that an estimate begins with. A single stream then costs less
	// than what VMs do not know of each other's queues (staleWork).
	pausePrior = 24
	// pauseCost is the cost of a certain pause that is too long: the response is late, which loses most of what it is worth
	// to its caller, where a failure loses all.
	pauseCost = 2 * time.Second
)

// pauseHistory holds the longest pauses of a route's recent streams, at a pace of 1. The zero value is empty.
type pauseHistory struct {
	pauses [pauseSamples]time.Duration
	count  int
}

func (h *pauseHistory) add(pause time.Duration) {
	h.pauses[h.count%pauseSamples] = pause
	h.count++
}

// risk returns the share of streams with a pause of more than limit at a pace.
func (h *pauseHistory) risk(pace float64, limit time.Duration) float64 {
	kept := min(h.count, pauseSamples)
	exceeded := 0
	for _, pause := range h.pauses[:kept] {
		if scale(pause, pace) > limit {
			exceeded++
		}
	}
	return float64(exceeded) / float64(kept+pausePrior)
}

// LongestPause records the longest time between two events of a complete response.
func (a *Attempt) LongestPause(pause time.Duration) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	a.longestPause = pause
	if a.work.MaxEventGap <= 0 || a.pace <= 0 {
		return
	}
	h := b.pauses[a.work.Route]
	if h == nil {
		if b.pauses == nil {
			b.pauses = make(map[string]*pauseHistory)
		}
		h = &pauseHistory{}
		b.pauses[a.work.Route] = h
	}
	h.add(scale(pause, 1/a.pace))
}

// pausePenalty returns the cost of the pauses that a stream risks on a server with a pace. b.mu is held.
func (b *Balancer) pausePenalty(w Work, pace float64) time.Duration {
	h := b.pauses[w.Route]
	if h == nil || w.MaxEventGap <= 0 {
		return 0
	}
	return time.Duration(h.risk(pace, w.MaxEventGap) * float64(pauseCost))
}
