package pass

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// hedge is an attempt at another server that begins while the server of a call is silent. Both go on until one of them
// brings a part of the response that can be forwarded; the other one is then closed. Servers stop working on a
// request when its connection is closed, so that no two of them go on with it. A hedge is under way only while its
// attempt reads, which is what keeps the call to one goroutine at a time.
type hedge struct {
	// call is the hedge's copy of the call, which nothing else uses until done is closed.
	call   *call
	cancel context.CancelCauseFunc
	// leads is set once the attempt that began the hedge has failed, so that the hedge is all that the call has.
	// firstConn, nil from then on, is the connection of that attempt.
	mu        sync.Mutex
	leads     bool
	firstConn *conns.Conn
	// settled is set once attempt, if there is one, can be forwarded. Then done is closed.
	settled atomic.Bool
	done    chan struct{}
	attempt *attempt
}

// errHedgeDropped is the cause for ending an attempt whose response is not needed.
var errHedgeDropped = errors.New("another server has gone on")

// hedgeDropped reports whether ctx ended because the response of its attempt is not needed.
func hedgeDropped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errHedgeDropped) }

// startHedge sends the call to another server as well, if there is one and the retry budget allows it.
func (a *attempt) startHedge(ctx context.Context, now time.Time) {
	c, g := a.c, a.g
	choice, ok := a.chooseOther(now)
	if ok = ok && g.takeRetry(now, c, choice.Server.ID); ok {
		c.retryReserved = now
	}
	if ok || !a.silenceLogged {
		a.silenceLogged = true
		g.Meter.AddCounter("pass.silent", 1)
		g.Log.Info().Str("request", c.id).Str("server", a.choice.Server.ID).Bool("started", c.headSent).Bool("hedged", ok).
			Str("instead", choice.Server.ID).Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).Int64("late_ms", a.conn.OwnDelay().Milliseconds()).Msg("server silent")
	}
	if !ok {
		return
	}
	g.Meter.AddCounter("pass.hedges", 1)
	ctx, cancel := context.WithCancelCause(ctx)
	h := &hedge{call: c.clone(), cancel: cancel, firstConn: a.conn, done: make(chan struct{})}
	h.call.inUse = append(h.call.inUse, a.choice.Server.ID)
	c.retryReserved = time.Time{}
	a.hedge = h
	go func() {
		h.run(ctx, g, choice)
		h.settle()
	}()
}

// run makes the attempt of a hedge, which is hedged itself if its server is silent too.
func (h *hedge) run(ctx context.Context, g *Gateway, choice pick.Choice) {
	defer h.recoverPanic(g)
	if !g.acquirePermit(ctx, choice.Server.ID) {
		return
	}
	if a := g.openAttempt(ctx, h.call, choice); a != nil {
		a.hedgeOf = h
		if h.attempt = a; !a.begin(ctx) {
			h.attempt = a.end()
		}
	}
}

// recoverPanic ends a hedge that panics. The HTTP server recovers the panics of its own goroutines only, and this one
// would end the process with all its requests.
func (h *hedge) recoverPanic(g *Gateway) {
	reason := recover()
	if reason == nil {
		return
	}
	g.Log.Error().Str("request", h.call.id).Str("reason", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("hedge panicked")
	if h.attempt != nil {
		h.attempt.finish()
		h.attempt = nil
	}
}

// settle tells the first attempt that the hedge has settled, if it still waits for its server.
func (h *hedge) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled.Store(true)
	if h.firstConn != nil {
		h.firstConn.CheckStall()
	}
	close(h.done)
}

// lead records that the hedge is all that its call has.
func (h *hedge) lead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leads, h.firstConn = true, nil
}

func (h *hedge) isLeading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leads
}

// failOver leaves the call of a failed attempt to its hedge, if it has one. The server is released first: the hedge may
// take long.
func (a *attempt) failOver() {
	if a.hedge == nil {
		return
	}
	a.hedge.lead()
	a.finish()
	a.awaitHedge()
}

// awaitHedge waits until the hedge of an attempt has settled, and makes its attempt the successor.
func (a *attempt) awaitHedge() {
	h := a.hedge
	a.hedge = nil
	h.lead()
	<-h.done
	a.c.absorb(h.call)
	a.c.excluded, a.c.unreachable, a.c.notReachedAt = h.call.excluded, h.call.unreachable, h.call.notReachedAt
	if a.successor = h.attempt; a.successor == nil {
		h.cancel(nil)
		return
	}
	a.c.recordLast(h.call)
	a.successor.c = a.c
	a.successor.release = joinReleases(a.successor.release, func() { h.cancel(nil) })
}

// joinReleases returns a function that calls both of those that are not nil.
func joinReleases(first, second func()) func() {
	return func() {
		if first != nil {
			first()
		}
		second()
	}
}

// dropHedge ends the hedge of an attempt whose own server goes on.
func (a *attempt) dropHedge() {
	h := a.hedge
	if h == nil {
		return
	}
	a.hedge = nil
	h.cancel(errHedgeDropped)
	<-h.done
	if h.attempt != nil {
		h.attempt.end()
	}
	a.c.absorb(h.call)
}

// clone returns a copy of the call for a hedge.
func (c *call) clone() *call {
	copied := *c
	copied.sentTo, copied.versions = slices.Clone(c.sentTo), slices.Clone(c.versions)
	copied.excluded, copied.unreachable = slices.Clone(c.excluded), slices.Clone(c.unreachable)
	copied.inUse, copied.leftSilent = slices.Clone(c.inUse), slices.Clone(c.leftSilent)
	copied.setAside, copied.brokeOff = slices.Clone(c.setAside), slices.Clone(c.brokeOff)
	return &copied
}

// absorb takes over what a hedge has counted in its copy of the call. What kept the hedge from being sent is found out
// anew at the next send.
func (c *call) absorb(h *call) {
	c.attempts, c.sends, c.sentTo, c.versions, c.quota = h.attempts, h.sends, h.sentTo, h.versions, h.quota
	c.retryReserved, c.leftSilent, c.setAside, c.brokeOff = h.retryReserved, h.leftSilent, h.setAside, h.brokeOff
	c.mayHaveRun = c.mayHaveRun || h.mayHaveRun
	if h.errorResponse != nil {
		c.errorResponse = h.errorResponse
	}
}

// recordLast takes over what a hedge's copy of the call says of its last attempt and response.
func (c *call) recordLast(h *call) {
	c.choice, c.proxy, c.reason = h.choice, h.proxy, h.reason
	c.framing, c.partialEventBytes, c.attribution = h.framing, h.partialEventBytes, h.attribution
	c.serverLeaving, c.serverRetryAfter = h.serverLeaving, h.serverRetryAfter
}
