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

// pausing starts a server of streams of three events that falls silent behind the
// first, which it tells, until wait is closed. A resumed stream goes on behind its
// last event at once.
func pausing(t *testing.T, name string, silent chan<- string, wait <-chan struct{}) string {
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
			silent <- name
			select {
			case <-wait:
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// streamRoute makes the gateway's route one of streams that may be resumed.
func streamRoute(g *Gateway) {
	route := routes.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Resumable: true, Timeout: time.Hour, Attempts: 2,
		Gap: time.Millisecond, Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
}

// A server preempts a stream that may be resumed and reads its prompt anew; for a
// second and more no event comes. The VM gave the server up, and only then found
// that it had no retry left, or no other server: the caller's answer was broken off,
// while the server would have gone on. The server is given up only for a place where
// the stream can go on.
func TestASilentServerIsLeftOnlyForABetterPlace(t *testing.T) {
	tests := map[string]struct {
		retries float64
		other   bool
		want    string
	}{
		"a retry and another server": {retries: 10, other: true, want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: b\n\n"},
		"no retry left":              {other: true, want: "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n"},
		"no other server":            {retries: 10, want: "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wait, silent := make(chan struct{}), make(chan string, 1)
			g := testGateway(server("a", "d", pausing(t, "a", silent, wait)))
			streamRoute(g)
			g.Budget("s").Limit(0, tc.retries, 10*time.Second)
			go func() {
				defer close(wait)
				<-silent
				if tc.other {
					g.Servers.Put(clock.Now(), server("b", "d", pausing(t, "b", nil, nil)))
				}
				for g.Meter.CounterValue("pass.silent") == 0 {
					time.Sleep(time.Millisecond)
				}
			}()
			got := ask(g)
			require.Equal(t, http.StatusOK, got.Code)
			require.Equal(t, tc.want, got.Body.String())
		})
	}
}

// writes is a caller that tells when the first bytes of its answer came.
type writes struct {
	*httptest.ResponseRecorder
	once  sync.Once
	began chan struct{}
}

func (w *writes) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.began) })
	return w.ResponseRecorder.Write(b)
}

// A caller leaves in the middle of its stream, or this VM stops then. The connection to the
// server is closed for it, and the log said in both cases that the VM had broken the
// stream off: on call looked for a fault where there was none.
func TestStreamsOfCallersThatLeftAreNotBrokenOff(t *testing.T) {
	tests := map[string]struct {
		stopping bool
		want     string
	}{
		"the caller leaves": {false, `"status":499`},
		"the VM stops":      {true, `"status":599`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			silent := make(chan string, 1)
			g := testGateway(server("a", "d", pausing(t, "a", silent, nil)))
			streamRoute(g)
			var log bytes.Buffer
			g.Log = zerolog.New(&log)
			closing, stop := context.WithCancel(t.Context())
			defer stop()
			g.Closing = closing
			ctx, leave := context.WithCancel(t.Context())
			w := &writes{ResponseRecorder: httptest.NewRecorder(), began: make(chan struct{})}
			r := httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx)
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Model", "m")
			go func() {
				<-w.began
				if tc.stopping {
					stop()
				}
				leave()
			}()
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { g.ServeHTTP(w, r) })
			require.Contains(t, log.String(), tc.want)
		})
	}
}

// A server crashes with a stream that may be resumed, and the queue of the only other one is
// long. Held back and then refused as a new request would be, the stream was broken off; it
// goes on behind that queue.
func TestBegunStreamsGoOnBehindALongQueue(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "a")
		w.Header().Set("Content-Type", typeEvents)
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	crowded := server("b", "d", pausing(t, "b", nil, nil))
	g := testGateway(server("a", "d", strings.TrimPrefix(s.URL, "http://")), crowded)
	streamRoute(g)
	g.Budget("s").Limit(0, 10, 10*time.Second)
	g.Book.Begin(clock.Now(), pick.Choice{Server: crowded, Reading: time.Hour}, pick.Work{Model: "m"}, 0)
	got := ask(g)
	require.Equal(t, http.StatusOK, got.Code)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: b\n\n", got.Body.String())
}
