package pass

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// scriptOf returns a script of threeEvents for a route.
func scriptOf(route routes.Route, framing httpx.Framing) script {
	s := wholeStream(framing)
	s.eventType = route.Kind == routes.Stream
	return s
}

// repeatableRoutes are routes whose requests go to another server while one is silent.
var repeatableRoutes = map[string]routes.Route{
	"idempotent":       {Kind: routes.Idempotent, Objective: 10 * time.Millisecond},
	"resumable stream": {Kind: routes.Stream, Resumable: true, Objective: 10 * time.Millisecond, MaxEventGap: time.Millisecond},
}

// answeredBefore is how long before the end of a silence another server has answered.
const answeredBefore = 60 * time.Millisecond

// A server is silent inside the head of its response until another one has answered, and then goes on or closes. Guards
// against a head that ends where the silence began, and against an answer that waits for the end of the silence.
func TestSilenceInsideHead(t *testing.T) {
	for kind, route := range repeatableRoutes {
		for _, lengthFirst := range []bool{true, false} {
			whole := scriptOf(route, httpx.FramedByLength)
			if whole.lengthFirst = lengthFirst; lengthFirst {
				whole.Framing = httpx.FramedByClose
			}
			for _, cut := range whole.headCuts("a", "a1") {
				for end, resumes := range map[string]bool{"closed": false, "goes on": true} {
					cut.Resumes = resumes
					t.Run(fmt.Sprintf("%s, length first %t, %s, %d bytes", kind, lengthFirst, end, cut.HeadSent), func(t *testing.T) {
						t.Parallel()
						testSilenceInsideHead(t, route, cut)
					})
				}
			}
		}
	}
}

func testSilenceInsideHead(t *testing.T, route routes.Route, silent script) {
	silenceEnd := make(chan struct{})
	silent.SilentUntil = silenceEnd
	var answers atomic.Int64
	other, stop, err := stand.StartScripted(func(r *http.Request) stand.ScriptedResponse {
		if answers.Add(1) == 1 {
			time.AfterFunc(answeredBefore, func() { close(silenceEnd) })
		}
		s := scriptOf(route, httpx.FramedByLength)
		s.Header = s.header("b", r.Header.Get("Attempt"))
		return s.ScriptedResponse
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	got := callGateway(t, truncationGateway(route, startScriptedServer(t, "a", silent), other), longDeadline)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, threeEvents, got.body)
	require.False(t, got.broken)
	require.Equal(t, int64(1), answers.Load(), "requests at the other server")
}

// headCutWays are the ways of a request to a server: that of a gateway, given that server and others.
var headCutWays = map[string]func(t *testing.T, route routes.Route, s script, others ...string) *Gateway{
	"direct": func(t *testing.T, route routes.Route, s script, others ...string) *Gateway {
		return truncationGateway(route, append([]string{startScriptedServer(t, "a", s)}, others...)...)
	},
	"proxy": func(t *testing.T, route routes.Route, s script, others ...string) *Gateway {
		addresses := append([]string{startScriptedServer(t, "a", s)}, others...)
		g := truncationGateway(route, addresses...)
		// A VM does not use a proxy for some time that has broken off.
		useProxies(g, serveAsProxy(t, truncationGateway(route, addresses...)), serveAsProxy(t, truncationGateway(route, addresses...)))
		return g
	},
	"head of the proxy": func(t *testing.T, route routes.Route, s script, others ...string) *Gateway {
		addresses := append([]string{"dead:1"}, others...)
		g := truncationGateway(route, addresses...)
		proxies := []string{startScriptedServer(t, "a", s)}
		if len(others) > 0 {
			proxies = append(proxies, serveAsProxy(t, truncationGateway(route, addresses...)))
		}
		useProxies(g, proxies...)
		return g
	},
}

// forEachHeadCut runs a test for each way, framing, end and cut of a head.
func forEachHeadCut(t *testing.T, route routes.Route, test func(t *testing.T, way string, s script)) {
	t.Helper()
	for way := range headCutWays {
		for _, framing := range stand.ResponseFramings {
			for end, connEnd := range map[string]stand.ConnEnd{"closed": stand.EndClosed, "reset": stand.EndReset} {
				for _, cut := range scriptOf(route, framing).headCuts("a", "a1") {
					cut.End = connEnd
					t.Run(fmt.Sprintf("%s, %s, %s, %d bytes", way, framing, end, cut.HeadSent), func(t *testing.T) {
						t.Parallel()
						test(t, way, cut)
					})
				}
			}
		}
	}
}

// A server stops inside the head of its response to a request that may have run. Guards against a success with what came
// of it, and against the promise that the request has not run.
func TestHeadCutOff(t *testing.T) {
	for kind, route := range map[string]routes.Route{"at most once": {Kind: routes.AtMostOnce}, "stream": {Kind: routes.Stream}} {
		t.Run(kind, func(t *testing.T) {
			forEachHeadCut(t, route, func(t *testing.T, way string, s script) {
				got := callGateway(t, headCutWays[way](t, route, s), longDeadline)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, errorBodies[http.StatusBadGateway]+"\n", got.body)
			})
		})
	}
}

