package pass

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A VM that stops still gets requests: the load balancer sends some for up to two seconds, and callers use the
// connections that they have kept. What is under way as the process exits ends inside its answer. So a request that
// is not as good as certain to be whole by then is refused as not run, and its caller goes to another VM.

// errStopsTooSoon is returned for a request that would be under way as the VM exits.
var errStopsTooSoon = errors.New("this VM is shutting down and would exit before the end of the answer")

// errCutAtExit is why a request that is under way as its VM exits has no whole answer.
var errCutAtExit = errors.New("cut off as this VM exits")

// silenceRoom is the time left for one silence of a sound server when it is decided whether an answer will be whole.
const silenceRoom = 1500 * time.Millisecond

// unawareTime is for how long after a VM was told to stop requests come whose senders can not know of that: the load balancer
// sends some for up to two seconds. Refused, they may come to another VM that stops, and many are never served. Later ones come
// over kept connections, and their callers can go to another VM at once. Those are taken only if their deadline is before the
// exit: nothing else bounds an answer, as its server may be slower than lately, begin late or fall silent.
const unawareTime = 2 * time.Second

// endsBefore reports whether a request that is sent now has ended before the VM exits: its answer, which takes at most the
// expected time if no server is silent, or its deadline.
func endsBefore(now, exit, deadline time.Time, expected time.Duration) bool {
	return !deadline.After(exit) || !now.Add(expected+silenceRoom).After(exit)
}

// exitTime returns when this VM exits, and whether it stops.
func (g *Gateway) exitTime() (exit time.Time, stopping bool) {
	if g.StopsAt == nil {
		return time.Time{}, false
	}
	return g.StopsAt()
}

// exits reports whether this VM exits, and closes the connections of requests that are under way.
func (g *Gateway) exits(now time.Time) bool {
	exit, stopping := g.exitTime()
	return stopping && !now.Before(exit)
}

// endAtExit has a call's context canceled as this VM exits. The caller calls stop once the call has ended.
func (g *Gateway) endAtExit(cancel context.CancelFunc) (stop func() bool) {
	if g.ExitContext == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(g.ExitContext, cancel)
}

// recordCut records that a call ends because this VM exits.
func (g *Gateway) recordCut(c *call) {
	c.status = statusStreamAborted
	c.reason = strings.TrimSuffix(errCutAtExit.Error()+"; "+c.reason, "; ")
	g.Meter.AddCounter("pass.cut_at_exit", 1)
}

// recordWriteFailed records that a part of the response could not be written to the caller.
func (g *Gateway) recordWriteFailed(c *call) {
	if g.exits(g.Now()) {
		g.recordCut(c)
		return
	}
	c.reason = "caller disconnected"
}

// recordStop records in a call how long before the exit of this VM it arrived, if this VM stops.
func (g *Gateway) recordStop(c *call) {
	if exit, stopping := g.exitTime(); stopping {
		c.stopsIn = exit.Sub(c.arrived)
	}
}

// refuseUnfinished returns an error if a call is to be refused because it would be under way as this VM exits. wait is
// how long it has to wait until it can be sent to the chosen server. A call that a server may be running is not
// refused.
func (g *Gateway) refuseUnfinished(now time.Time, c *call, choice pick.Choice, wait time.Duration) error {
	if g.wouldBeCut(now, c, choice, wait) {
		return g.stopsTooSoon(c)
	}
	return nil
}

// wouldBeCut reports whether a call would be refused for that.
func (g *Gateway) wouldBeCut(now time.Time, c *call, choice pick.Choice, wait time.Duration) bool {
	exit, stopping := g.exitTime()
	if !stopping || c.mayHaveRun || c.headSent || len(c.inUse) > 0 {
		return false
	}
	c.expected = wait + g.longestAnswer(now, c, choice)
	return !endsBefore(now, exit, c.deadline, c.expected)
}

// longestAnswer returns how long the answer to a call takes at most, counted from the send.
func (g *Gateway) longestAnswer(now time.Time, c *call, choice pick.Choice) time.Duration {
	if g.stopsSince(now) > unawareTime {
		return c.remaining(now)
	}
	if longest, known := g.probableAnswer(now, c, choice); known {
		return longest
	}
	return c.remaining(now)
}

// probableAnswer returns how long the answer to a call takes as recent ones show, and reports whether anything shows it. A
// stream or a repeatable request that is cut off in spite of it has cost one answer, as one that is refused and served nowhere has.
// The caller of another request can neither know whether that has run nor repeat it, so that it has to be as good as certain.
func (g *Gateway) probableAnswer(now time.Time, c *call, choice pick.Choice) (longest time.Duration, known bool) {
	if c.route.Kind == routes.AtMostOnce {
		return g.Balancer.LongestDuration(now, choice, c.work)
	}
	return g.Balancer.ProbableDuration(now, choice, c.work)
}

// stopsSince returns how long ago this VM, which stops, was told to.
func (g *Gateway) stopsSince(now time.Time) time.Duration {
	if g.StoppingSince == nil {
		return math.MaxInt64
	}
	return now.Sub(g.StoppingSince())
}

// refuseLate does the same for a call that has just arrived, before it waits for anything: a server that could be chosen
// would take some time too.
func (g *Gateway) refuseLate(c *call) error {
	exit, stopping := g.exitTime()
	if !stopping {
		return nil
	}
	if g.stopsSince(c.arrived) > unawareTime {
		c.expected = c.remaining(c.arrived)
	}
	if endsBefore(c.arrived, exit, c.deadline, c.expected) {
		return nil
	}
	return g.stopsTooSoon(c)
}

func (g *Gateway) stopsTooSoon(c *call) error {
	g.Meter.AddCounter("pass.refused_stopping", 1)
	if g.OnRefusedStopping != nil {
		g.OnRefusedStopping()
	}
	// Other VMs can serve the request at once.
	c.retryAfter = 0
	return errStopsTooSoon
}

// refuseUnfinishedWait does the same for a call that no server can take now.
func (g *Gateway) refuseUnfinishedWait(now time.Time, c *call, serving []backs.Entry) error {
	return g.refuseUnfinished(now, c, pick.Choice{Server: backs.Entry{Service: c.service.Name}}, g.remainingLoadTime(now, c, serving))
}

// toldToStop reports whether this VM stops, even if it still takes requests of callers.
func (g *Gateway) toldToStop() bool {
	_, stopping := g.exitTime()
	return stopping || g.stopping()
}

// stopping reports whether this VM is shutting down. It then closes the callers' connections
// itself.
func (g *Gateway) stopping() bool { return g.ShutdownContext != nil && g.ShutdownContext.Err() != nil }
