package guard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/drain"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/meter"
)

const (
	testGivesWay = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	testRefusal  = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// testServer is an HTTP server with a port of a guard.
type testServer struct {
	*httptest.Server
	guard *Guard
	ran   chan string
	// hold keeps requests to /held until it is closed.
	hold chan struct{}
}

func newTestServer(t *testing.T, g *Guard, p Port) *testServer {
	t.Helper()
	s := &testServer{guard: g, ran: make(chan string, 64), hold: make(chan struct{})}
	g.Meter = meter.New()
	p.Name, p.GivesWay, p.Refusal = "test", testGivesWay, testRefusal
	port := g.AddPort(p)
	l, err := port.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread-body" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		s.ran <- r.URL.Path
		if r.URL.Path == "/held" {
			<-s.hold
		}
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 64<<20))
		}
		_, _ = w.Write(body)
	}))
	port.Attach(s.Config)
	_ = s.Listener.Close()
	s.Listener = port.Listener(l)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// open opens a connection and sends a text on it.
func (s *testServer) open(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	s.send(t, c, text)
	return c
}

func (s *testServer) send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// awaitHeld waits until the guard's count of bytes has a property.
func (s *testServer) awaitHeld(t *testing.T, right func(int64) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return right(s.guard.Held()) }, time.Minute, time.Millisecond)
}

func (s *testServer) awaitConns(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return s.openConns() == n }, time.Minute, time.Millisecond)
}

func (s *testServer) openConns() int {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return len(s.guard.ports[0].conns)
}

// status reads a response and returns its status, 0 if there is none.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

const get = "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a new connection that gets no place because of those that send nothing more, and against the close of one
// whose request runs.
func TestNewConnectionTakesPlaceOfOldestWithoutRequest(t *testing.T) {
	for name, first := range map[string]string{
		"silent":    "",
		"half head": "GET / HTTP/1.1\r\n",
		"kept":      get,
		"half body": "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, &Guard{}, Port{MaxConns: 3})
			defer close(s.hold)
			running := s.open(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
			require.Equal(t, "/held", <-s.ran)
			oldest := s.open(t, first)
			if name == "kept" {
				require.Equal(t, http.StatusOK, status(t, oldest))
				require.Equal(t, "/ordinary", <-s.ran)
			}
			s.awaitConns(t, 2)
			s.awaitPending(t, 1)
			younger := s.open(t, "")
			s.awaitConns(t, 3)
			require.Equal(t, http.StatusOK, status(t, s.open(t, get)))
			if name == "half body" {
				require.Zero(t, status(t, oldest))
			} else {
				require.Equal(t, http.StatusRequestTimeout, status(t, oldest))
			}
			require.Equal(t, int64(1), s.guard.Meter.CounterValue("guard.closed.test.connections"))
			s.send(t, younger, get)
			require.Equal(t, http.StatusOK, status(t, younger))
			s.hold <- struct{}{}
			require.Equal(t, http.StatusOK, status(t, running))
		})
	}
}

// awaitPending waits until a number of connections are without a whole request.
func (s *testServer) awaitPending(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.ports[0].pending.Len() == n
	}, time.Minute, time.Millisecond)
}

// Guards against a connection beyond the bound that waits without an answer while all others have a request in progress.
func TestConnectionBeyondBoundIsRefusedAtOnce(t *testing.T) {
	s := newTestServer(t, &Guard{}, Port{MaxConns: 1})
	running := s.open(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "/held", <-s.ran)
	refused := s.open(t, "")
	require.Equal(t, http.StatusServiceUnavailable, status(t, refused))
	close(s.hold)
	require.Equal(t, http.StatusOK, status(t, running))
	require.Empty(t, s.ran)
}

// Guards against a small request that has to give way to long heads of others.
func TestLongestHeadGivesWayToOthers(t *testing.T) {
	memory := int64(4*connBytes + 384<<10)
	s := newTestServer(t, &Guard{Memory: func() int64 { return memory }}, Port{})
	small := s.open(t, "GET / HTTP/1.1\r\n")
	long := s.open(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 1500))
	s.awaitHeld(t, func(held int64) bool { return held > 1500*lineBytes })
	other := s.open(t, "GET /other HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 1300))
	require.Equal(t, http.StatusRequestTimeout, status(t, long))
	s.send(t, other, "\r\n")
	require.Equal(t, http.StatusOK, status(t, other))
	s.send(t, small, "Host: h\r\n\r\n")
	require.Equal(t, http.StatusOK, status(t, small))
	require.Equal(t, int64(1), s.guard.Meter.CounterValue("guard.closed.test.memory"))
}

// Guards against memory that stays counted after requests and connections have ended.
func TestNothingIsHeldAfterwards(t *testing.T) {
	for name, first := range map[string]string{
		"answered":  get,
		"half head": "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 100),
		"bad head":  "GET\r\n\r\n",
		"body":      "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("a", 20000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, &Guard{Memory: func() int64 { return 1 << 30 }}, Port{})
			c := s.open(t, first)
			switch name {
			case "half head":
				s.awaitHeld(t, func(held int64) bool { return held > 0 })
			case "bad head":
				require.Equal(t, http.StatusBadRequest, status(t, c))
			default:
				require.Equal(t, http.StatusOK, status(t, c))
				s.awaitHeld(t, func(held int64) bool { return held == connBytes })
			}
			require.NoError(t, c.Close())
			s.awaitHeld(t, func(held int64) bool { return held == 0 })
			s.awaitConns(t, 0)
			s.awaitPending(t, 0)
		})
	}
}

