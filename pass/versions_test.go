package pass

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/origin"
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
		_, _ = io.WriteString(w, versionEvents(version, 1, 1))
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
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, versionEvents(version, 2, 3)) }
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
			g.RetryBudget("s").SetLimit(clock.Now(), 0, 100, 10*time.Second)
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

// testProbe asks a server of a test for the Unix time of its start.
var testProbe = &InstanceProbe{Path: "/started", ParseStartTime: func(body []byte) (time.Time, error) {
	seconds, err := strconv.ParseInt(string(body), 10, 64)
	return time.Unix(seconds, 0), err
}}

// startInstance starts a server that says that it started at a time, and serves streams of a version.
func startInstance(t *testing.T, startedAt int64, version string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == testProbe.Path {
			_, _ = fmt.Fprint(w, startedAt)
			return
		}
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", version)
		w.Header().Set("Content-Type", typeEvents)
		_, _ = io.WriteString(w, versionEvents(version, 1, 3))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// instanceEntry returns the entry of an instance of a server that started at a time.
func instanceEntry(name, version, address string, startedAt int64) backs.Entry {
	e := versionServer(name, version, address)
	e.Name, e.StartedAt = name, time.Unix(startedAt, 0)
	e.ID = backs.InstanceID(name, e.StartedAt)
	return e
}

// Guards against a server that came back under its name and address as another software version, which this VM, or
// its proxy, does not know yet: a stream begins there under the version of the old entry, and goes on at servers of
// that.
func TestServerCameBackAsAnotherVersion(t *testing.T) {
	for _, proxied := range []bool{false, true} {
		t.Run(fmt.Sprintf("proxied %v", proxied), func(t *testing.T) {
			back := instanceEntry("back", "v1", startInstance(t, 2000, "v2"), 1000)
			same := instanceEntry("same", "v1", startInstance(t, 1000, "v1"), 1000)
			g, proxy := testGateway(back), testGateway(back)
			for _, gateway := range []*Gateway{g, proxy} {
				useResumableRoute(gateway)
				gateway.InstanceProbe = testProbe
				gateway.RetryBudget("s").SetLimit(clock.Now(), 0, 100, 10*time.Second)
			}
			if proxied {
				losePath(g)
				useProxies(g, serveAsProxy(t, proxy))
			}
			time.AfterFunc(50*time.Millisecond, func() {
				for _, gateway := range []*Gateway{g, proxy} {
					gateway.Servers.Put(clock.Now(), same)
				}
			})
			w := httptest.NewRecorder()
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, versionEvents("v1", 1, 3), w.Body.String())
			prober := g
			if proxied {
				prober = proxy
			}
			require.False(t, prober.Servers.Usable(clock.Now(), back.ID), "the old instance is still in use")
			probes := prober.Meter.CounterValue("pass.instance_probes")
			w = httptest.NewRecorder()
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, versionEvents("v1", 1, 3), w.Body.String())
			require.Equal(t, probes, prober.Meter.CounterValue("pass.instance_probes"), "a kept connection is asked again")
		})
	}
}

// Guards against a server whose entry does not tell its start, and that came back under its name and address as another
// software version: a stream begins there under the version of the old entry, and goes on at servers of that.
func TestServerWithoutStartCameBackAsAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		// startTold is set if the entry of another server tells its start.
		startTold  bool
		backStart  int64
		wantProbes int64
		want       string
	}{
		"other entries tell their start":                       {true, 2000, 2, "v1"},
		"other entries do, and the server tells none":          {true, time.Time{}.Unix(), 1, "v2"},
		"no entry tells a start, so that names are not reused": {false, 2000, 0, "v2"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			back := versionServer("back", "v1", startInstance(t, tc.backStart, "v2"))
			same := instanceEntry("same", "v1", startInstance(t, 1000, "v1"), 1000)
			g := testGateway(back)
			useResumableRoute(g)
			g.InstanceProbe = testProbe
			g.RetryBudget("s").SetLimit(clock.Now(), 0, 100, 10*time.Second)
			if tc.startTold {
				leaving := instanceEntry("leaving", "v1", same.Address, 1000)
				leaving.Draining = true
				g.Servers.Put(clock.Now(), leaving)
			}
			w := httptest.NewRecorder()
			time.AfterFunc(50*time.Millisecond, func() { g.Servers.Put(clock.Now(), same) })
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, versionEvents(tc.want, 1, 3), w.Body.String())
			require.Equal(t, tc.wantProbes, g.Meter.CounterValue("pass.instance_probes"))
		})
	}
}

// takeUpRequest returns a request that takes a stream up after its first event.
func takeUpRequest(resumes ...string) *http.Request {
	r := newStreamRequest()
	r.Header.Set("Last-Event-Id", "1")
	r.Header[testHeaderNames.Resumes] = resumes
	return r
}

