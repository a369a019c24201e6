package pass

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// hedgedGateway returns a gateway whose first server gets the second one listed when it is asked.
func hedgedGateway(t *testing.T, route routes.Route, retries float64, first, second http.HandlerFunc) *Gateway {
	t.Helper()
	g := testGateway()
	g.Table = func() *routes.Table { return hedgeTable(route) }
	g.RetryBudget("s").SetLimit(clock.Now(), 0, retries, time.Hour)
	address := hedgeServer(t, second)
	g.Servers.Put(clock.Now(), server("first", "d", hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
		g.Servers.Put(clock.Now(), server("second", "d", address))
		first(w, r)
	})))
	return g
}

// requireNothingHeld requires that a gateway has no request at a server and no connection in use.
func requireNothingHeld(t *testing.T, g *Gateway, openConns bool) {
	t.Helper()
	for id, load := range g.Balancer.LocalLoads() {
		require.Zero(t, load.Running, id)
	}
	if !openConns {
		require.Zero(t, g.Pool.OpenConnections("first"))
		require.Zero(t, g.Pool.OpenConnections("second"))
	}
}

// Guards against servers that work on for a caller who has left, or beyond the deadline, and against loads and
// connections that a hedge leaves behind.
func TestHedgeEndsWithItsCall(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"caller leaves": 20 * time.Second, "deadline": 500 * time.Millisecond} {
		for _, kind := range []routes.Kind{routes.Idempotent, routes.Stream} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				var ended sync.WaitGroup
				ended.Add(2)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				g := hedgedGateway(t, silentRoute(kind), 1, func(w http.ResponseWriter, r *http.Request) {
					defer ended.Done()
					fallSilent(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					defer ended.Done()
					if deadline > time.Second {
						leave()
					}
					fallSilent(w, r)
				})
				r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", nil)
				r.Header.Set("Attempt", "a1")
				r.Header.Set("Model", "m")
				if deadline < time.Second {
					r.Header.Set("Deadline", "500")
				}
				sendAborted(g, httptest.NewRecorder(), r)
				ended.Wait()
				requireNothingHeld(t, g, false)
			})
		}
	}
}

// Guards against an answer that says that a request was not run though one of its two servers may have run it, against
// a 5xx with the status of one server and the stamp of the other, and against more sends than the budget counts.
func TestBothServersOfHedgeFail(t *testing.T) {
	serverError := func(stamp string, status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt", r.Header.Get("Attempt"))
			w.Header().Set("Stamp", stamp)
			w.WriteHeader(status)
		}
	}
	servers := map[string]func(stamp string, status int) http.HandlerFunc{
		"refuses":   func(string, int) http.HandlerFunc { return rejectRest },
		"is closed": func(string, int) http.HandlerFunc { return http.HandlerFunc(nextServers["is closed"]) },
		"fails":     serverError,
	}
	statuses := map[string]int{"first": http.StatusInternalServerError, "second": http.StatusNotImplemented}
	for firstName, first := range servers {
		for secondName, second := range servers {
			t.Run("first "+firstName+", second "+secondName, func(t *testing.T) {
				t.Parallel()
				asked := make(chan struct{})
				tellAsked := sync.OnceFunc(func() { close(asked) })
				var arrived atomic.Int64
				g := hedgedGateway(t, silentRoute(routes.Idempotent), 1, func(w http.ResponseWriter, r *http.Request) {
					if arrived.Add(1) == 1 {
						<-asked
					}
					first("first", statuses["first"])(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					arrived.Add(1)
					defer tellAsked()
					second("second", statuses["second"])(w, r)
				})
				w := sendWithDeadline(g, "20000")
				require.LessOrEqual(t, int(arrived.Load()), 1+g.RetryBudget("s").Usage(clock.Now()).Retries)
				if firstName != "refuses" || secondName != "refuses" {
					require.GreaterOrEqual(t, w.Code, http.StatusInternalServerError)
					require.NotEqual(t, http.StatusServiceUnavailable, w.Code)
				}
				if stamp := w.Header().Get("Stamp"); stamp != "" {
					require.Equal(t, statuses[stamp], w.Code)
				}
				requireNothingHeld(t, g, true)
			})
		}
	}
}

