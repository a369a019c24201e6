package pass

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Guards against a request that waits or busy-loops until its deadline although no permit becomes
// available in time.
func TestPermitUnavailableBeforeDeadline(t *testing.T) {
	const wait = 2 * time.Second
	g := testGateway(server("a", "d", startBackend(t, http.StatusOK)))
	route := routes.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Idempotent, Timeout: time.Hour, EventTimeout: 2 * wait, MaxServers: 2,
		Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s"}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
	calls := 0
	g.RequestPermit = func(context.Context, string) time.Duration {
		calls++
		return wait + time.Second
	}
	now := clock.Now()
	g.RateLimits.Update(now, now, "a", 0.5, true)
	for range 3 {
		got := sendRequest(g)
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		retryAfter, err := strconv.ParseFloat(got.Header().Get(headerRetryAfter), 64)
		require.NoError(t, err)
		require.Greater(t, retryAfter, wait.Seconds())
	}
	require.Equal(t, 1, calls, "no permit is requested during the backoff")
}
