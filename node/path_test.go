package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/paths"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// probingNode returns a node that has lost its path to the servers of a service "s" with a health check.
func probingNode(dial func(ctx context.Context, address string) (net.Conn, error)) *Node {
	n := &Node{
		config: Config{HeaderNames: &platform.HeaderNames}, now: clock.Now, meter: meter.New(), paths: &paths.Tracker{},
		connPool: &conns.Pool{DialFunc: dial},
	}
	n.table.Store(routes.NewTable(1, nil, []routes.Service{{Name: "s", HealthPath: "/health"}}, routes.Limits{}))
	for _, id := range []string{"v", "w", "x", "y", "z"} {
		n.paths.ConnectionFailed(clock.Now(), id, false)
	}
	return n
}

// A server answers a path probe, whose answer names no request, and may give that answer a second time. Guards against
// a connection on which a request gets it: a refused probe would be its refusal.
func TestPathProbeKeepsNoConnection(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer s.Close()
			n := probingNode(conns.Dial)
			n.probeByPath(t.Context(), backs.Entry{ID: "a", Service: "s", Address: s.Listener.Addr().String()})
			require.False(t, n.paths.Lost())
			require.Zero(t, n.connPool.OpenConnections("a"), "the connection was kept")
		})
	}
}