// Guards against a head that is within the limit and is not served, or one over the limit that is read on.
func TestHeadLimit(t *testing.T) {
	const limit = 20 << 10
	line := "GET /ordinary HTTP/1.1\r\nHost: h\r\n"
	head := func(length int) string {
		return line + "A: " + strings.Repeat("a", length-len(line)-len("A: \r\n\r\n")) + "\r\n\r\n"
	}
	for name, tc := range map[string]struct {
		length, status int
	}{
		"short":           {100, http.StatusOK},
		"as long as this": {limit, http.StatusOK},
		"longer":          {limit + 1, http.StatusRequestHeaderFieldsTooLarge},
		"much longer":     {1 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, &Guard{}, Port{HeadLimit: func() int { return limit }})
			c := s.open(t, get)
			require.Equal(t, http.StatusOK, status(t, c))
			// A client may fail to write once the connection is closed.
			_, _ = io.WriteString(c, head(tc.length))
			require.Equal(t, tc.status, status(t, c))
		})
	}
}

// Guards against a body, read or not, that counts toward the limit of its head or of the next one.
func TestBodyIsNoPartOfHead(t *testing.T) {
	for _, path := range []string{"/body", "/unread-body"} {
		t.Run(path, func(t *testing.T) {
			s := newTestServer(t, &Guard{}, Port{HeadLimit: func() int { return 1 << 10 }})
			c := s.open(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("a", 100000))
			require.Equal(t, http.StatusOK, status(t, c))
			s.send(t, c, get)
			require.Equal(t, http.StatusOK, status(t, c))
		})
	}
}

// A connection gives way as the last bytes of its request arrive. Guards against a request that is told that it has not run
// and runs.
func TestRequestOfClosedConnectionDoesNotRun(t *testing.T) {
	for name, rest := range map[string][2]string{
		"no body": {"GET /late HTTP/1.1\r\nHost: h\r\n", "\r\n"},
		"body":    {"POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				s := newTestServer(t, &Guard{}, Port{MaxConns: 1})
				first := s.open(t, rest[0])
				s.awaitConns(t, 1)
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, _ = io.WriteString(first, rest[1])
				}()
				second := s.open(t, "")
				<-done
				got := status(t, first)
				require.Equal(t, got == http.StatusOK, len(s.ran) == 1, "status %d, ran %d", got, len(s.ran))
				_ = second.Close()
			}
		})
	}
}

// Guards against an ordinary request that gives way to connections that send less, and against one that waits for room
// although it is there.
func TestOrdinaryRequestBesideSilentConnections(t *testing.T) {
	for name, body := range map[string]int{"no body": 0, "short body": 1 << 10, "body of 64 KB": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			memory := int64(20 * connBytes)
			s := newTestServer(t, &Guard{Memory: func() int64 { return memory }}, Port{CountedBodyBytes: 64 << 10})
			for i := range 50 {
				s.open(t, fmt.Sprintf("GET /%d HTTP/1.1\r\n", i))
			}
			s.awaitHeld(t, func(held int64) bool { return held > memory*3/4 })
			request := fmt.Sprintf("POST /ordinary HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("a", body))
			require.Equal(t, http.StatusOK, status(t, s.open(t, request)))
			require.LessOrEqual(t, s.guard.Held(), memory)
		})
	}
}

// A response ends with its connection, and its handler fails in the middle. Guards against a client that takes it for whole.
func TestResponseByCloseThatFailsIsReset(t *testing.T) {
	g := &Guard{}
	port := g.AddPort(Port{Name: "test"})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		httpx.BeginByClose(r.Context(), w.Header())
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	s.Config.ConnContext = httpx.WithConn
	port.Attach(s.Config)
	s.Listener = port.Listener(&drain.Listener{Listener: s.Listener})
	s.Start()
	t.Cleanup(s.Close)
	resp, err := s.Client().Get(s.URL)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against bounds that no deployment could live with.
func TestBoundsOfMachine(t *testing.T) {
	require.Equal(t, 80, MaxConns(256, CallerShare))
	require.Equal(t, 32, MaxConns(256, PeerShare))
	require.Equal(t, minConns, MaxConns(64, CheckShare))
	require.Equal(t, 100, Descriptors(100))
	require.Positive(t, Descriptors(0))
	require.Equal(t, int64(64<<20), MachineMemory(64))
	require.Positive(t, MachineMemory(0))
	require.Equal(t, minUnreadBytes, UnreadBytes(64<<20, MaxConns(4100, CallerShare)))
	require.Equal(t, 28751, UnreadBytes(281<<20, 1281))
	require.Equal(t, defaultUnreadBytes, UnreadBytes(24<<30, 96))
}

// Guards against TLS handshakes that are never ended, and against text without encryption on such a connection.
func TestHandshakesThatNeverEnd(t *testing.T) {
	g := &Guard{Meter: meter.New()}
	port := g.AddPort(Port{Name: "test", MaxConns: 3})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	port.Attach(s.Config)
	s.Listener = port.Listener(s.Listener)
	s.StartTLS()
	t.Cleanup(s.Close)
	var silent []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		silent = append(silent, c)
	}
	for range 3 {
		resp, err := s.Client().Get(s.URL)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.NoError(t, silent[0].SetReadDeadline(time.Now().Add(time.Minute)))
	n, err := silent[0].Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int64(3), g.Meter.CounterValue("guard.closed.test.connections"))
}
