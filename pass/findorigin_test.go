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
)

// silentKeepers never answer.
func silentKeepers(ctx context.Context, _ string) (origin.Record, origin.Verdict) {
	<-ctx.Done()
	return origin.Record{}, origin.Unanswered
}

// Guards against a stream that is refused though either its keepers or the list of servers tell its version: the other one
// does not answer.
func TestFirstWhoKnowsTheOriginIsHeard(t *testing.T) {
	proved := func(g *Gateway) {
		g.ConfirmServers = func(context.Context, time.Time) error { g.Servers.MarkCurrent(clock.Now()); return nil }
	}
	unconfirmed := func(g *Gateway) {
		g.ConfirmServers = func(ctx context.Context, _ time.Time) error { <-ctx.Done(); return ctx.Err() }
	}
	late := func(ctx context.Context, _ string) (origin.Record, origin.Verdict) {
		time.Sleep(keepersLead + 100*time.Millisecond)
		return origin.Record{Service: "s", Version: "v1"}, origin.Known
	}
	tests := map[string]struct {
		keepers func(context.Context, string) (origin.Record, origin.Verdict)
		list    func(g *Gateway)
		alone   bool
		want    int
	}{
		"keepers are silent, the list proves it":  {silentKeepers, proved, false, http.StatusOK},
		"keepers are late, nobody confirms lists": {late, unconfirmed, false, http.StatusOK},
		"nobody answers":   {silentKeepers, unconfirmed, false, http.StatusServiceUnavailable},
		"this VM is alone": {silentKeepers, unconfirmed, true, http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := testGateway(versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1"))))
			useResumableRoute(g)
			g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: backs.HistoryRetention})
			g.FindOrigin = tc.keepers
			g.Alone = func() bool { return tc.alone }
			tc.list(g)
			w := httptest.NewRecorder()
			sendAborted(g, w, takeUpRequest("a0"))
			require.Equal(t, tc.want, w.Code, w.Body.String())
			require.NotContains(t, w.Body.String(), "begin it anew")
		})
	}
}