// A server stops inside the head of its response, and another one has a whole answer. Guards against a caller who gets
// something else.
func TestHeadCutOffElsewhereWhole(t *testing.T) {
	for kind, route := range repeatableRoutes {
		t.Run(kind, func(t *testing.T) {
			forEachHeadCut(t, route, func(t *testing.T, way string, s script) {
				other := startScriptedServer(t, "b", scriptOf(route, httpx.FramedByChunks))
				got := callGateway(t, headCutWays[way](t, route, s, other), longDeadline)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, threeEvents, got.body)
				require.False(t, got.broken)
			})
		})
	}
}

// A server stops inside the head of its response to a HEAD request, or to a caller who speaks HTTP/1.0. Guards against a
// response without a body that such a caller takes for whole.
func TestHeadCutOffOldAndHeadCallers(t *testing.T) {
	route := routes.Route{Kind: routes.AtMostOnce}
	for name, request := range map[string]string{"HTTP/1.0": "GET /x HTTP/1.0", "HEAD": "HEAD /x HTTP/1.1"} {
		for _, cut := range scriptOf(route, httpx.FramedByLength).headCuts("a", "a1") {
			t.Run(fmt.Sprintf("%s, %d bytes", name, cut.HeadSent), func(t *testing.T) {
				t.Parallel()
				s := serveGateway(t, truncationGateway(route, startScriptedServer(t, "a", cut)))
				conn, err := net.Dial("tcp", s.Listener.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				_, err = io.WriteString(conn, request+"\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\n\r\n")
				require.NoError(t, err)
				method, _, _ := strings.Cut(request, " ")
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			})
		}
	}
}

// The second server of a stream stops inside the head of its response. Guards against a stream that ends there as
// complete, after the events of the first server.
func TestResumedStreamHeadCutOff(t *testing.T) {
	route := repeatableRoutes["resumable stream"]
	first := eventScript(stand.ScriptedResponse{Framing: httpx.FramedByChunks, Sent: truncationPoints["between two events"], End: stand.EndReset})
	for _, framing := range stand.ResponseFramings {
		for _, cut := range scriptOf(route, framing).headCuts("b", "a1") {
			for third, whole := range map[string]bool{"no third server": false, "a third server": true} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", third, framing, cut.HeadSent), func(t *testing.T) {
					t.Parallel()
					addresses := []string{startScriptedServer(t, "a", first), startScriptedServer(t, "b", cut)}
					if whole {
						addresses = append(addresses, startScriptedServer(t, "c", wholeStream(httpx.FramedByChunks)))
					}
					got := callGateway(t, truncationGateway(route, addresses...), longDeadline)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, !whole, got.broken, "%q", got.body)
					if whole {
						require.Equal(t, threeEvents, got.body)
					}
				})
			}
		}
	}
}

// startTwoAnswers starts a server that answers with events, and with so many bytes of the same on a connection that has
// brought an answer.
func startTwoAnswers(t *testing.T, bytesOfSecond int) (address string) {
	t.Helper()
	return startServer(t, func(conn net.Conn) { giveTwoAnswers(conn, bytesOfSecond) })
}

func giveTwoAnswers(conn net.Conn, bytesOfSecond int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := answerHead(r.Header.Get("Attempt")) + threeEvents
		if !first {
			_, _ = io.WriteString(conn, answer[:bytesOfSecond])
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func answerHead(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nStamp: a\r\n%s: %d\r\n\r\n", attempt, headerLength, len(threeEvents))
}

// A server answers on a kept connection and stops inside the head of its next response there. Guards against a success
// with what came of it or of the first response.
func TestSecondHeadCutOffOnKeptConnection(t *testing.T) {
	for bytes := 1; bytes < len(answerHead("a2")); bytes++ {
		t.Run(fmt.Sprintf("%d bytes", bytes), func(t *testing.T) {
			t.Parallel()
			g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, startTwoAnswers(t, bytes))
			for _, want := range []struct {
				attempt string
				status  int
			}{{"a1", http.StatusOK}, {"a2", http.StatusBadGateway}} {
				r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
				r.Header.Set("Attempt", want.attempt)
				r.Header.Set("Model", "m")
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				require.Equal(t, want.status, w.Code)
			}
		})
	}
}
