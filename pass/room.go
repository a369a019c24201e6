package pass

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

// errNoRoom is returned for a request whose servers may not be made to reject it.
var errNoRoom = errors.New("the servers have no room, and crash if they have to reject too many requests")

// roomPollInterval is the maximum time between two checks of a request that waits for room.
const roomPollInterval = 100 * time.Millisecond

// recordReject records that the server rejected the request for want of room, and has the other VMs told if it
// may not reject many.
func (r *reply) recordReject() {
	if r.resp.StatusCode != http.StatusServiceUnavailable || !r.g.Servers.RecordReject(r.g.Now(), r.server) {
		return
	}
	r.g.Meter.AddCounter("pass.limited_rejects", 1)
	if r.g.OnReject != nil {
		r.g.OnReject()
	}
}

// vmCount returns how many VMs send requests to the same servers.
func (g *Gateway) vmCount() int {
	if g.VMCount == nil {
		return 1
	}
	return g.VMCount()
}

// awaitRoom waits until one of the eligible servers may have room again. It returns false if none of them
// lacks just that, and errNoRoom if the wait would be longer than the call can wait.
func (g *Gateway) awaitRoom(ctx context.Context, now, deadline time.Time, c *call, serving []backs.Entry) (waited bool, err error) {
	shortest := time.Duration(0)
	for _, e := range serving {
		if !g.eligible(c, e) || slices.Contains(c.excluded, e.ID) || !g.Servers.MaySend(now, e.ID) {
			continue
		}
		if wait := g.Servers.SendPause(now, e.ID); wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	if shortest == 0 {
		return false, nil
	}
	c.retryAfter = shortest
	if ctx.Err() != nil || now.Add(shortest).After(deadline) {
		g.Meter.AddCounter("pass.refused_no_room", 1)
		return true, errNoRoom
	}
	pause.For(ctx, min(shortest, roomPollInterval))
	return true, nil
}