// Guards against a request that may run once, or a stream that can not go on elsewhere, and is sent to another server
// while its own is silent for a second.
func TestNoHedgeOfRequestThatMayRunOnce(t *testing.T) {
	for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			route := silentRoute(kind)
			route.Resumable = false
			var arrived atomic.Int64
			g := hedgedGateway(t, route, 10, silentForASecond(wholeAnswer(kind)), func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
			requireWholeAnswer(t, g, kind)
			require.Zero(t, arrived.Load())
		})
	}
}

// Guards against an event that is missing, comes twice or is joined from two servers when both go on at the same moment.
func TestBothServersOfHedgeGoOn(t *testing.T) {
	pieces := map[string]int{"between events": len("id: 1\ndata: a\n\n"), "inside an event": len("id: 1\ndata: a\n\nid: 2\nda"), "inside the last event": len(threeEvents) - 3}
	for name, sentBefore := range pieces {
		for range 8 {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				first := &silentServer{eventType: true, sentBefore: sentBefore}
				g := silenceGateway(t, first, func(wentOn func()) string {
					return hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
						go wentOn()
						rest := eventsAfter(r.Header.Get(headerLastEvent))
						w.Header().Set("Attempt", r.Header.Get("Attempt"))
						w.Header().Set("Stamp", "next")
						w.Header().Set("Content-Type", typeEvents)
						_, _ = io.WriteString(w, rest[:len(rest)/2])
						_ = http.NewResponseController(w).Flush()
						_, _ = io.WriteString(w, rest[len(rest)/2:])
					})
				}, routes.Stream, 1)
				requireWholeAnswer(t, g, routes.Stream)
			})
		}
	}
}

// Guards against an answer that is framed or cut wrongly for its caller when the other server of a hedge brings it.
func TestCallersOfHedge(t *testing.T) {
	tests := map[string]struct {
		kind             routes.Kind
		method, protocol string
	}{
		"HEAD":             {routes.Idempotent, http.MethodHead, "HTTP/1.1"},
		"HTTP/1.0":         {routes.Idempotent, http.MethodGet, "HTTP/1.0"},
		"HTTP/1.0, stream": {routes.Stream, http.MethodGet, "HTTP/1.0"},
	}
	for name, tc := range tests {
		for winner, firstWins := range map[string]bool{"first": true, "second": false} {
			t.Run(name+", "+winner, func(t *testing.T) {
				t.Parallel()
				asked := make(chan struct{})
				g := hedgedGateway(t, silentRoute(tc.kind), 1, func(w http.ResponseWriter, r *http.Request) {
					if <-asked; firstWins {
						wholeAnswer(tc.kind)(w, r)
						return
					}
					fallSilent(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					if close(asked); firstWins {
						fallSilent(w, r)
						return
					}
					wholeAnswer(tc.kind)(w, r)
				})
				conn, err := net.Dial("tcp", serveGateway(t, g).Listener.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "%s /x %s\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nDeadline: 20000\r\n\r\n", tc.method, tc.protocol)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: tc.method})
				require.NoError(t, err)
				got := readCallerView(resp)
				require.Equal(t, http.StatusOK, got.status)
				require.False(t, got.broken)
				want := map[routes.Kind]string{routes.Idempotent: plainBody, routes.Stream: threeEvents}[tc.kind]
				if tc.method == http.MethodHead {
					require.EqualValues(t, len(want), resp.ContentLength)
					want = ""
				}
				require.Equal(t, want, got.body)
			})
		}
	}
}

