package pass

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// copyMoment is when a faulty server gives its first answer a second time.
type copyMoment string

const (
	copyWithFirst     copyMoment = "together with the first"
	copyBeforeSend    copyMoment = "before the next send"
	copyAtHead        copyMoment = "between head and body of the next send"
	copyAfterSend     copyMoment = "after the next send"
	copyWithAnswer    copyMoment = "together with the next answer"
	copyAfterSilence  copyMoment = "after a silence"
	copySilence                  = 300 * time.Millisecond
	secondAnswerBytes            = 64 << 10
)

var copyMoments = []copyMoment{copyWithFirst, copyBeforeSend, copyAtHead, copyAfterSend, copyWithAnswer, copyAfterSilence}

// secondAnswers is a server that refuses or fails its first request, and gives that answer a second time on the same
// connection. It runs all others.
type secondAnswers struct {
	moment copyMoment
	// status is that of the first answer, which is a refusal unless it is 500. unnamed leaves the attempt out of a refusal.
	status  int
	unnamed bool
	events  bool
	// notice is a header of the first answer.
	notice string

	mu    sync.Mutex
	begun bool
	runs  map[string]int
}

// start serves on a free port.
func (s *secondAnswers) start(t *testing.T) (address string) {
	t.Helper()
	s.runs = make(map[string]int)
	return startServer(t, s.serve)
}

func (s *secondAnswers) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var second string
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.moment == copyAtHead {
			_, _ = io.WriteString(conn, second)
			second = ""
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if s.moment == copyAfterSilence && second != "" {
			time.Sleep(copySilence)
		}
		if s.moment == copyAfterSend || s.moment == copyAfterSilence {
			_, _ = io.WriteString(conn, second)
			second = ""
		}
		if s.isFirst() {
			second = s.giveFirst(conn, r)
			continue
		}
		s.mu.Lock()
		s.runs[r.Header.Get("Attempt")]++
		s.mu.Unlock()
		if _, err := io.WriteString(conn, second+s.answer(r)); err != nil {
			return
		}
		second = ""
	}
}

func (s *secondAnswers) isFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.begun
	s.begun = true
	return first
}

// giveFirst gives the first answer, and returns what is due later on the connection.
func (s *secondAnswers) giveFirst(conn net.Conn, r *http.Request) (due string) {
	answer := s.refusal(r)
	switch s.moment {
	case copyWithFirst:
		_, _ = io.WriteString(conn, answer+answer)
		return ""
	case copyBeforeSend:
		_, _ = io.WriteString(conn, answer)
		time.Sleep(roundInterval / 4)
		_, _ = io.WriteString(conn, answer)
		return ""
	}
	_, _ = io.WriteString(conn, answer)
	return answer
}

func (s *secondAnswers) refusal(r *http.Request) string {
	proof := s.notice + "Not-Run: 1\r\n"
	if s.status == http.StatusInternalServerError {
		proof = "Stamp: server\r\n"
	}
	if id := r.Header.Get("Attempt"); id != "" && !s.unnamed {
		proof += "Attempt: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", s.status, http.StatusText(s.status), proof)
}

