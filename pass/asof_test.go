package pass

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/origin"
)

// startReadingOldFrames makes a gateway read frames with a list of servers, which were written before, until the test ends.
func startReadingOldFrames(t *testing.T, g *Gateway, entries ...backs.Entry) {
	t.Helper()
	var states []backs.State
	for _, e := range entries {
		states = append(states, backs.State{Entry: e})
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			g.Servers.Merge(clock.Now(), backs.Update{States: states, SyncedFor: time.Hour})
			time.Sleep(time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// Guards against a stream that goes on at the only version that a VM knows by frames which were written before the request
// arrived.
func TestFramesReadLateProveNoVersion(t *testing.T) {
	e := versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1")))
	g := testGateway(e)
	useResumableRoute(g)
	g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: 24 * time.Hour})
	startReadingOldFrames(t, g, e)
	w := httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body.String())
}

// Guards against a caller that is told that its version serves no more by frames which were written before its servers
// joined, and against one that waits although a confirmed list says it.
func TestFramesReadLateEndNoStream(t *testing.T) {
	for name, confirmed := range map[string]bool{"not confirmed": false, "confirmed": true} {
		t.Run(name, func(t *testing.T) {
			e := versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1")))
			g := testGateway(e)
			useResumableRoute(g)
			g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) {
				return origin.Record{Service: "s", Version: "v2"}, origin.Known
			}
			g.FindServer = func(context.Context, backs.Need) (string, error) { return "", errors.New("no server") }
			g.ConfirmServers = func(context.Context, time.Time) error {
				if !confirmed {
					return errors.New("no answer")
				}
				g.Servers.MarkCurrent(clock.Now())
				return nil
			}
			startReadingOldFrames(t, g, e)
			if !confirmed {
				time.AfterFunc(time.Second, func() {
					g.Servers.Put(clock.Now(), versionServer("b", "v2", startVersionBackend(t, "v2", breakOff, sendRest("v2"))))
				})
			}
			w := httptest.NewRecorder()
			sendAborted(g, w, takeUpRequest("a0"))
			if confirmed {
				require.Contains(t, w.Body.String(), "serves any more")
				return
			}
			require.Equal(t, versionEvents("v2", 2, 3), w.Body.String())
		})
	}
}

// Guards against a stream that goes on at the only version of a list, though the confirmation of the list brings another one.
func TestConfirmationBringsAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		joins string
		want  int
	}{
		"the same version": {"v1", http.StatusOK},
		"another version":  {"v2", http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := testGateway(versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1"))))
			useResumableRoute(g)
			g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: 24 * time.Hour})
			failures := 3
			g.ConfirmServers = func(_ context.Context, by time.Time) error {
				if failures--; failures >= 0 {
					return errors.New("no answer")
				}
				asked := clock.Now()
				require.True(t, asked.After(by))
				g.Servers.Put(asked, versionServer("b", tc.joins, startVersionBackend(t, tc.joins, breakOff, sendRest(tc.joins))))
				g.Servers.MarkCurrent(asked)
				return nil
			}
			w := httptest.NewRecorder()
			sendAborted(g, w, takeUpRequest("a0"))
			require.Equal(t, tc.want, w.Code, w.Body.String())
			require.Negative(t, failures)
		})
	}
}
