package pass

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
)

// limitRejects returns a response that says how many requests the server may reject in a second.
func limitRejects(perSecond string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.Header().Set("Reject-Limit", perSecond) }
}

// rejectNoRoom rejects a request for want of room, with the server's limit.
func rejectNoRoom(w http.ResponseWriter) {
	w.Header().Del("Stamp")
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Reject-Limit", "2")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against requests that are sent to a server without a permit although it crashes if it rejects too many.
func TestPermitForServerWithRejectLimit(t *testing.T) {
	tests := map[string]struct {
		respond func(w http.ResponseWriter)
		limited bool
	}{
		"in a response":                 {limitRejects("2"), true},
		"none allowed":                  {limitRejects("0"), true},
		"in a rejection":                {rejectNoRoom, true},
		"not said":                      {nil, false},
		"garbage":                       {limitRejects("few"), false},
		"without proof of its origin":   {func(w http.ResponseWriter) { limitRejects("2")(w); w.Header().Del("Stamp") }, false},
		"another server at the address": {func(w http.ResponseWriter) { limitRejects("2")(w); w.WriteHeader(http.StatusMisdirectedRequest) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startNoticeServer(t, tc.respond)
			g := testGateway(server("a", "d", s.address))
			permits := 0
			g.RequestPermit = func(context.Context, string) time.Duration { permits++; return 0 }
			sendWithDeadline(g, "300")
			s.respond = nil
			permits = 0
			sendWithDeadline(g, "300")
			require.Equal(t, tc.limited, permits > 0)
		})
	}
}

// Guards against a server that goes on being asked for permits after it has stopped saying that it may not
// reject many, and against an older response that ends its limit.
func TestRejectLimitEnds(t *testing.T) {
	s := startNoticeServer(t, limitRejects("2"))
	g := testGateway(server("a", "d", s.address))
	now := clock.Now()
	g.Now = func() time.Time { return now }
	limited := func() bool {
		_, limited := g.Servers.RejectLimit(now, "a")
		return limited
	}
	require.Equal(t, http.StatusOK, sendRequest(g).Code)
	require.True(t, limited())
	s.respond = nil
	require.Equal(t, http.StatusOK, sendRequest(g).Code)
	require.True(t, limited(), "a response from before it said so can come after it")
	now = now.Add(2 * time.Second)
	require.Equal(t, http.StatusOK, sendRequest(g).Code)
	require.False(t, limited())
}

// Guards against a request that waits until its deadline for a server that can not get it in time, or that is
// refused without the time after which to come back.
func TestRefusalWithoutRoom(t *testing.T) {
	s := startNoticeServer(t, nil)
	g := testGateway(server("a", "d", s.address))
	now := clock.Now()
	g.Now = func() time.Time { return now }
	g.Servers.MergeRejectLimits(now, []backs.RejectLimit{{Server: "a", PerSecond: 2}}, backs.FromHub)
	g.RequestPermit = func(context.Context, string) time.Duration { return 2 * time.Hour }
	for range 3 {
		require.Greater(t, retryAfterOf(t, requireRefused(t, g)), time.Hour)
	}
	require.Zero(t, s.arrived.Load())
}

// Guards against a request that is refused although its server has room soon.
func TestWaitForRoom(t *testing.T) {
	s := startNoticeServer(t, nil)
	g := testGateway(server("a", "d", s.address))
	g.Servers.MergeRejectLimits(g.Now(), []backs.RejectLimit{{Server: "a", PerSecond: 2}}, backs.FromHub)
	asked := 0
	g.RequestPermit = func(context.Context, string) time.Duration {
		if asked++; asked < 4 {
			return 20 * time.Millisecond
		}
		return 0
	}
	require.Equal(t, http.StatusOK, sendRequest(g).Code)
	require.Equal(t, 4, asked)
	require.EqualValues(t, 1, s.arrived.Load())
}

// Guards against a rejection of which the other VMs learn only with their next report.
func TestRejectionReportedAtOnce(t *testing.T) {
	for name, limited := range map[string]bool{"a server that may not reject many": true, "any other": false} {
		t.Run(name, func(t *testing.T) {
			respond := rejectNoRoom
			if !limited {
				respond = askRest("1")
			}
			s := startNoticeServer(t, respond)
			g := testGateway(server("a", "d", s.address))
			reported := 0
			g.OnReject = func() { reported++ }
			sendWithDeadline(g, "300")
			require.Equal(t, limited, reported > 0)
		})
	}
}
