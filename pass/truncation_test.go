package pass

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// script is what a scripted server sends in response to a request.
type script struct {
	stand.ScriptedResponse
	eventType bool
	// lengthFirst has the head begin with the length of the body, which its framing then does not state.
	lengthFirst bool
}

// startScriptedServer starts a server that plays a script for each request. A request with a Last-Event-Id
// gets the events after it.
func startScriptedServer(t *testing.T, name string, s script) string {
	t.Helper()
	address, stop, err := stand.StartScripted(func(r *http.Request) stand.ScriptedResponse {
		resp := s.resumed(r.Header.Get(headerLastEvent))
		resp.Header = s.header(name, r.Header.Get("Attempt"))
		return resp
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// header returns the header lines before that of the framing.
func (s script) header(name, attempt string) string {
	header := ""
	if s.lengthFirst {
		header = fmt.Sprintf("%s: %d\r\n", headerLength, len(s.Body))
	}
	header += "Attempt: " + attempt + "\r\nStamp: " + name + "\r\n"
	if s.eventType {
		header += "Content-Type: " + typeEvents + "\r\n"
	}
	return header
}

// headCuts returns the script broken off after each byte of its head but the last one, for a server and an attempt.
func (s script) headCuts(name, attempt string) []script {
	resp := s.ScriptedResponse
	resp.Header = s.header(name, attempt)
	var cuts []script
	for _, cut := range resp.HeadCuts() {
		one := s
		one.HeadSent = cut.HeadSent
		cuts = append(cuts, one)
	}
	return cuts
}

// resumed returns the response after an event.
func (s script) resumed(lastEvent string) stand.ScriptedResponse {
	resp := s.ScriptedResponse
	if last, err := strconv.Atoi(lastEvent); err == nil {
		skipped := len(strings.Join(strings.SplitAfter(s.Body, "\n\n")[:last], ""))
		resp.Body, resp.Sent = resp.Body[skipped:], max(resp.Sent-skipped, 0)
	}
	return resp
}

// callerView is a response as its caller sees it on the connection.
type callerView struct {
	status int
	body   string
	// broken is set if the caller can tell that the response is incomplete, and framing is how the
	// response marks its end.
	broken  bool
	framing httpx.Framing
}

// serveGateway serves a gateway as a VM does.
func serveGateway(t *testing.T, g *Gateway) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(g)
	s.Config.ConnContext = httpx.WithConn
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// openResponse sends a request with an HTTP version over a connection of its own and reads the head of the
// response.
func openResponse(t *testing.T, s *httptest.Server, version string, deadline time.Duration) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET /x %s\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nDeadline: %d\r\n\r\n", version, deadline.Milliseconds())
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

func readCallerView(resp *http.Response) callerView {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerView{status: resp.StatusCode, body: string(body), broken: err != nil, framing: httpx.FramingOf(resp)}
}

// callGateway sends a request and reads the response to its end.
func callGateway(t *testing.T, g *Gateway, deadline time.Duration) callerView {
	t.Helper()
	return readCallerView(openResponse(t, serveGateway(t, g), "HTTP/1.1", deadline))
}

// requireNotComplete requires that a caller who got less than the whole body can tell. If the end of the
// script looks like that of a whole response, it suffices that the caller was not told that it is whole.
func requireNotComplete(t *testing.T, got callerView, s script) {
	t.Helper()
	if got.status != http.StatusOK {
		return
	}
	require.True(t, strings.HasPrefix(s.Body, got.body), "%q of %q", got.body, s.Body)
	if s.looksWhole() {
		require.Equal(t, httpx.FramedByClose, got.framing)
		return
	}
	require.True(t, got.broken, "framed as complete (%s): %q", got.framing, got.body)
}

// looksWhole reports whether nothing tells the end of the script from that of a whole response.
func (s script) looksWhole() bool {
	atEventEnd := strings.HasSuffix(s.Body[:s.Sent], "\n\n")
	return s.Framing == httpx.FramedByClose && s.End == stand.EndClosed && (!s.eventType || atEventEnd)
}

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

var (
	// truncationPoints is how many bytes of threeEvents a server sends before the end.
	truncationPoints = map[string]int{
		"after the head": 0, "inside an event": len("id: 1\ndata: a\n\nid: 2\nda"), "between two events": len("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
	}
)

// forEachTruncation runs a test for each framing, end and point of threeEvents.
func forEachTruncation(t *testing.T, test func(t *testing.T, s script)) {
	t.Helper()
	for _, framing := range stand.ResponseFramings {
		for end, connEnd := range stand.ConnEnds {
			for point, sent := range truncationPoints {
				t.Run(framing.String()+", "+end+" "+point, func(t *testing.T) {
					t.Parallel()
					test(t, eventScript(stand.ScriptedResponse{Framing: framing, Sent: sent, End: connEnd}))
				})
			}
		}
	}
}

// eventScript returns a script that sends a part of threeEvents.
func eventScript(s stand.ScriptedResponse) script {
	s.Body = threeEvents
	return script{ScriptedResponse: s, eventType: true}
}

// plainScript returns a script without the content type of events.
func plainScript(s script) script {
	s.eventType = false
	return s
}

func wholeStream(framing httpx.Framing) script {
	return eventScript(stand.ScriptedResponse{Framing: framing, Sent: len(threeEvents)})
}

// truncationGateway returns a gateway with one route of a kind, to servers at these addresses.
func truncationGateway(route routes.Route, addresses ...string) *Gateway {
	var servers []backs.Entry
	for i, address := range addresses {
		// The servers lie in domains ever farther away, so that they are tried in order.
		servers = append(servers, server(strconv.Itoa(i), strings.Repeat("d", i+1), address))
	}
	g := testGateway(servers...)
	route.Name, route.Host, route.PathPrefix = "r", "h", "/"
	route.Timeout, route.MaxServers = time.Hour, len(addresses)
	route.Targets = []routes.Target{{Service: "s", Weight: 1}}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
	g.RetryBudget("s").SetLimit(clock.Now(), 0, 10, 10*time.Second)
	return g
}

// The head of a stream and its first event arrive together with a part of the second one, and then nothing.
// Guards against an event that is kept back, and a silence that is not noticed, until the deadline.
func TestSilenceInsideSecondEvent(t *testing.T) {
	s := eventScript(stand.ScriptedResponse{Framing: httpx.FramedByChunks, Sent: truncationPoints["inside an event"], End: stand.EndSilent, OneWrite: true})
	g := truncationGateway(routes.Route{Kind: routes.Stream, Resumable: true, Objective: 10 * time.Millisecond, MaxEventGap: time.Millisecond},
		startScriptedServer(t, "a", s), startScriptedServer(t, "b", wholeStream(httpx.FramedByChunks)))
	got := callGateway(t, g, longDeadline)
	require.Equal(t, threeEvents, got.body)
	require.False(t, got.broken)
}

const (
	// truncationDeadline is the deadline of requests whose server may be silent until the end, and
	// longDeadline that of all others.
	truncationDeadline = 500 * time.Millisecond
	longDeadline       = time.Minute
)

// A server breaks off a stream that may not be resumed. Guards against an end that the caller takes for that
// of a whole stream.
func TestTruncatedStreamNotComplete(t *testing.T) {
	forEachTruncation(t, func(t *testing.T, s script) {
		g := truncationGateway(routes.Route{Kind: routes.Stream}, startScriptedServer(t, "a", s))
		requireNotComplete(t, callGateway(t, g, truncationDeadline), s)
	})
}

// A server breaks off a resumable stream. Guards against a stream that ends early although another server
// could have continued it.
func TestTruncatedStreamResumed(t *testing.T) {
	forEachTruncation(t, func(t *testing.T, s script) {
		g := truncationGateway(routes.Route{Kind: routes.Stream, Resumable: true, Objective: 10 * time.Millisecond, MaxEventGap: time.Millisecond},
			startScriptedServer(t, "a", s), startScriptedServer(t, "b", wholeStream(httpx.FramedByChunks)))
		got := callGateway(t, g, longDeadline)
		require.Equal(t, http.StatusOK, got.status)
		if s.looksWhole() {
			requireNotComplete(t, got, s)
			return
		}
		require.Equal(t, threeEvents, got.body)
		require.False(t, got.broken)
	})
}

// The second server of a stream ends it with its connection, after an event. Guards against a last chunk
// for a stream that may have been cut short.
func TestResumedStreamWithoutFraming(t *testing.T) {
	broken := eventScript(stand.ScriptedResponse{Framing: httpx.FramedByChunks, Sent: truncationPoints["inside an event"], End: stand.EndReset})
	tests := map[string]struct {
		third  script
		broken bool
	}{
		"a third server confirms the end": {wholeStream(httpx.FramedByChunks), false},
		"no server confirms the end":      {wholeStream(httpx.FramedByClose), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := truncationGateway(routes.Route{Kind: routes.Stream, Resumable: true, MaxEventGap: time.Millisecond},
				startScriptedServer(t, "a", broken), startScriptedServer(t, "b", wholeStream(httpx.FramedByClose)), startScriptedServer(t, "c", tc.third))
			got := callGateway(t, g, longDeadline)
			require.Equal(t, threeEvents, got.body)
			require.Equal(t, tc.broken, got.broken)
		})
	}
}

// A server breaks off a plain response. Guards against a length that the gateway made up from what it got.
func TestTruncatedResponseNotComplete(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce} {
		forEachTruncation(t, func(t *testing.T, s script) {
			s = plainScript(s)
			g := truncationGateway(routes.Route{Kind: kind}, startScriptedServer(t, "a", s))
			requireNotComplete(t, callGateway(t, g, truncationDeadline), s)
		})
	}
}

// A server breaks off a plain response that may be requested again. Guards against a caller who gets a part
// of the first response although another server has a whole one.
func TestTruncatedResponseRetried(t *testing.T) {
	forEachTruncation(t, func(t *testing.T, s script) {
		s = plainScript(s)
		if s.looksWhole() {
			t.Skip("not known to be broken off")
		}
		g := truncationGateway(routes.Route{Kind: routes.Idempotent, Objective: 10 * time.Millisecond}, startScriptedServer(t, "a", s), startScriptedServer(t, "b", plainScript(wholeStream(httpx.FramedByLength))))
		got := callGateway(t, g, longDeadline)
		require.Equal(t, threeEvents, got.body)
		require.False(t, got.broken)
	})
}

// Guards against losing whole responses, whose servers frame them in any way, to the checks for truncated
// ones.
func TestWholeResponsePassedOn(t *testing.T) {
	kinds := map[string]routes.Route{
		"stream": {Kind: routes.Stream}, "resumable stream": {Kind: routes.Stream, Resumable: true, MaxEventGap: time.Millisecond},
		"idempotent": {Kind: routes.Idempotent}, "at most once": {Kind: routes.AtMostOnce},
	}
	for kind, route := range kinds {
		for _, framing := range stand.ResponseFramings {
			t.Run(kind+", "+framing.String(), func(t *testing.T) {
				t.Parallel()
				s := wholeStream(framing)
				s.eventType = route.Kind == routes.Stream
				got := callGateway(t, truncationGateway(route, startScriptedServer(t, "a", s)), longDeadline)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, threeEvents, got.body)
				require.False(t, got.broken)
				require.Equal(t, framing == httpx.FramedByClose, got.framing == httpx.FramedByClose, "framed by %s", got.framing)
			})
		}
	}
}

// A VM is killed while it passes on a stream that its server ends with the connection. Guards against a
// caller who takes the close of the killed process for the end of the stream.
func TestKilledVMResetsStream(t *testing.T) {
	silent := eventScript(stand.ScriptedResponse{Framing: httpx.FramedByClose, Sent: truncationPoints["between two events"], End: stand.EndSilent})
	g := truncationGateway(routes.Route{Kind: routes.Stream}, startScriptedServer(t, "a", silent))
	s := serveGateway(t, g)
	resp := openResponse(t, s, "HTTP/1.1", longDeadline)
	require.NoError(t, s.Config.Close())
	got := readCallerView(resp)
	require.True(t, got.broken, "framed as complete (%s): %q", got.framing, got.body)
}

// A server breaks off a chunked stream whose caller speaks HTTP/1.0, which has no chunks. Guards against an
// end that this caller takes for that of a whole stream.
func TestTruncatedStreamToHTTP10Caller(t *testing.T) {
	tests := map[string]struct {
		script script
		broken bool
	}{
		"broken": {eventScript(stand.ScriptedResponse{Framing: httpx.FramedByChunks, Sent: truncationPoints["inside an event"]}), true},
		"whole":  {wholeStream(httpx.FramedByChunks), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := truncationGateway(routes.Route{Kind: routes.Stream}, startScriptedServer(t, "a", tc.script))
			got := readCallerView(openResponse(t, serveGateway(t, g), "HTTP/1.0", longDeadline))
			require.Equal(t, tc.broken, got.broken, "framed as complete (%s): %q", got.framing, got.body)
		})
	}
}

// A server answers a HEAD request, whose response has no body, with or without a length. Guards against a
// length of the gateway's own.
func TestLengthOfHeadResponse(t *testing.T) {
	for name, length := range map[string]string{"known": "48", "unknown": ""} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Attempt", r.Header.Get("Attempt"))
				w.Header().Set("Stamp", "a")
				if length != "" {
					w.Header().Set(headerLength, length)
				}
			}))
			t.Cleanup(s.Close)
			gateway := serveGateway(t, truncationGateway(routes.Route{Kind: routes.Idempotent}, strings.TrimPrefix(s.URL, "http://")))
			r, err := http.NewRequestWithContext(t.Context(), http.MethodHead, gateway.URL+"/x", http.NoBody)
			require.NoError(t, err)
			r.Host = "h"
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Model", "m")
			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, length, resp.Header.Get(headerLength))
		})
	}
}
