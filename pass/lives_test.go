package pass

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

func resumableTable(version int, timeout time.Duration) *routes.Table {
	route := routes.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: timeout, MaxServers: 2,
		MaxEventGap: time.Millisecond, Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	return routes.NewTable(version, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
}

// Guards against a stream that goes on at the only version that is left, though streams of the version that began it may
// last for longer than that one has been gone: their route has no timeout, or had a longer one as they began.
func TestVersionCountsForAsLongAsItsStreamsMayLast(t *testing.T) {
	tests := map[string]struct {
		timeouts []time.Duration
		want     int
	}{
		"streams have ended":      {[]time.Duration{4 * time.Second}, http.StatusOK},
		"no timeout":              {[]time.Duration{0}, http.StatusServiceUnavailable},
		"timeout was lowered":     {[]time.Duration{time.Minute, 4 * time.Second}, http.StatusServiceUnavailable},
		"there was no timeout":    {[]time.Duration{0, 4 * time.Second}, http.StatusServiceUnavailable},
		"timeout was made longer": {[]time.Duration{4 * time.Second, time.Minute}, http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := clock.Now()
			e := versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1")))
			g := testGateway(e)
			g.Servers = &backs.View{}
			g.Servers.AddVersionHistory(now.Add(-time.Minute), backs.VersionHistory{CompleteFor: backs.HistoryRetention})
			g.Servers.Replace(now.Add(-time.Minute), []backs.Entry{e, versionServer("b", "v2", "127.0.0.1:1")})
			g.Servers.Remove(now.Add(-15*time.Second), "b")
			for i, timeout := range tc.timeouts {
				table := resumableTable(i+1, timeout)
				g.ObserveTable(table)
				g.Table = func() *routes.Table { return table }
			}
			g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) { return origin.Record{}, origin.Unknown }
			g.ConfirmServers = func(context.Context, time.Time) error { g.Servers.MarkCurrent(clock.Now()); return nil }
			w := httptest.NewRecorder()
			sendAborted(g, w, takeUpRequest("a0"))
			require.Equal(t, tc.want, w.Code, w.Body.String())
		})
	}
}

// Guards against streams that are refused where no other version has ever been, as their route has no timeout.
func TestOnlyVersionEverIsProvedWithoutTimeout(t *testing.T) {
	e := versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1")))
	g := testGateway(e)
	g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: backs.HistoryRetention})
	table := resumableTable(1, 0)
	g.Table = func() *routes.Table { return table }
	g.ConfirmServers = func(context.Context, time.Time) error { g.Servers.MarkCurrent(clock.Now()); return nil }
	w := httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}