func (s *secondAnswers) answer(r *http.Request) string {
	body, contentType := plainBody, "text/plain"
	if s.events {
		body, contentType = threeEvents, typeEvents
	}
	head := "Stamp: server\r\nContent-Type: " + contentType + "\r\n"
	if id := r.Header.Get("Attempt"); id != "" {
		head += "Attempt: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (s *secondAnswers) runsOf(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

// postAttempt sends a request with a long body to a gateway, over a connection of its own.
func postAttempt(t *testing.T, vm *httptest.Server, attempt string) callerView {
	t.Helper()
	return postBytes(t, vm, attempt, secondAnswerBytes)
}

// postBytes is postAttempt with a body of a length. The connection of a short one is kept for certain: that of a long one is
// closed if the answer overtakes the word that it was written.
func postBytes(t *testing.T, vm *httptest.Server, attempt string, length int) callerView {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, vm.URL+"/x", bytes.NewReader(make([]byte, length)))
	require.NoError(t, err)
	r.Host, r.Close = "h", true
	for name, value := range map[string]string{"Attempt": attempt, "Model": "m", "Deadline": "20000"} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	return readCallerView(resp)
}

// atTwoServers lets a route be sent to two servers, of which there is one.
func atTwoServers(t *testing.T, g *Gateway) *Gateway {
	t.Helper()
	route, ok := g.Table().Match("h", "/")
	require.True(t, ok)
	route.MaxServers = 2
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
	return g
}

// secondAnswerWays are the ways on which an attempt gets to a server again.
var secondAnswerWays = map[string]struct {
	status  int
	kind    routes.Kind
	gateway func(t *testing.T, kind routes.Kind, address string) *Gateway
}{
	"refused":                                  {http.StatusServiceUnavailable, routes.AtMostOnce, direct},
	"refused with 421":                         {http.StatusMisdirectedRequest, routes.AtMostOnce, direct},
	"refused stream":                           {http.StatusTooManyRequests, routes.Stream, direct},
	"refused through a proxy":                  {http.StatusServiceUnavailable, routes.AtMostOnce, throughProxy},
	"refused stream through a proxy":           {http.StatusTooManyRequests, routes.Stream, throughProxy},
	"failed and repeatable":                    {http.StatusInternalServerError, routes.Idempotent, direct},
	"failed and repeatable through a proxy":    {http.StatusInternalServerError, routes.Idempotent, throughProxy},
	"refused while another server is silent":   {http.StatusServiceUnavailable, routes.Idempotent, besideSilence},
	"refused stream, another server is silent": {http.StatusServiceUnavailable, routes.Stream, besideSilence},
}

func direct(t *testing.T, kind routes.Kind, address string) *Gateway {
	t.Helper()
	return atTwoServers(t, withoutModel(truncationGateway(routes.Route{Kind: kind}, address)))
}

func throughProxy(t *testing.T, kind routes.Kind, address string) *Gateway {
	t.Helper()
	g, proxy := proxiedGateway(t, routes.Route{Kind: kind}, address)
	withoutModel(proxy)
	return atTwoServers(t, withoutModel(g))
}

// withoutModel keeps the model at the servers of a gateway listed when one answers that it has none.
func withoutModel(g *Gateway) *Gateway {
	now := clock.Now()
	servers := g.Servers.All(now)
	g.ReportSuspect = func(string) {
		for _, e := range servers {
			g.Servers.Put(clock.Now(), e)
		}
	}
	return g
}

// besideSilence returns a gateway whose other server is silent until the end of the test.
func besideSilence(t *testing.T, kind routes.Kind, address string) *Gateway {
	t.Helper()
	g := testGateway()
	g.Table = func() *routes.Table { return hedgeTable(silentRoute(kind)) }
	g.RetryBudget("s").SetLimit(clock.Now(), 0, 10, time.Hour)
	g.Servers.Put(clock.Now(), server("silent", "d", hedgeServer(t, func(_ http.ResponseWriter, r *http.Request) {
		g.Servers.Put(clock.Now(), server("0", "d", address))
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})))
	return g
}

// A server gives the answer to the first send of an attempt a second time. Guards against taking that for the answer to
// the next send: the request runs, and is sent and run once more, or its caller is told that it was not run.
func TestSecondAnswerToAttempt(t *testing.T) {
	for name, way := range secondAnswerWays {
		for _, moment := range copyMoments {
			for named, unnamed := range map[string]bool{"": false, ", without the attempt": true} {
				if unnamed && way.status == http.StatusInternalServerError {
					continue // Such an answer is taken for no request's.
				}
				t.Run(name+", "+string(moment)+named, func(t *testing.T) {
					t.Parallel()
					s := &secondAnswers{moment: moment, status: way.status, unnamed: unnamed, events: way.kind == routes.Stream}
					got := postAttempt(t, serveGateway(t, way.gateway(t, way.kind, s.start(t))), "a1")
					require.Equal(t, 1, s.runsOf("a1"), "status %d", got.status)
					require.Equal(t, http.StatusOK, got.status)
					require.False(t, got.broken)
					require.Equal(t, map[bool]string{true: threeEvents, false: plainBody}[s.events], got.body)
				})
			}
		}
	}
}

// A server gives its refusal a second time as another request arrives on the connection. Guards against taking that for the
// refusal of the other request, which runs, and against losing that one's answer without need.
func TestSecondAnswerToOtherRequest(t *testing.T) {
	tests := map[string]struct {
		first, next string
		unnamed     bool
	}{
		"names its attempt":               {"a1", "a2", false},
		"names none":                      {"a1", "a2", true},
		"attempt comes again":             {"a1", "a1", false},
		"attempt comes again, names none": {"a1", "a1", true},
		"requests without attempts":       {"", "", false},
		"first one without an attempt":    {"", "a2", false},
		"next one without an attempt":     {"a1", "", false},
		"neither names one":               {"a1", "", true},
	}
	for name, tc := range tests {
		for way, gateway := range map[string]func(*testing.T, routes.Kind, string) *Gateway{"direct": direct, "through a proxy": throughProxy} {
			for _, moment := range copyMoments[2:] {
				t.Run(strings.Join([]string{name, way, string(moment)}, ", "), func(t *testing.T) {
					t.Parallel()
					s := &secondAnswers{moment: moment, status: http.StatusServiceUnavailable, unnamed: tc.unnamed}
					g := gateway(t, routes.AtMostOnce, s.start(t))
					g.RetryBudget("s").SetLimit(clock.Now(), 0, 0, time.Hour)
					vm := serveGateway(t, g)
					require.Equal(t, http.StatusServiceUnavailable, postAttempt(t, vm, tc.first).status)
					require.Zero(t, s.runsOf(tc.first))
					got := postAttempt(t, vm, tc.next)
					require.Equal(t, 1, s.runsOf(tc.next), "status %d", got.status)
					require.Equal(t, http.StatusOK, got.status)
				})
			}
		}
	}
}

// A connection has carried a question that names no attempt, as those about a server's health do, and the server refuses
// it. Guards against taking the second copy of that refusal for the one of a request that runs.
func TestUnnamedRefusalOnKeptConnection(t *testing.T) {
	for name, gateway := range map[string]func(*testing.T, routes.Kind, string) (g, sender *Gateway){
		"direct": func(t *testing.T, kind routes.Kind, address string) (g, sender *Gateway) {
			g = direct(t, kind, address)
			return g, g
		},
		"through a proxy": func(t *testing.T, kind routes.Kind, address string) (g, sender *Gateway) {
			return proxiedGateway(t, routes.Route{Kind: kind}, address)
		},
	} {
		for _, moment := range copyMoments[2:] {
			t.Run(name+", "+string(moment), func(t *testing.T) {
				t.Parallel()
				s := &secondAnswers{moment: moment, status: http.StatusServiceUnavailable}
				address := s.start(t)
				g, sender := gateway(t, routes.AtMostOnce, address)
				conn, err := sender.Pool.DialWithin(t.Context(), dialTimeout, "0", address)
				require.NoError(t, err)
				exchange, err := conn.Send(http.MethodGet, []byte("GET /health HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
				require.NoError(t, err)
				resp, err := exchange.ReadResponse()
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				exchange.Finish(clock.Now(), sender.Pool, resp, true)
				got := postAttempt(t, serveGateway(t, g), "a1")
				require.Equal(t, http.StatusBadGateway, got.status)
				require.LessOrEqual(t, s.runsOf("a1"), 1)
			})
		}
	}
}
