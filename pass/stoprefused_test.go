package pass

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// The only server of a request that arrived before SIGTERM rejects it, SIGTERM comes, and the server has room again.
// Guards against sending it then although its answer takes longer than until the exit, and is cut there: it has not run.
func TestRequestRejectedBeforeSIGTERM(t *testing.T) {
	var stop func(time.Duration)
	var rejects, taken atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejects.Add(1) > 1 {
			taken.Add(1)
			return
		}
		stop(testExit)
		rejectRest(w, r)
	}))
	t.Cleanup(s.Close)
	g, _, stop := stoppableGateway(t, longOutput, nil)
	g.Servers.Remove(clock.Now(), "0")
	g.Servers.Put(clock.Now(), server("1", "d", strings.TrimPrefix(s.URL, "http://")))
	require.Equal(t, http.StatusServiceUnavailable, callGateway(t, g, longDeadline).status)
	require.Equal(t, int64(1), rejects.Load())
	require.Zero(t, taken.Load())
	require.Equal(t, int64(1), g.Meter.CounterValue("pass.refused_stopping"))
}

// A request of a team whose quota is tight arrives so late that its answer can not be expected to be whole. Guards against
// a request that waits for its team's tokens while its VM exits.
func TestQuotaOfRequestAtExit(t *testing.T) {
	address, got := startRecorder(t)
	g, quotas := quotaGateway(t, address, true)
	quotas.Spend(clock.Now(), "a", 1000)
	taken := 0
	g.TakeQuota = func(context.Context, limit.QuotaRequest) (time.Duration, bool) {
		taken++
		return 0, true
	}
	g.StopsAt = func() (time.Time, bool) { return clock.Now().Add(silenceRoom / 2), true }
	w := sendWithKey(g, testKey)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Zero(t, taken)
	require.Empty(t, got.requests)
}

// A VM that has just been told to stop has seen that requests of a route without a model take long. Guards against taking one
// more of them, and against refusing one of another route of the same service.
func TestLongRequestWithoutModelAfterSIGTERM(t *testing.T) {
	for name, tc := range map[string]struct{ sent, status int }{
		"long route": {0, http.StatusServiceUnavailable}, "other route": {1, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			address, got := startRecorder(t)
			g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
			route, ok := g.Table().Match("h", "/")
			require.True(t, ok)
			table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s"}}, routes.Limits{})
			g.Table = func() *routes.Table { return table }
			work := pick.Work{Route: []string{route.Name, "other"}[tc.sent]}
			now, choice := clock.Now(), pick.Choice{Server: server("9", "d", "")}
			g.Balancer.Begin(now, choice, work, 0).End(now.Add(testExit), pick.Succeeded)
			for range 40 {
				g.Balancer.Begin(now, choice, pick.Work{Route: "short"}, 0).End(now.Add(time.Millisecond), pick.Succeeded)
			}
			g.StopsAt, g.StoppingSince = func() (time.Time, bool) { return clock.Now().Add(testExit), true }, clock.Now
			require.Equal(t, tc.status, callGateway(t, g, longDeadline).status)
			require.Len(t, got.requests, tc.sent)
		})
	}
}
