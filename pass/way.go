package pass

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// way is how an attempt reaches its server: over a connection to it, or over one to a proxy, another VM that
// has a path to the servers.
type way struct {
	conn *conns.Conn
	pool *conns.Pool
	// proxy is the proxy's address, "" for a connection to the server.
	proxy string
}

var (
	// errNoPath is returned if this VM has no path to the servers and knows no proxy that takes the request.
	errNoPath = errors.New("this VM has no path to the servers, and no other VM sends the request")
	// errProxyRefused is the reason for repeating an attempt that a proxy did not make.
	errProxyRefused = errors.New("the proxy did not send the request")
)

// openWay returns the way of an attempt to a server.
func (g *Gateway) openWay(ctx context.Context, now time.Time, server backs.Entry, attempt string, avoidStale bool) (way, error) {
	if !g.Paths.Lost() {
		conn, err := g.connect(ctx, now, server, attempt, avoidStale)
		if err == nil {
			return way{conn: conn, pool: g.Pool}, nil
		}
		if ctx.Err() == nil {
			g.connectionFailed(server.ID, err)
		}
		if !g.Paths.Lost() {
			return way{}, err
		}
	}
	return g.openProxyWay(ctx, avoidStale)
}

// connect returns a connection that has not carried an attempt.
func (g *Gateway) connect(ctx context.Context, now time.Time, server backs.Entry, attempt string, avoidStale bool) (*conns.Conn, error) {
	if conn := g.Pool.GetFor(now, server.ID, attempt, avoidStale); conn != nil {
		return conn, nil
	}
	g.Meter.AddCounter("pass.dials", 1)
	return g.Pool.DialWithin(ctx, dialTimeout, server.ID, server.Address)
}

const (
	// proxyWait is how long a request waits for the hub to name proxies, which takes it some tens of
	// milliseconds after the path was lost. proxyPollInterval is the interval between looks.
	proxyWait         = 400 * time.Millisecond
	proxyPollInterval = 20 * time.Millisecond
)

// openProxyWay returns the way through a proxy. A VM answers each request once, so that its connections may carry an
// attempt again.
func (g *Gateway) openProxyWay(ctx context.Context, avoidStale bool) (way, error) {
	for waited := time.Duration(0); ; waited += proxyPollInterval {
		proxies := g.proxyVMs()
		if len(proxies) == 0 && g.ProxyVMs != nil && waited < proxyWait && ctx.Err() == nil {
			pause.For(ctx, proxyPollInterval)
			continue
		}
		address, ok := g.proxyLoads.choose(g.Now(), proxies)
		if !ok {
			return way{}, errNoPath
		}
		conn, err := g.dialProxy(ctx, address, avoidStale)
		if err == nil {
			return way{conn: conn, pool: &g.proxyPool, proxy: address}, nil
		}
		g.Log.Info().Str("proxy", address).Err(err).Msg("connecting to a proxy failed")
		g.proxyLoads.avoid(g.Now(), address, proxyAvoidTime)
	}
}

func (g *Gateway) proxyVMs() []string {
	if g.ProxyVMs == nil {
		return nil
	}
	return g.ProxyVMs()
}

func (g *Gateway) dialProxy(ctx context.Context, address string, avoidStale bool) (*conns.Conn, error) {
	if conn := g.proxyPool.Get(g.Now(), address, avoidStale); conn != nil {
		return conn, nil
	}
	g.Meter.AddCounter("pass.proxy_dials", 1)
	return g.proxyPool.DialWithin(ctx, dialTimeout, address, address)
}

// CloseExpiredProxyConns closes the connections to proxies that have been idle for too long.
func (g *Gateway) CloseExpiredProxyConns(now time.Time) { g.proxyPool.CloseExpired(now) }

// beginViaProxies makes a call forget the servers that it found unreachable over a path that turned out to be
// lost: through a proxy they can be reached.
func (g *Gateway) beginViaProxies(c *call) {
	if c.viaProxies || !g.Paths.Lost() {
		return
	}
	c.viaProxies = true
	c.excluded = slices.DeleteFunc(c.excluded, func(id string) bool { return slices.Contains(c.unreachable, id) })
	c.unreachable = nil
}

// connectFailed records that no way to a server could be opened.
func (g *Gateway) connectFailed(c *call, choice pick.Choice, err error) {
	if errors.Is(err, errNoPath) {
		c.withoutPath = true
		g.logFailedAttempt(c, choice, err.Error())
		return
	}
	g.Balancer.ConnectFailed(g.Now(), choice.Server)
	g.serverUnreachable(c, choice.Server.ID)
	g.logFailedAttempt(c, choice, "connect: "+err.Error())
}

// serverUnreachable excludes a server to which neither this VM nor its proxy could connect.
func (g *Gateway) serverUnreachable(c *call, server string) {
	g.reportSuspect(server)
	c.excluded = append(c.excluded, server)
	c.unreachable, c.notReachedAt = append(c.unreachable, server), g.Now()
}

// refusedByProxy reports whether a response says that the proxy did not send the request.
func (r *reply) refusedByProxy(resp *http.Response) bool {
	return r.proxy != "" && resp.Header.Get(headerProxyRefusal) != ""
}

// handleProxyRefusal takes back a send that the proxy did not make.
func (a *attempt) handleProxyRefusal() bool {
	reason := a.resp.Header.Get(headerProxyRefusal)
	_, err := conns.ReadAll(a.resp.Body, maxForeignBodyBytes)
	a.complete = err == nil
	a.failOver()
	a.takeBackSend()
	a.g.Meter.AddCounter("pass.proxy_refusals", 1)
	switch reason {
	case refusalUnreachable:
		a.g.Balancer.ConnectFailed(a.g.Now(), a.choice.Server)
		a.g.serverUnreachable(a.c, a.choice.Server.ID)
	case refusalUnavailable:
		a.c.excluded = append(a.c.excluded, a.choice.Server.ID)
	case refusalBusy:
		a.g.proxyLoads.avoid(a.g.Now(), a.proxy, busyProxyAvoidTime)
	case refusalStopping:
		// It takes none until it has started again. Many VMs may stop at a time, so that the attempt does not count.
		a.c.attempts--
		a.g.proxyLoads.avoid(a.g.Now(), a.proxy, stoppingProxyAvoidTime)
	default:
		a.g.proxyLoads.avoid(a.g.Now(), a.proxy, proxyAvoidTime)
	}
	a.err = fmt.Errorf("%w: %s", errProxyRefused, reason)
	a.g.logFailedAttempt(a.c, a.choice, a.err.Error())
	return false
}

// takeBackSend undoes what was recorded for a send before its bytes went out.
func (a *attempt) takeBackSend() {
	c := a.c
	c.sends--
	c.versions = slices.Delete(c.versions, a.sendIndex, a.sendIndex+1)
	if a.firstSendToServer {
		c.sentTo = slices.DeleteFunc(c.sentTo, func(id string) bool { return id == a.choice.Server.ID })
	}
	if c.sends > 0 {
		c.retryReserved = a.sent
	}
	c.refundRun()
}
