package pass

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// admit reports whether a call may be sent to the server chosen for it. A stream that has
// begun and lost its server goes on wherever it can: to be refused for a long queue would
// break off an answer that its caller has in part.
func (g *Gateway) admit(now time.Time, c *call, choice pick.Choice) bool {
	if c.work.Model == "" || c.started {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	room := pick.Room{VMs: 1, Objective: c.work.Objective, Urgent: c.urgent}
	if g.VMs != nil {
		room.VMs = g.VMs()
	}
	if c.heldSince.IsZero() {
		return room.Admit(choice, 0)
	}
	room.Held = g.held[heldKey(c)]
	if !room.Admit(choice, g.random(now).Float64()) {
		return false
	}
	g.release(now, c)
	return true
}

// holdBack makes a call wait a little for room. It reports false when it has waited
// for as long as its answer should have taken.
func (g *Gateway) holdBack(ctx context.Context, now time.Time, c *call, choice pick.Choice) bool {
	g.mu.Lock()
	if c.heldSince.IsZero() {
		c.heldSince = now
		if g.held == nil {
			g.held = make(map[string]int)
		}
		g.held[heldKey(c)]++
		g.Meter.AddCounter("pass.held", 1)
	}
	c.comeBack = pick.ComeBack(choice.Queue)
	spread := time.Duration(g.random(now).Int64N(int64(pick.RoomPause)))
	g.mu.Unlock()
	if ctx.Err() != nil || now.Sub(c.heldSince) >= pick.RoomWait(c.work.Objective) {
		return false
	}
	pause.For(ctx, pick.RoomPause/2+spread)
	return true
}

// release notes that a call is not held any more. g.mu is held.
func (g *Gateway) release(now time.Time, c *call) {
	if c.heldSince.IsZero() {
		return
	}
	c.waited += now.Sub(c.heldSince)
	c.heldSince = time.Time{}
	if g.held[heldKey(c)]--; g.held[heldKey(c)] <= 0 {
		delete(g.held, heldKey(c))
	}
}

func heldKey(c *call) string { return c.service.Name + "/" + c.work.Model }

// forget releases a call that has ended.
func (g *Gateway) forget(c *call) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(now, c)
}
