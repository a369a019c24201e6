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

// errBlocked is the reason for refusing a blocked request.
var errBlocked = errors.New("servers crashed when they ran this request")

// blocked reports whether a call's request is blocked, and if so sets the call's reason and
// remaining block time.
func (g *Gateway) blocked(now time.Time, c *call) bool {
	remaining := g.Poison.BlockedFor(now, c.fingerprint)
	if remaining == 0 {
		return false
	}
	c.blocked, c.reason, c.retryAfter = true, errBlocked.Error(), remaining
	return true
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
			a.g.recordConnectionLost(a.c.fingerprint, a.choice.Server)
		}
	}
	return a.failUncertain(ctx, reason)
}

// recordConnectionLost records that a server broke the connection of a request.
func (g *Gateway) recordConnectionLost(fingerprint poison.Fingerprint, server backs.Entry) {
	now := g.Now()
	if !g.Servers.Usable(now, server.ID) {
		return
	}
	g.Poison.ConnectionLost(now, fingerprint, server.ID)
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
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.Pool.Dial(ctx, server.ID, server.Address)
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
