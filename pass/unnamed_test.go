package pass

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	unnamedRefusal   = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unnamedMisdirect = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
)

// unnamedServer refuses requests without saying which, and may give a refusal a second time, late.
type unnamedServer struct {
	mu sync.Mutex
	// before maps a request to what is sent as it arrives, before it runs or is refused. refused maps a request to its
	// refusal, "" for none.
	before, refused map[string]string
	runs            map[string]int
}

func (s *unnamedServer) start(t *testing.T) string {
	t.Helper()
	s.runs = make(map[string]int)
	return startServer(t, s.serve)
}

func (s *unnamedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.answer(r.Header.Get("Attempt"))); err != nil {
			return
		}
	}
}

// answer returns what is sent for a request. It refuses a request once.
func (s *unnamedServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.refused[id]; refusal != "" {
		delete(s.refused, id)
		return s.before[id] + refusal
	}
	s.runs[id]++
	return s.before[id] + fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nStamp: a\r\nContent-Length: 4\r\n\r\nbody", id)
}

func (s *unnamedServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// sendAs sends a request with an ID, and returns the status of its response.
func sendAs(g *Gateway, id string) int {
	r := httptest.NewRequest(http.MethodPost, "http://h/", nil)
	r.Header.Set("Attempt", id)
	r.Header.Set("Deadline", "5000")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w.Code
}

// A refusal names no request, and arrives on a connection that has carried an answer, for a request that runs. Guards
// against a request that runs twice, or whose caller is told that it did not run.
func TestRefusalOfUnknownRequestForOneThatRuns(t *testing.T) {
	tests := map[string]string{"refusal": unnamedRefusal, "misdirected": unnamedMisdirect}
	for name, refusal := range tests {
		for way, proxied := range map[string]bool{"direct": false, "through a proxy": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				s := &unnamedServer{before: map[string]string{"a2": refusal}}
				g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, s.start(t))
				sender := g
				if proxied {
					g = truncationGateway(routes.Route{Kind: routes.AtMostOnce}, "127.0.0.1:1")
					useProxies(g, serveAsProxy(t, sender))
				}
				require.Equal(t, http.StatusOK, sendAs(g, "a1"))
				require.Equal(t, http.StatusBadGateway, sendAs(g, "a2"))
				require.Equal(t, 1, s.ran("a2"))
				require.Equal(t, http.StatusOK, sendAs(sender, "a3"))
				require.Equal(t, 1, s.ran("a3"))
			})
		}
	}
}

// A refusal that names no request is the first answer on its connection. Guards against a request that is sent again on
// that connection, where the refusal may come once more, and against one that counts as one that may have run.
func TestRefusalOfUnknownRequestOnNewConnection(t *testing.T) {
	for way, proxied := range map[string]bool{"direct": false, "through a proxy": true} {
		t.Run(way, func(t *testing.T) {
			s := &unnamedServer{refused: map[string]string{"a1": unnamedRefusal}}
			g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, s.start(t))
			sender := g
			if proxied {
				g = truncationGateway(routes.Route{Kind: routes.AtMostOnce}, "127.0.0.1:1")
				useProxies(g, serveAsProxy(t, sender))
				require.Equal(t, http.StatusOK, sendAs(g, "a0"))
				require.Eventually(t, func() bool { return sender.Pool.HasIdle("0") }, 5*time.Second, time.Millisecond)
				sender.Pool.CloseIdle("0")
			}
			dials := sender.Meter.CounterValue("pass.dials")
			require.Equal(t, http.StatusOK, sendAs(g, "a1"))
			require.Equal(t, 1, s.ran("a1"))
			require.Equal(t, dials+2, sender.Meter.CounterValue("pass.dials"))
		})
	}
}
