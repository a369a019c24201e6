package pass

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/poison"
)

// errBlocked is the reason for refusing a blocked request, errBlockedPart that for one with a blocked part in its
// prompt.
var (
	errBlocked     = errors.New("servers crashed when they ran this request")
	errBlockedPart = errors.New("servers crashed when they ran requests that share a part of this prompt")
)

// survivalTime is how long a server goes on writing a response until the request counts as survived. A request that
// crashes its servers does so when they begin.
const survivalTime = 500 * time.Millisecond

// blocked reports whether a call's request is blocked, and if so sets the call's reason and
// remaining block time.
func (g *Gateway) blocked(now time.Time, c *call) bool {
	if remaining := g.Poison.BlockedFor(now, c.fingerprint); remaining > 0 {
		c.blocked, c.reason, c.retryAfter = true, errBlocked.Error(), remaining
		return true
	}
	part, remaining := g.PartTracker.BlockedFor(now, c.sharedParts())
	if remaining == 0 {
		return false
	}
	c.blocked, c.blockedPart, c.reason, c.retryAfter = true, part, errBlockedPart.Error(), remaining
	return true
}

// blockedText is the body of the response to a blocked request.
func (c *call) blockedText() string {
	reason := errBlocked
	if c.blockedPart != "" {
		reason = errBlockedPart
	}
	return reason.Error() + "; it was not run, and is not before the time in " + headerRetryAfter
}

// connectionLost marks an attempt as failed by a connection error. If this VM did not close the
// connection, the server may have crashed, so it is probed with a new connection.
func (a *attempt) connectionLost(ctx context.Context, reason string, err error) bool {
	if ctx.Err() == nil && conns.ConnectionLost(err) {
		switch {
		case a.proxy != "":
			// Whether the server or the proxy is gone is for the proxy to say.
			a.g.proxyLoads.avoid(a.g.Now(), a.proxy, proxyAvoidTime)
		case a.resp == nil && a.unproven:
			a.g.Paths.ConnectionFailed(a.g.Now(), a.server, false)
			fallthrough
		default:
			parts := a.c.sharedParts()
			if a.survived {
				parts = nil
			}
			a.g.recordConnectionLost(a.c.fingerprint, parts, a.choice.Server)
		}
	}
	return a.failUncertain(ctx, reason)
}

// recordConnectionLost records that a server broke the connection of a request. parts are those of its prompt that
// may be the cause.
func (g *Gateway) recordConnectionLost(fingerprint poison.Fingerprint, parts []poison.Part, server backs.Entry) {
	now := g.Now()
	if !g.Servers.Usable(now, server.ID) {
		return
	}
	g.Poison.ConnectionLost(now, fingerprint, server.ID)
	g.PartTracker.ConnectionLost(now, parts, server.ID)
	if g.Servers.MaySend(now, server.ID) {
		go g.probeServer(server)
	}
}

// probeServer opens a connection to a server to find out whether its process has ended. Requests
// that fail at the same time share one probe.
func (g *Gateway) probeServer(server backs.Entry) {
	if !g.beginProbe(server.ID) {
		return
	}
	defer g.endProbe(server.ID)
	conn, err := g.Pool.DialWithin(context.Background(), dialTimeout, server.ID, server.Address)
	if err != nil {
		g.connectionFailed(server.ID, err)
		return
	}
	g.Pool.Put(g.Now(), conn, 0)
}

// connectionFailed records that no connection to a server could be opened. A refused one means that its
// process has ended, unless this VM has lost its path to all servers; Paths finds that out.
func (g *Gateway) connectionFailed(server string, err error) {
	g.Paths.ConnectionFailed(g.Now(), server, errors.Is(err, syscall.ECONNREFUSED))
}

func (g *Gateway) beginProbe(server string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probing[server] {
		return false
	}
	if g.probing == nil {
		g.probing = make(map[string]bool)
	}
	g.probing[server] = true
	return true
}

func (g *Gateway) endProbe(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.probing, server)
}
