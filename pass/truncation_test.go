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
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// connEnd is how a scripted server ends its connection.
type connEnd int

const (
	endClosed connEnd = iota
	endReset
	endSilent
)

// script is what a scripted server sends in response to each request: the head of a response with some
// framing, and the first sent bytes of its body. A script that sends the whole body ends it as its framing
// requires; then end is what happens to the connection.
type script struct {
	framing   httpx.Framing
	eventType bool
	body      string
	sent      int
	end       connEnd
	// oneWrite sends the head together with the body.
	oneWrite bool
}

// startScriptedServer starts a server that plays one script for each request, the last one for all further
// requests. A request with a Last-Event-Id gets the events after it.
func startScriptedServer(t *testing.T, name string, scripts ...script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		_ = l.Close()
	})
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go scripts[min(n, len(scripts)-1)].play(conn.(*net.TCPConn), name, ended)
		}
	}()
	return l.Addr().String()
}

func (s script) play(conn *net.TCPConn, name string, ended <-chan struct{}) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, sent := s.resumed(r.Header.Get(headerLastEvent))
	w := bufio.NewWriter(conn)
	_, _ = w.WriteString(s.head(name, r.Header.Get("Attempt"), len(body)))
	if !s.oneWrite {
		_ = w.Flush()
	}
	if s.framing == httpx.FramedByChunks {
		writeChunks(w, body, sent)
	} else {
		_, _ = w.WriteString(body[:sent])
	}
	_ = w.Flush()
	switch s.end {
	case endReset:
		// The gateway has to read what was sent before the reset discards it.
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	case endSilent:
		<-ended
	}
}

// writeChunks writes the first bytes of a body, one chunk for each event. Only a whole body gets its last
// chunk.
func writeChunks(w io.Writer, body string, sent int) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if sent == 0 && event != "" {
			return
		}
		part := event[:min(sent, len(event))]
		_, _ = fmt.Fprintf(w, "%x\r\n%s", len(event), part)
		if len(part) < len(event) {
			return
		}
		_, _ = io.WriteString(w, "\r\n")
		sent -= len(part)
	}
}

// resumed returns the body after an event, and how many bytes of it are sent.
func (s script) resumed(lastEvent string) (body string, sent int) {
	if lastEvent == "" {
		return s.body, s.sent
	}
	last, _ := strconv.Atoi(lastEvent)
	skip := len(strings.Join(strings.SplitAfterN(s.body, "\n\n", last+1)[:last], ""))
	return s.body[skip:], max(s.sent-skip, 0)
}

func (s script) head(name, attempt string, length int) string {
	head := "HTTP/1.1 200 OK\r\nAttempt: " + attempt + "\r\nStamp: " + name + "\r\n"
	if s.eventType {
		head += "Content-Type: " + typeEvents + "\r\n"
	}
	switch s.framing {
	case httpx.FramedByLength:
		head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	case httpx.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n"
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
	require.True(t, strings.HasPrefix(s.body, got.body), "%q of %q", got.body, s.body)
	if s.looksWhole() {
		require.Equal(t, httpx.FramedByClose, got.framing)
		return
	}
	require.True(t, got.broken, "framed as complete (%s): %q", got.framing, got.body)
}

// looksWhole reports whether nothing tells the end of the script from that of a whole response.
func (s script) looksWhole() bool {
	atEventEnd := strings.HasSuffix(s.body[:s.sent], "\n\n")
	return s.framing == httpx.FramedByClose && s.end == endClosed && (!s.eventType || atEventEnd)
}

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

var (
	// truncationFramings and truncationEnds are all ways in which a server can frame its response and end
	// its connection.
	truncationFramings = []httpx.Framing{httpx.FramedByLength, httpx.FramedByChunks, httpx.FramedByClose}
	truncationEnds     = map[string]connEnd{"closed": endClosed, "reset": endReset, "silent": endSilent}
	// truncationPoints is how many bytes of threeEvents a server sends before the end.
	truncationPoints = map[string]int{
		"after the head": 0, "inside an event": len("id: 1\ndata: a\n\nid: 2\nda"), "between two events": len("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
	}
)

// forEachTruncation runs a test for each framing, end and point of threeEvents.
func forEachTruncation(t *testing.T, test func(t *testing.T, s script)) {
	t.Helper()
	for _, framing := range truncationFramings {
		for end, connEnd := range truncationEnds {
			for point, sent := range truncationPoints {
				t.Run(framing.String()+", "+end+" "+point, func(t *testing.T) {
					t.Parallel()
					test(t, script{framing: framing, eventType: true, body: threeEvents, sent: sent, end: connEnd})
				})
			}
		}
	}
}

func wholeStream(framing httpx.Framing) script {
	return script{framing: framing, eventType: true, body: threeEvents, sent: len(threeEvents)}
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
	g.RetryBudget("s").SetLimit(0, 10, 10*time.Second)
	return g
}

// The head of a stream and its first event arrive together with a part of the second one, and then nothing.
// Guards against an event that is kept back, and a silence that is not noticed, until the deadline.
func TestSilenceInsideSecondEvent(t *testing.T) {
	s := script{framing: httpx.FramedByChunks, eventType: true, body: threeEvents, sent: truncationPoints["inside an event"], end: endSilent, oneWrite: true}
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
	broken := script{framing: httpx.FramedByChunks, eventType: true, body: threeEvents, sent: truncationPoints["inside an event"], end: endReset}
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
			s.eventType = false
			g := truncationGateway(routes.Route{Kind: kind}, startScriptedServer(t, "a", s))
			requireNotComplete(t, callGateway(t, g, truncationDeadline), s)
		})
	}
}

// A server breaks off a plain response that may be requested again. Guards against a caller who gets a part
// of the first response although another server has a whole one.
func TestTruncatedResponseRetried(t *testing.T) {
	forEachTruncation(t, func(t *testing.T, s script) {
		s.eventType = false
		if s.looksWhole() {
			t.Skip("not known to be broken off")
		}
		g := truncationGateway(routes.Route{Kind: routes.Idempotent, Objective: 10 * time.Millisecond}, startScriptedServer(t, "a", s), startScriptedServer(t, "b", script{framing: httpx.FramedByLength, body: threeEvents, sent: len(threeEvents)}))
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
		for _, framing := range truncationFramings {
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
	silent := script{framing: httpx.FramedByClose, eventType: true, body: threeEvents, sent: truncationPoints["between two events"], end: endSilent}
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
		"broken": {script{framing: httpx.FramedByChunks, eventType: true, body: threeEvents, sent: truncationPoints["inside an event"]}, true},
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
