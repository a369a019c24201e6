package pass

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

// retryPollInterval is the interval between looks at the budget of a call that waits for a retry.
const retryPollInterval = 100 * time.Millisecond

// awaitRetry takes the retry for the next send of a stream that left a silent server, and waits if the budget has none.
// The server may have been sound, and the retry for leaving it was spent without need, so that the stream is not cut
// for want of another one.
func (g *Gateway) awaitRetry(ctx context.Context, c *call) {
	if !c.headSent || len(c.leftSilent) == 0 || !c.retryReserved.IsZero() || !g.mayRetry(ctx, c) {
		return
	}
	start := g.Now()
	end := start.Add(c.maxServerWait(start))
	for now, logged := start, false; ; now = g.Now() {
		if c.retryBudget.Allow(now) {
			c.retryReserved = now
			g.logRetry(now, c, "", true)
			return
		}
		if !logged {
			logged = true
			g.Meter.AddCounter("pass.retry_waits", 1)
			g.Log.Info().Str("request", c.id).Str("service", c.service.Name).Strs("left_silent", c.leftSilent).Msg("waits for a retry")
		}
		if !now.Before(end) || ctx.Err() != nil || callerDisconnected(c.request) {
			return
		}
		pause.For(ctx, retryPollInterval)
	}
}

// returnRetry gives back the reserved retry of a call that has ended.
func (c *call) returnRetry() {
	if !c.retryReserved.IsZero() {
		c.retryBudget.Return(c.retryReserved)
		c.retryReserved = time.Time{}
	}
}

// takeRetry consumes the reserved retry of a call or one of the retry budget, and reports whether there was
// one.
func (g *Gateway) takeRetry(now time.Time, c *call, server string) bool {
	if !c.retryReserved.IsZero() {
		c.retryBudget.Move(c.retryReserved, now)
		c.retryReserved = time.Time{}
		return true
	}
	allowed := c.retryBudget.Allow(now)
	g.logRetry(now, c, server, allowed)
	return allowed
}

// logRetry logs what a retry was allowed or refused by. The lines of all VMs together show whether their parts
// of the budget add up to more than all of them may send.
func (g *Gateway) logRetry(now time.Time, c *call, server string, allowed bool) {
	usage := c.retryBudget.Usage(now)
	vms := 0
	if g.RetryVMs != nil {
		vms = g.RetryVMs()
	}
	name := "pass.retries_refused"
	if allowed {
		name = "pass.retries"
	}
	g.Meter.AddCounter(name, 1)
	g.Log.Info().Str("request", c.id).Str("service", c.service.Name).Str("server", server).Int("sends", c.sends).Bool("allowed", allowed).
		Int("spent", usage.Retries).Int("requests", usage.Requests).Float64("limit", usage.Limit).Int("vms", vms).Msg("retry")
}
