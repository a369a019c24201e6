package pass

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// permitPollInterval is the maximum time between two checks of a waiting request.
	permitPollInterval = 100 * time.Millisecond
	// permitCallBackoff is the maximum time for which a permit call in progress keeps other requests
	// of this VM from requesting a permit for the same server.
	permitCallBackoff = 200 * time.Millisecond
)

// errRateLimited is returned for a request that gets no permit from any server in time.
var errRateLimited = errors.New("the rate limits of the servers are reached")

// acquirePermit reports whether a call may be sent to the server chosen for it. If the server limits its
// requests or its rejections, it requests a permit, and a refusal keeps the server from getting any for as long
// as that says.
func (g *Gateway) acquirePermit(ctx context.Context, server string) bool {
	_, rateLimited := g.RateLimits.Rate(server)
	_, rejectLimited := g.Servers.RejectLimit(g.Now(), server)
	if !rateLimited && !rejectLimited {
		return true
	}
	g.setBackoff(server, permitCallBackoff)
	wait := g.RequestPermit(ctx, server)
	if hedgeDropped(ctx) {
		g.setBackoff(server, 0)
		return false
	}
	g.setBackoff(server, wait)
	if wait > 0 {
		g.Meter.AddCounter("pass.permits_refused", 1)
	}
	return wait == 0
}

// setBackoff keeps this VM from requesting permits for a server for a time.
func (g *Gateway) setBackoff(server string, wait time.Duration) {
	now := g.Now()
	g.RateLimits.SetBackoff(now, server, wait)
	g.Servers.PauseSends(now, server, wait)
}

// awaitPermit waits for the eligible server whose backoff ends first. It returns false if no
// eligible server is in backoff, and true after a wait, when the caller should choose again. It
// returns errRateLimited if the backoff ends after the deadline, or if the requests already waiting
// for the server will use all permits until then.
func (g *Gateway) awaitPermit(ctx context.Context, now, deadline time.Time, c *call, serving []backs.Entry) (waited bool, err error) {
	server, wait := g.shortestBackoff(now, c, serving)
	if server == "" {
		return false, nil
	}
	c.retryAfter = wait
	if ctx.Err() != nil || now.Add(wait).After(deadline) || !g.addPermitWaiter(deadline.Sub(now), server) {
		return true, errRateLimited
	}
	defer g.removePermitWaiter(server)
	pause.For(ctx, min(wait, permitPollInterval))
	return true, nil
}

// shortestBackoff returns the server with the shortest backoff among those that a call could be sent
// to, or "" if none is in backoff.
func (g *Gateway) shortestBackoff(now time.Time, c *call, serving []backs.Entry) (server string, wait time.Duration) {
	for _, e := range serving {
		if !g.eligible(c, e) || slices.Contains(c.excluded, e.ID) || g.Servers.RestRemaining(now, e.ID) > 0 {
			continue
		}
		if backoff := g.RateLimits.Backoff(now, e.ID); backoff > 0 && (server == "" || backoff < wait) {
			server, wait = e.ID, backoff
		}
	}
	return server, wait
}

// addPermitWaiter registers a request that waits for a permit. It reports false if the waiting
// requests will use this VM's share of the permits in the remaining time.
func (g *Gateway) addPermitWaiter(remaining time.Duration, server string) bool {
	rate, _ := g.RateLimits.Rate(server)
	maxWaiters := max(1, int(rate*remaining.Seconds()/float64(max(g.vmCount(), 1))))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permitWaiters[server] >= maxWaiters {
		return false
	}
	if g.permitWaiters == nil {
		g.permitWaiters = make(map[string]int)
	}
	g.permitWaiters[server]++
	return true
}

func (g *Gateway) removePermitWaiter(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permitWaiters[server]--; g.permitWaiters[server] <= 0 {
		delete(g.permitWaiters, server)
	}
}
