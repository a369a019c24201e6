package pass

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// startPausingBackend starts a server of streams of three events. It pauses after the first event,
// sends its name to pausedAt and continues when resume is closed. A resumed stream continues after
// its last event at once.
func startPausingBackend(t *testing.T, name string, pausedAt chan<- string, resume <-chan struct{}) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", name)
		w.Header().Set("Content-Type", typeEvents)
		first := 1
		if r.Header.Get(headerLastEvent) != "" {
			first = 2
		}
		for n := first; n <= 3; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, name)
			w.(http.Flusher).Flush()
			if n > 1 {
				continue
			}
			pausedAt <- name
			select {
			case <-resume:
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// useResumableRoute replaces the gateway's route with one for resumable streams.
func useResumableRoute(g *Gateway) {
	route := routes.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: time.Hour, MaxServers: 2,
		MaxEventGap: time.Millisecond, Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
}

// A server preempts a resumable stream and recomputes its prompt, so that no event arrives for a
// second or more. Guards against giving up the server before a retry and another server are
// available: the response was aborted although the first server would have completed it.
func TestSilentServerFailover(t *testing.T) {
	tests := map[string]struct {
		retries     float64
		otherServer bool
		// goesOn is set if the first server goes on.
		goesOn bool
		want   string
	}{
		"retry and other server": {retries: 10, otherServer: true, want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: b\n\n"},
		"no retry":               {otherServer: true, goesOn: true, want: "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n"},
		"no other server":        {retries: 10, goesOn: true, want: "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resume, pausedAt := make(chan struct{}), make(chan string, 1)
			g := testGateway(server("a", "d", startPausingBackend(t, "a", pausedAt, resume)))
			useResumableRoute(g)
			g.RetryBudget("s").SetLimit(clock.Now(), 0, tc.retries, 10*time.Second)
			go func() {
				if tc.goesOn {
					defer close(resume)
				}
				<-pausedAt
				if tc.otherServer {
					g.Servers.Put(clock.Now(), server("b", "d", startPausingBackend(t, "b", nil, nil)))
				}
				for g.Meter.CounterValue("pass.silent") == 0 {
					time.Sleep(time.Millisecond)
				}
			}()
			got := sendRequest(g)
			require.Equal(t, http.StatusOK, got.Code)
			require.Equal(t, tc.want, got.Body.String())
		})
	}
}

// firstWriteRecorder is a caller that signals the first bytes of its response.
type firstWriteRecorder struct {
	*httptest.ResponseRecorder
	once       sync.Once
	firstWrite chan struct{}
}

func (w *firstWriteRecorder) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.firstWrite) })
	return w.ResponseRecorder.Write(b)
}

// A caller disconnects in the middle of its stream, or this VM shuts down; both close the
// connection to the server. Guards against logging the status of an aborted stream in both cases,
// which made operators on call search for a fault that did not exist.
func TestStatusOfInterruptedStream(t *testing.T) {
	tests := map[string]struct {
		stopping bool
		want     string
	}{
		"caller disconnects": {false, `"status":499`},
		"VM shuts down":      {true, `"status":599`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pausedAt := make(chan string, 1)
			g := testGateway(server("a", "d", startPausingBackend(t, "a", pausedAt, nil)))
			useResumableRoute(g)
			var log bytes.Buffer
			g.Log = zerolog.New(&log)
			shutdown, stop := context.WithCancel(t.Context())
			defer stop()
			g.ShutdownContext = shutdown
			ctx, disconnect := context.WithCancel(t.Context())
			w := &firstWriteRecorder{ResponseRecorder: httptest.NewRecorder(), firstWrite: make(chan struct{})}
			r := httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx)
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Model", "m")
			go func() {
				<-w.firstWrite
				if tc.stopping {
					stop()
				}
				disconnect()
			}()
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { g.ServeHTTP(w, r) })
			require.Contains(t, log.String(), tc.want)
		})
	}
}

// The server of a resumable stream crashes, and the only other server has a long queue. Guards
// against refusing the stream like a new request, which aborted it: it must resume on that server.
func TestStartedStreamAdmission(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "a")
		w.Header().Set("Content-Type", typeEvents)
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	overloaded := server("b", "d", startPausingBackend(t, "b", nil, nil))
	g := testGateway(server("a", "d", strings.TrimPrefix(s.URL, "http://")), overloaded)
	useResumableRoute(g)
	g.RetryBudget("s").SetLimit(clock.Now(), 0, 10, 10*time.Second)
	g.Balancer.Begin(clock.Now(), pick.Choice{Server: overloaded, PrefillTime: time.Hour}, pick.Work{Model: "m"}, 0)
	got := sendRequest(g)
	require.Equal(t, http.StatusOK, got.Code)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: b\n\n", got.Body.String())
}
