package pass

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// A sound server may fall silent for a second or so and go on, and a server that is gone may show it by nothing but
// silence. So a call whose server is silent is also sent to another one, and keeps the first until the other has begun
// to answer.

const (
	// startTimeoutObjectives is the timeout for the first event of a resumable stream, or for each part of
	// another repeatable response, in latency objectives. After it, another server is tried. A slow but
	// healthy server nearly always responds sooner. The head alone is no sign of that: a server can fall
	// silent right after it.
	startTimeoutObjectives = 3
	// eventTimeoutGaps is the event timeout of a resumable stream, in maximum event gaps of its
	// route, and minEventTimeout is its lower bound: after a preemption, a server recomputes the
	// prompt in some hundred milliseconds.
	eventTimeoutGaps = 4
	minEventTimeout  = 900 * time.Millisecond
)

// pathCheckInterval is how often a request that waits for a server checks whether this VM has lost its path
// to all of them.
const pathCheckInterval = 400 * time.Millisecond

// limitSilence has another server asked when the server is silent for a time, if that is possible.
// A limit of 0 waits for the request deadline.
func (a *attempt) limitSilence(ctx context.Context, limit time.Duration) {
	interval := pathCheckInterval
	if limit > 0 {
		checks := (limit + pathCheckInterval - 1) / pathCheckInterval
		interval = limit / checks
	}
	a.conn.SetStallTimeout(interval, func(waited time.Duration) bool { return a.checkSilence(ctx, limit, waited) })
}

// startTimeout returns how long to wait for the response to begin, or 0 if only the request deadline
// applies.
func (a *attempt) startTimeout() time.Duration {
	if !a.c.route.Repeatable() || a.c.route.Objective == 0 {
		return 0
	}
	return max(startTimeoutObjectives*a.c.route.Objective, 2*a.choice.PredictedTime+a.c.route.Objective)
}

// eventTimeout returns how long to wait for the event after the one with an ID, or 0 if only the request
// deadline applies. A stream whose events have no IDs can not be resumed.
func (a *attempt) eventTimeout(lastID string) time.Duration {
	if !a.c.route.Repeatable() || a.c.unnumbered || lastID == a.c.request.Header.Get(headerLastEvent) {
		return 0
	}
	return max(eventTimeoutGaps*a.c.route.MaxEventGap, minEventTimeout)
}

// checkSilence is called while the server is silent, at intervals and when a hedge has settled. It reports whether
// the call leaves the server, because another one has begun to answer.
func (a *attempt) checkSilence(ctx context.Context, limit, waited time.Duration) bool {
	now := a.g.Now()
	a.g.Paths.Silent(now, now.Add(-waited))
	if a.hedge != nil && a.hedge.settled.Load() {
		sends := a.c.sends
		a.awaitHedge()
		if a.successor != nil {
			a.leave()
			return true
		}
		if a.c.sends == sends {
			// It was not sent, and would not be now.
			return false
		}
	}
	if limit > 0 && waited >= limit && a.hedge == nil {
		a.startHedge(ctx, now)
	}
	return false
}

// errServerLeft is why an attempt ends at a silent server that the call has left.
var errServerLeft = errors.New("the server was silent, and another one has begun to answer")

// leave records that the call leaves its silent server for another one, which has begun to answer.
func (a *attempt) leave() {
	a.left = true
	a.c.leftSilent = append(a.c.leftSilent, a.choice.Server.ID)
	a.c.setAside = append(a.c.setAside, a.choice.Server.ID)
	a.g.Meter.AddCounter("pass.left_silent", 1)
	a.g.Log.Info().Str("request", a.c.id).Str("server", a.choice.Server.ID).Str("instead", a.successor.choice.Server.ID).Msg("silent server left")
}

// recallLeft makes the servers that the call left because they were silent candidates again, and reports whether there
// are any. The server that it went on at has failed since, so that a sound one is likelier among those.
func (c *call) recallLeft() bool {
	if len(c.setAside) == 0 {
		return false
	}
	c.excluded = slices.DeleteFunc(c.excluded, func(id string) bool { return slices.Contains(c.setAside, id) })
	c.setAside = nil
	return true
}

// chooseOther returns a server with capacity that a call may be sent to while its server is silent. Without one, and
// without enough time before the deadline, nothing would be gained: usually the silent server has preempted the
// request and is recomputing its prompt. Servers that refused or failed the call may be chosen again once no other is
// left, but the last send does not go to one that has failed it: if it did again, no send would be left for the way back.
func (a *attempt) chooseOther(now time.Time) (pick.Choice, bool) {
	c := a.c
	if c.sends >= maxSends || c.attempts >= maxAttempts || c.remaining(now) <= c.route.Objective || c.request.Context().Err() != nil {
		return pick.Choice{}, false
	}
	excluded := c.excluded
	c.excluded = slices.Concat(excluded, c.inUse, []string{a.choice.Server.ID})
	if c.sends == maxSends-1 {
		c.excluded = append(c.excluded, c.brokeOff...)
	}
	choice, ok := a.g.pickServer(now, c, a.g.serversFor(now, c))
	if c.excluded = excluded; !ok {
		c.excluded = nil
	}
	return choice, ok && choice.HasCapacity()
}
