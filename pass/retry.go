package pass

import "time"

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
