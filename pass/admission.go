package pass

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// mayAdmit reports whether a call may be sent to the server chosen for it. A begun stream that has
// lost its server is always admitted: a refusal because of a long queue would leave its caller with
// a part of the response.
func (g *Gateway) mayAdmit(now time.Time, c *call, choice pick.Choice) bool {
	if c.work.Model == "" || c.binding.begun {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	admission := pick.Admission{VMs: g.vmCount(), Objective: c.work.Objective, Urgent: c.urgency.Top, Yields: g.Balancer.Yields(now, c.service.Name, c.work)}
	if c.admissionWaitStart.IsZero() {
		return admission.Admit(choice, 0)
	}
	admission.Waiting = g.admissionWaiters[admissionKey(c)]
	if !admission.Admit(choice, g.random(now).Float64()) {
		return false
	}
	g.endAdmissionWait(now, c)
	return true
}

// waitForAdmission pauses a call until the next admission check. It returns false if the call has
// waited as long as its latency objective or ctx has ended.
func (g *Gateway) waitForAdmission(ctx context.Context, now time.Time, c *call, choice pick.Choice) bool {
	g.mu.Lock()
	if c.admissionWaitStart.IsZero() {
		c.admissionWaitStart = now
		if g.admissionWaiters == nil {
			g.admissionWaiters = make(map[string]int)
		}
		g.admissionWaiters[admissionKey(c)]++
		g.Meter.AddCounter("pass.held", 1)
	}
	c.retryAfter = pick.RetryAfter(pick.Admission{Urgent: c.urgency.Top}.QueueTime(choice))
	spread := time.Duration(g.random(now).Int64N(int64(pick.AdmissionCheckInterval)))
	g.mu.Unlock()
	if ctx.Err() != nil || now.Sub(c.admissionWaitStart) >= pick.MaxAdmissionWait(c.work.Objective) {
		return false
	}
	pause.For(ctx, pick.AdmissionCheckInterval/2+spread)
	return true
}

// endAdmissionWait removes a call from the waiting calls. g.mu is held.
func (g *Gateway) endAdmissionWait(now time.Time, c *call) {
	if c.admissionWaitStart.IsZero() {
		return
	}
	c.admissionWait += now.Sub(c.admissionWaitStart)
	c.admissionWaitStart = time.Time{}
	if g.admissionWaiters[admissionKey(c)]--; g.admissionWaiters[admissionKey(c)] <= 0 {
		delete(g.admissionWaiters, admissionKey(c))
	}
}

func admissionKey(c *call) string { return c.service.Name + "/" + c.work.Model }

// finishCall removes a call that has ended from the waiting calls, and gives back the retry that it reserved and did
// not need.
func (g *Gateway) finishCall(c *call) {
	c.returnRetry()
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endAdmissionWait(now, c)
}