// Guards against callers that wait for nothing, or that are told to come back although nothing will have changed.
func TestAnswerToStreamThatCanNotGoOn(t *testing.T) {
	known := origin.Record{Service: "s", Version: "v1"}
	tests := map[string]struct {
		resumes    []string
		record     origin.Record
		verdict    origin.Verdict
		servers    []string
		want       int
		body       string
		retryAfter bool
	}{
		"its version serves":         {[]string{"a0"}, known, origin.Known, []string{"v1", "v2"}, 200, "v1", false},
		"its version serves no more": {[]string{"a0"}, known, origin.Known, []string{"v2"}, 503, "begin it anew", false},
		"nobody knows the attempt":   {[]string{"a0"}, known, origin.Unknown, []string{"v1", "v2"}, 503, "begin it anew", false},
		"the keepers do not answer":  {[]string{"a0"}, known, origin.Unanswered, []string{"v1", "v2"}, 503, "come back later", true},
		"the attempt is not named":   {nil, known, origin.Known, []string{"v1", "v2"}, 503, "begin it anew", false},
		"one version, nobody knows":  {[]string{"a0"}, known, origin.Unknown, []string{"v1"}, 200, "v1", false},
		"one version, not named":     {nil, known, origin.Unknown, []string{"v1"}, 200, "v1", false},
		"two attempts are named":     {[]string{"a0", "a1"}, known, origin.Known, []string{"v1"}, 400, "no valid attempt", false},
		"the name is no ID":          {[]string{"a 0"}, known, origin.Known, []string{"v1"}, 400, "no valid attempt", false},
		"the name is empty":          {[]string{""}, known, origin.Known, []string{"v1"}, 400, "no valid attempt", false},
		"the name is too long":       {[]string{strings.Repeat("a", 200)}, known, origin.Known, []string{"v1"}, 400, "no valid attempt", false},
		"another service began it":   {[]string{"a0"}, origin.Record{Service: "gone", Version: "v1"}, origin.Known, []string{"v1"}, 503, "begin it anew", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := testGateway()
			useResumableRoute(g)
			g.FindOrigin = func(_ context.Context, attempt string) (origin.Record, origin.Verdict) {
				require.Equal(t, "a0", attempt)
				return tc.record, tc.verdict
			}
			var entries []backs.Entry
			for i, version := range tc.servers {
				address := startVersionBackend(t, version, breakOff, sendRest(version))
				entries = append(entries, versionServer(fmt.Sprint(i), version, address))
			}
			g.Servers.Replace(clock.Now(), entries)
			g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: 24 * time.Hour})
			confirming, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for confirming.Err() == nil {
					g.Servers.MarkCurrent(clock.Now())
					time.Sleep(time.Millisecond)
				}
			}()
			w := httptest.NewRecorder()
			sendAborted(g, w, takeUpRequest(tc.resumes...))
			require.Equal(t, tc.want, w.Code, w.Body.String())
			require.Contains(t, w.Body.String(), tc.body)
			require.Equal(t, tc.retryAfter, w.Header().Get("Retry-After") != "")
			if tc.want == http.StatusOK {
				require.Equal(t, versionEvents("v1", 2, 3), w.Body.String())
			}
		})
	}
}

// Guards against a proof by a list that is older than the request: the VM that began the stream may have known servers
// which this VM does not.
func TestListProvesVersionOnlyWhenConfirmed(t *testing.T) {
	g := testGateway(versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1"))))
	useResumableRoute(g)
	g.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: 24 * time.Hour})
	w := httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// Guards against keepers that are told late, after the caller may have the event, or not of a stream that is taken up.
func TestOriginIsToldBeforeFirstEvent(t *testing.T) {
	g := testGateway(versionServer("a", "v1", startVersionBackend(t, "v1", func(http.ResponseWriter, *http.Request) {}, sendRest("v1"))))
	useResumableRoute(g)
	w := httptest.NewRecorder()
	told := map[string]origin.Record{}
	g.TellOrigin = func(attempt string, r origin.Record) {
		require.Empty(t, w.Body.String())
		told[attempt] = r
	}
	g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) {
		return origin.Record{Service: "s", Version: "v1"}, origin.Known
	}
	sendAborted(g, w, newStreamRequest())
	require.Equal(t, map[string]origin.Record{"a1": {Service: "s", Version: "v1"}}, told)
	w = httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, origin.Record{Service: "s", Version: "v1"}, told["a0"])
}

// Guards against a caller that is told that its version serves no more, as this VM does not know the servers of a new
// version yet.
func TestServersOfNewVersionNotListedYet(t *testing.T) {
	g := testGateway(versionServer("a", "v1", startVersionBackend(t, "v1", breakOff, sendRest("v1"))))
	useResumableRoute(g)
	g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) {
		return origin.Record{Service: "s", Version: "v2"}, origin.Known
	}
	g.FindServer = func(ctx context.Context, need backs.Need) (string, error) {
		require.Equal(t, backs.Need{Service: "s", Model: "m", Version: "v2"}, need)
		g.Servers.Put(clock.Now(), versionServer("b", "v2", startVersionBackend(t, "v2", breakOff, sendRest("v2"))))
		return "b", nil
	}
	w := httptest.NewRecorder()
	sendAborted(g, w, takeUpRequest("a0"))
	require.Equal(t, versionEvents("v2", 2, 3), w.Body.String())
}
