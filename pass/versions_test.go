package pass

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
)

// versionServer returns a server of service "s" that runs a software version.
func versionServer(id, version, address string) backs.Entry {
	e := server(id, "d", address)
	e.SoftwareVersion = version
	return e
}

// startVersionBackend starts a server of streams of three events that name its version. It sends one event of
// a new stream and then ends it as finish does; resume answers a request that takes a stream up.
func startVersionBackend(t *testing.T, version string, finish, resume http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", version)
		w.Header().Set("Content-Type", typeEvents)
		if r.Header.Get(headerLastEvent) != "" {
			resume(w, r)
			return
		}
		fmt.Fprint(w, versionEvents(version, 1, 1))
		w.(http.Flusher).Flush()
		finish(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func versionEvents(version string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, version)
	}
	return b.String()
}

// sendRest sends the second and third event of a version.
func sendRest(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, versionEvents(version, 2, 3)) }
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func fallSilent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// rejectRest says that the request was not run.
func rejectRest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// otherVersionServers is how many servers of another version could go on with a stream in a test. If the version
// is left to chance, one of them all but certainly does.
const otherVersionServers = 8

// Guards against a response whose rest comes from a server of another software version: the server that began
// the stream breaks it off or falls silent, or the other server of its version refuses to go on.
func TestFailoverKeepsSoftwareVersion(t *testing.T) {
	tests := map[string]struct {
		finish, resume http.HandlerFunc
		want           string
	}{
		"broken off":               {breakOff, sendRest("v1"), versionEvents("v1", 1, 3)},
		"silent":                   {fallSilent, sendRest("v1"), versionEvents("v1", 1, 3)},
		"broken off, then refused": {breakOff, rejectRest, versionEvents("v1", 1, 1)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := testGateway()
			other := startVersionBackend(t, "v2", breakOff, sendRest("v2"))
			same := startVersionBackend(t, "v1", breakOff, tc.resume)
			began := func(w http.ResponseWriter, r *http.Request) {
				g.Servers.Put(clock.Now(), versionServer("same", "v1", same))
				for i := range otherVersionServers {
					g.Servers.Put(clock.Now(), versionServer(fmt.Sprintf("other-%d", i), "v2", other))
				}
				tc.finish(w, r)
			}
			g.Servers.Put(clock.Now(), versionServer("first", "v1", startVersionBackend(t, "v1", began, rejectRest)))
			useResumableRoute(g)
			g.RetryBudget("s").SetLimit(0, 100, 10*time.Second)
			w := httptest.NewRecorder()
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, tc.want, w.Body.String())
		})
	}
}

// newStreamRequest returns a request for a stream whose caller waits for three seconds.
func newStreamRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Model", "m")
	r.Header.Set("Deadline", "3000")
	return r
}

// sendAborted sends a request whose response may be aborted.
func sendAborted(g *Gateway, w http.ResponseWriter, r *http.Request) {
	defer func() { _ = recover() }()
	g.ServeHTTP(w, r)
}
