package pass

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/origin"
)

// Guards against a stream that is ended for good as it breaks because a list that was confirmed as it began has no other
// server of its version: one may have joined since.
func TestListConfirmedBeforeTheBreakEndsNoStream(t *testing.T) {
	for name, answers := range map[string]bool{"not confirmed again": false, "confirmed again": true} {
		t.Run(name, func(t *testing.T) {
			g := testGateway()
			same := startVersionBackend(t, "v1", breakOff, sendRest("v1"))
			var broken atomic.Pointer[time.Time]
			breaks := func(w http.ResponseWriter, r *http.Request) {
				g.Servers.MarkCurrent(clock.Now())
				g.Servers.Remove(clock.Now(), "first")
				time.Sleep(time.Millisecond)
				now := clock.Now()
				broken.Store(&now)
				if !answers {
					time.AfterFunc(200*time.Millisecond, func() { g.Servers.Put(clock.Now(), versionServer("same", "v1", same)) })
				}
				breakOff(w, r)
			}
			g.Servers.Put(clock.Now(), versionServer("first", "v1", startVersionBackend(t, "v1", breaks, rejectRest)))
			useResumableRoute(g)
			g.RetryBudget("s").SetLimit(clock.Now(), 0, 100, 10*time.Second)
			g.FindServer = func(context.Context, backs.Need) (string, error) { return "", errors.New("no server") }
			g.ConfirmServers = func(_ context.Context, by time.Time) error {
				if !answers {
					return errors.New("no answer")
				}
				asked := clock.Now()
				require.True(t, by.After(*broken.Load()), "confirmed as of the break")
				g.Servers.Put(asked, versionServer("same", "v1", same))
				g.Servers.MarkCurrent(asked)
				return nil
			}
			w := httptest.NewRecorder()
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, versionEvents("v1", 1, 3), w.Body.String())
		})
	}
}

// Guards against a stream that is ended for good by a full state that is older than the confirmation of the list.
func TestOlderFullStateEndsNoStream(t *testing.T) {
	a := versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1")))
	b := versionServer("b", "v2", startVersionBackend(t, "v2", breakOff, sendRest("v2")))
	g := testGateway(a, b)
	useResumableRoute(g)
	g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) {
		// After the request came, the list is confirmed for another one, and a new hub tells its list.
		time.Sleep(time.Millisecond)
		g.Servers.MarkCurrent(clock.Now())
		g.Servers.Merge(clock.Now(), backs.Update{States: []backs.State{{Entry: a}}, Full: true, Age: 30 * time.Second, SyncedFor: time.Hour})
		return origin.Record{Service: "s", Version: "v2"}, origin.Known
	}
	g.FindServer = func(context.Context, backs.Need) (string, error) { return "", errors.New("no server") }
	g.ConfirmServers = func(context.Context, time.Time) error { return errors.New("no answer") }
	w := httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, versionEvents("v2", 2, 3), w.Body.String())
}