// Guards against tokens of a team's quota that are not counted for a run of a hedge, or not given back for a send that
// provably did not run.
func TestQuotaOfHedge(t *testing.T) {
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	tests := map[string]struct {
		first, second http.HandlerFunc
		reported      int
	}{
		"second answers":                {fallSilent, nil, 60},
		"second refuses, first answers": {nil, misdirected, 30},
		"first refuses, second answers": {misdirected, nil, 30},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked, refused := make(chan struct{}), make(chan struct{})
			g, quotas := quotaGateway(t, "dead:1")
			quotas.Announce(nil)
			team := routes.Team{Name: "a", Keys: []string{testKey}, Quota: routes.Quota{Unit: routes.UnitToken, PerSecond: 1, Burst: 30}}
			table, err := hedgeTable(silentRoute(routes.Idempotent)).WithTeams([]routes.Team{team})
			require.NoError(t, err)
			g.Table = func() *routes.Table { return table }
			g.RetryBudget("s").SetLimit(clock.Now(), 0, 1, time.Hour)
			g.Servers.Remove(clock.Now(), "s")
			// The VM reports a server that answers with 421, so that the other one knows when its refusal was read.
			g.ReportSuspect = func(string) { close(refused) }
			if tc.reported == 60 {
				close(refused)
			}
			serve := func(refuse http.HandlerFunc) http.HandlerFunc {
				if refuse != nil {
					return refuse
				}
				return func(w http.ResponseWriter, r *http.Request) {
					<-refused
					wholeAnswer(routes.Idempotent)(w, r)
				}
			}
			second := hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
				close(asked)
				serve(tc.second)(w, r)
			})
			g.Servers.Put(clock.Now(), server("first", "d", hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
				g.Servers.Put(clock.Now(), server("second", "d", second))
				<-asked
				serve(tc.first)(w, r)
			})))
			require.Equal(t, http.StatusOK, sendWithKey(g, testKey).Code)
			reported := 0
			for _, s := range quotas.TakeReport() {
				reported += s.Tokens
			}
			require.Equal(t, tc.reported, reported)
		})
	}
}

// Guards against a server that counts as busy with a request, and not as failed, for as long as the hedge of that
// request is silent.
func TestFailedServerIsReleasedBeforeItsHedge(t *testing.T) {
	asked := make(chan struct{})
	released := make(chan bool, 1)
	var g *Gateway
	g = hedgedGateway(t, silentRoute(routes.Idempotent), 1, func(w http.ResponseWriter, r *http.Request) {
		<-asked
		http.HandlerFunc(nextServers["is closed"])(w, r)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		busy := true
		for waited := time.Duration(0); busy && waited < 3*time.Second; waited += 10 * time.Millisecond {
			time.Sleep(10 * time.Millisecond)
			busy = g.Balancer.LocalLoads()["first"].Running > 0
		}
		released <- !busy
		wholeAnswer(routes.Idempotent)(w, r)
	})
	requireWholeAnswer(t, g, routes.Idempotent)
	require.True(t, <-released)
}

// Guards against an answer that is cut or refused because its VM begins to shut down while a hedge is under way.
func TestShutdownBesideHedge(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.Stream} {
		for name, firstGoesOn := range map[string]bool{"first goes on": true, "second answers": false} {
			t.Run(string(kind)+", "+name, func(t *testing.T) {
				t.Parallel()
				shutdown, stop := context.WithCancel(t.Context())
				g := hedgedGateway(t, silentRoute(kind), 1, func(w http.ResponseWriter, r *http.Request) {
					if !firstGoesOn {
						fallSilent(w, r)
						return
					}
					<-shutdown.Done()
					wholeAnswer(kind)(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					if stop(); firstGoesOn {
						fallSilent(w, r)
						return
					}
					wholeAnswer(kind)(w, r)
				})
				g.ShutdownContext = shutdown
				requireWholeAnswer(t, g, kind)
			})
		}
	}
}

// Guards against a send that a proxy takes back while a hedge through it is under way, and that still counts among those
// of the call.
func TestProxyTakesBackFirstOfHedge(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			asked := make(chan struct{})
			next := hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
				close(asked)
				wholeAnswer(kind)(w, r)
			})
			g, proxy := testGateway(), testGateway()
			proxy.Servers = g.Servers
			proxy.Pool.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
				if address != "lost:1" {
					return conns.Dial(ctx, address)
				}
				g.Servers.Put(clock.Now(), server("next", "d", next))
				<-asked
				return nil, errConnectionRefused
			}
			useProxies(g, serveAsProxy(t, proxy))
			g.Table = func() *routes.Table { return hedgeTable(silentRoute(kind)) }
			g.RetryBudget("s").SetLimit(clock.Now(), 0, 1, time.Hour)
			g.Servers.Put(clock.Now(), server("lost", "d", "lost:1"))
			requireWholeAnswer(t, g, kind)
			requireNothingHeld(t, g, true)
		})
	}
}
