package pass

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// keepConnection adds a connection to the server "next" to the pool of a gateway, and counts the writes to it.
func keepConnection(t *testing.T, g *Gateway, writes *atomic.Int64) {
	t.Helper()
	dial := g.Pool.DialFunc
	g.Pool.DialFunc = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return countingConn{near, writes}, nil
	}
	c, err := g.Pool.Dial(t.Context(), "next", "next:1")
	require.NoError(t, err)
	g.Pool.DialFunc = dial
	g.Pool.Put(clock.Now(), c, 0)
}

// grantLater makes the server "next" one that limits its requests, whose permit is answered once the hedge is dropped.
func grantLater(g *Gateway, wentOn func(), wait time.Duration) {
	g.RateLimits.Update(clock.Now(), clock.Now(), "next", 1, true)
	g.RequestPermit = func(ctx context.Context, _ string) time.Duration {
		wentOn()
		<-ctx.Done()
		return wait
	}
}

// Guards against a request that is sent to another server, or one that counts as unreachable or as over its limit, only
// because the silent server has gone on meanwhile.
func TestDroppedHedgeSaysNothingOfItsServer(t *testing.T) {
	tests := map[string]func(t *testing.T, g *Gateway, writes *atomic.Int64, wentOn func()){
		"while it connects": func(_ *testing.T, g *Gateway, _ *atomic.Int64, wentOn func()) {
			dial := g.Pool.DialFunc
			g.Pool.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
				if address != "next:1" {
					return dial(ctx, address)
				}
				wentOn()
				<-ctx.Done()
				return nil, ctx.Err()
			}
		},
		"while it waits for a permit": func(_ *testing.T, g *Gateway, _ *atomic.Int64, wentOn func()) {
			grantLater(g, wentOn, time.Hour)
		},
		"with a permit and a kept connection": func(t *testing.T, g *Gateway, writes *atomic.Int64, wentOn func()) {
			keepConnection(t, g, writes)
			grantLater(g, wentOn, 0)
		},
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var wentOn func()
			g := silenceGateway(t, &silentServer{eventType: true, sentBefore: 0}, func(f func()) string {
				wentOn = f
				return "next:1"
			}, routes.Stream, 1)
			var suspects []string
			g.ReportSuspect = func(server string) { suspects = append(suspects, server) }
			var writes atomic.Int64
			arrange(t, g, &writes, wentOn)
			requireWholeAnswer(t, g, routes.Stream)
			require.Empty(t, suspects)
			require.Zero(t, writes.Load(), "writes to the other server")
			require.Zero(t, g.RateLimits.Backoff(clock.Now(), "next"))
			require.Zero(t, g.Servers.SendPause(clock.Now(), "next"))
		})
	}
}
