package pass

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// maxReadBeyond is how much may be read beyond a bound: a small part of 1 MB.
const maxReadBeyond = 128 << 10

// firstEvent is the first one of threeEvents, which streams without an end have too.
const firstEvent = "id: 1\ndata: a\n\n"

// startEndless starts a server whose responses have no end.
func startEndless(t *testing.T, name string) string {
	t.Helper()
	address, stop, err := stand.StartEndless(func(r *http.Request) stand.EndlessResponse {
		return stand.NewEndlessResponse(name, "Attempt: "+r.Header.Get("Attempt")+"\r\nStamp: a\r\n", firstEvent)
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// countReads makes a gateway count what it reads from servers.
func countReads(g *Gateway) *stand.ReadCounter {
	var counter stand.ReadCounter
	g.Pool.DialFunc = counter.Dial(g.Pool.DialFunc)
	return &counter
}

// endlessCase is a response without an end on a kind of route, and how much of it may be read.
type endlessCase struct {
	name  string
	route routes.Route
	bound int64
}

func endlessCases() map[string]endlessCase {
	cases := make(map[string]endlessCase)
	add := func(kind routes.Kind, bound int64, names ...string) {
		for _, name := range names {
			route := routes.Route{Kind: kind, Resumable: kind == routes.Stream, Objective: time.Second, MaxEventGap: time.Second}
			cases[string(kind)+", "+name] = endlessCase{name, route, bound}
		}
	}
	for _, kind := range []routes.Kind{routes.Stream, routes.Idempotent, routes.AtMostOnce} {
		add(kind, conns.MaxHeadBytes, stand.EndlessHeads...)
	}
	add(routes.Stream, maxEventBytes, stand.EndlessEvent)
	// The framing of each chunk is longer than its line.
	add(routes.Stream, 2*maxEventBytes, stand.EndlessEventLines)
	add(routes.Idempotent, maxResponseBytes*17/16, stand.EndlessBodies...)
	add(routes.AtMostOnce, maxResponseBytes*17/16, stand.EndlessBodies...)
	return cases
}

// A server sends bytes that form no response until its connection is closed. Guards against a VM that reads them
// without a bound, keeps the request from a sound server, or tells the caller of one that may have run that it has not.
func TestEndlessResponse(t *testing.T) {
	for name, tc := range endlessCases() {
		t.Run(name, func(t *testing.T) {
			g := truncationGateway(tc.route, startEndless(t, tc.name), startScriptedServer(t, "b", scriptOf(tc.route, httpx.FramedByChunks)))
			log := &testLog{}
			g.Log = zerolog.New(log)
			counter := countReads(g)
			got := callGateway(t, g, longDeadline)
			if tc.route.Kind == routes.AtMostOnce {
				require.Equal(t, http.StatusBadGateway, got.status)
			} else {
				require.Equal(t, http.StatusOK, got.status, log.String())
				require.Equal(t, threeEvents, got.body)
			}
			require.False(t, got.broken)
			require.EqualValues(t, 1, g.Meter.CounterValue("pass.endless_responses"))
			require.Equal(t, 1, strings.Count(log.String(), `"message":"server sends a response without an end"`))
			require.Contains(t, log.String(), `"request":"a1","server":"0"`)
			require.LessOrEqual(t, counter.Bytes(), tc.bound+maxReadBeyond)
			require.Zero(t, g.Pool.OpenConnections("0"), "the connection was kept")
		})
	}
}

// Guards against a server that stays a candidate like a sound one because it goes on sending, also if the caller
// disconnects while it does, and against blaming its requests for a crash.
func TestEndlessServerCountsAsFailed(t *testing.T) {
	for name, tc := range endlessCases() {
		for end, disconnects := range map[string]bool{"": false, ", caller disconnects": true} {
			t.Run(name+end, func(t *testing.T) {
				g := truncationGateway(tc.route, startEndless(t, tc.name))
				c := arrivedCall(t, g)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				choice, ok := g.pickServer(clock.Now(), c, g.serversFor(clock.Now(), c))
				require.True(t, ok)
				a := g.openAttempt(ctx, c, choice)
				require.NotNil(t, a)
				begun := a.begin(ctx)
				if begun {
					require.Contains(t, stand.EndlessEvents, tc.name)
					a.events.read(ctx)
					require.ErrorIs(t, a.events.err, conns.ErrEndless)
					if disconnects {
						cancel()
					}
					require.False(t, a.readFailed(ctx, "read stream", a.events.err))
				}
				require.Equal(t, pick.Failed, a.result)
				require.True(t, c.mayHaveRun)
				require.Nil(t, a.end())
				require.True(t, g.Servers.Usable(clock.Now(), "0"))
				require.Zero(t, g.Balancer.LocalRunning("0"))
			})
		}
	}
}

// A stream that can not be resumed turns into an event without an end. Guards against a caller who takes what it has
// for the whole stream.
func TestEndlessEventOfStreamThatIsNotResumed(t *testing.T) {
	for _, name := range stand.EndlessEvents {
		t.Run(name, func(t *testing.T) {
			g := truncationGateway(routes.Route{Kind: routes.Stream}, startEndless(t, name))
			counter := countReads(g)
			got := callGateway(t, g, longDeadline)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, firstEvent, got.body)
			require.True(t, got.broken)
			require.LessOrEqual(t, counter.Bytes(), int64(2*maxEventBytes+maxReadBeyond))
		})
	}
}

// A server is silent, so that the request is sent to another one as well, and one of the two sends a response without an
// end. Guards against losing the request although the other one is sound.
func TestEndlessResponseOfHedge(t *testing.T) {
	endless := func(w http.ResponseWriter, r *http.Request, name string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = stand.NewEndlessResponse(name, "Attempt: "+r.Header.Get("Attempt")+"\r\nStamp: server\r\n", firstEvent).WriteTo(conn)
	}
	for _, kind := range []routes.Kind{routes.Idempotent, routes.Stream} {
		names := slices.Concat(stand.EndlessHeads, map[routes.Kind][]string{routes.Idempotent: stand.EndlessBodies}[kind])
		for _, name := range names {
			t.Run(string(kind)+", hedge, "+name, func(t *testing.T) {
				t.Parallel()
				var g *Gateway
				g = hedgedGateway(t, silentRoute(kind), 10, func(w http.ResponseWriter, r *http.Request) {
					awaitEndless(g, r)
					wholeAnswer(kind)(w, r)
				}, func(w http.ResponseWriter, r *http.Request) { endless(w, r, name) })
				requireWholeAnswer(t, g, kind)
				require.Positive(t, g.Meter.CounterValue("pass.endless_responses"))
			})
			t.Run(string(kind)+", first server, "+name, func(t *testing.T) {
				t.Parallel()
				var first atomic.Bool
				asked := make(chan struct{})
				var g *Gateway
				g = hedgedGateway(t, silentRoute(kind), 10, func(w http.ResponseWriter, r *http.Request) {
					<-asked
					endless(w, r, name)
				}, func(w http.ResponseWriter, r *http.Request) {
					if first.CompareAndSwap(false, true) {
						close(asked)
						awaitEndless(g, r)
					}
					wholeAnswer(kind)(w, r)
				})
				requireWholeAnswer(t, g, kind)
				require.EqualValues(t, 1, g.Meter.CounterValue("pass.endless_responses"))
			})
		}
	}
}

// A server answers the question which instance it is without an end. Guards against a VM that reads it, and sends the
// request there all the same or not at all.
func TestEndlessInstanceProbe(t *testing.T) {
	for _, name := range slices.Concat(stand.EndlessHeads, stand.EndlessBodies) {
		t.Run(name, func(t *testing.T) {
			broken := instanceEntry("broken", "v1", startEndless(t, name), 1000)
			sound := instanceEntry("sound", "v1", startInstance(t, 1000, "v1"), 1000)
			sound.Domain = "dd"
			g := testGateway(broken, sound)
			useResumableRoute(g)
			g.InstanceProbe = testProbe
			counter := countReads(g)
			got := callGateway(t, g, longDeadline)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, versionEvents("v1", 1, 3), got.body)
			require.EqualValues(t, 1, g.Meter.CounterValue("pass.endless_responses"))
			require.LessOrEqual(t, counter.Bytes(), int64(maxProbeBytes*17/16+maxReadBeyond))
		})
	}
}

// A response to another request, or a refusal, has a body without an end. Guards against a VM that reads all of it to
// discard it, and against one that takes a request that was refused for one that may have run.
func TestEndlessBodyThatIsNotNeeded(t *testing.T) {
	heads := map[string]struct {
		head   string
		status int
	}{
		"response to another request": {"HTTP/1.1 200 OK\r\nAttempt: other\r\nStamp: a\r\n", http.StatusBadGateway},
		"refusal":                     {"HTTP/1.1 503 Service Unavailable\r\nAttempt: a1\r\nNot-Run: 1\r\n", http.StatusServiceUnavailable},
	}
	for name, tc := range heads {
		for framing, header := range map[string]string{"by close": "", "by length": "Content-Length: 1000000000\r\n"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				head := strings.Replace(tc.head, "Not-Run", testHeaderNames.NotExecuted, 1) + header + "\r\n"
				address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.EndlessResponse{Begin: head, Repeat: "x"} })
				require.NoError(t, err)
				t.Cleanup(stop)
				g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
				g.RetryBudget("s").SetLimit(clock.Now(), 0, 0, 10*time.Second)
				counter := countReads(g)
				got := callGateway(t, g, longDeadline)
				require.Equal(t, tc.status, got.status)
				require.EqualValues(t, 1, g.Meter.CounterValue("pass.endless_responses"))
				require.LessOrEqual(t, counter.Bytes(), int64(maxForeignBodyBytes+maxReadBeyond))
			})
		}
	}
}

// Guards against reading a response that has said that it is too long, and against blaming its server.
func TestStatedLengthTooLong(t *testing.T) {
	address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse {
		return stand.EndlessResponse{Begin: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: a1\r\nStamp: a\r\nContent-Length: %d\r\n\r\n", maxResponseBytes+1), Repeat: "x"}
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
	counter := countReads(g)
	require.Equal(t, http.StatusBadGateway, callGateway(t, g, longDeadline).status)
	require.EqualValues(t, 1, g.Meter.CounterValue("pass.responses_too_long"))
	require.Zero(t, g.Meter.CounterValue("pass.endless_responses"))
	require.LessOrEqual(t, counter.Bytes(), int64(maxReadBeyond))
}

// Many servers send long bodies at the same time. Guards against responses that together take more memory than the
// budget, and against memory that is not given back.
func TestBufferedResponsesShareBudget(t *testing.T) {
	const requests = 8
	var asked atomic.Int64
	all := make(chan struct{})
	address := hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "a")
		if asked.Add(1) == requests {
			close(all)
		}
		<-all
		_, _ = io.CopyN(w, zeros{}, maxResponseBytes/2)
	})
	g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
	g.ResponseBudget = &conns.Budget{}
	statuses := make(chan int, requests)
	for range requests {
		go func() { statuses <- sendWithDeadline(g, "60000").Code }()
	}
	count := make(map[int]int)
	for range requests {
		count[<-statuses]++
	}
	require.Positive(t, count[http.StatusOK])
	require.Equal(t, requests, count[http.StatusOK]+count[http.StatusBadGateway])
	require.EqualValues(t, count[http.StatusBadGateway], g.Meter.CounterValue("pass.responses_over_budget"))
	require.LessOrEqual(t, g.ResponseBudget.Peak(), int64(maxResponseBytes))
	require.Eventually(t, func() bool { return g.ResponseBudget.Used() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, g.Meter.CounterValue("pass.endless_responses"))
}

// A server sends a body without an end while the VM holds other responses, so that the body never reaches its bound: it
// gives way before. Guards against a server that is never seen as broken for that, and takes the budget again and again.
func TestEndlessBodyBesideOtherResponses(t *testing.T) {
	tests := map[string]struct {
		header  string
		length  int64
		result  pick.Result
		endless int64
	}{
		"without an end": {"Transfer-Encoding: chunked\r\n", -1, pick.Failed, 1},
		"stated length":  {fmt.Sprintf("Content-Length: %d\r\n", maxResponseBytes), maxResponseBytes, pick.Neutral, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse {
				e := stand.EndlessResponse{Begin: "HTTP/1.1 200 OK\r\nAttempt: a1\r\nStamp: a\r\n" + tc.header + "\r\n", Repeat: "x"}
				if tc.length < 0 {
					e.Repeat = "8\r\nxxxxxxxx\r\n"
				}
				return e
			})
			require.NoError(t, err)
			t.Cleanup(stop)
			g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
			g.ResponseBudget = &conns.Budget{}
			held := func() { // Takes 16 KiB.
				body, err := g.ResponseBudget.Read(t.Context(), bytes.NewReader(make([]byte, 10<<10)), maxResponseBytes, func() {})
				require.NoError(t, err)
				t.Cleanup(body.Release)
			}
			held()
			c := arrivedCall(t, g)
			choice, ok := g.pickServer(clock.Now(), c, g.serversFor(clock.Now(), c))
			require.True(t, ok)
			a := g.openAttempt(t.Context(), c, choice)
			require.NotNil(t, a)
			begun := make(chan bool, 1)
			go func() { begun <- a.begin(t.Context()) }()
			require.Eventually(t, func() bool { return g.ResponseBudget.Used() > maxResponseBytes-256<<10 }, 10*time.Second, time.Millisecond)
			for range 20 {
				held()
			}
			require.False(t, <-begun)
			require.Equal(t, tc.result, a.result)
			require.True(t, c.mayHaveRun)
			require.Equal(t, tc.endless, g.Meter.CounterValue("pass.endless_responses"))
			require.Equal(t, 1-tc.endless, g.Meter.CounterValue("pass.responses_over_budget"))
			require.Nil(t, a.end())
		})
	}
}

// A proxy gets a head without an end. Guards against a proxy that reads it for another VM, and a request that is lost
// with it.
func TestEndlessResponseThroughProxy(t *testing.T) {
	for _, name := range slices.Concat(stand.EndlessHeads, stand.EndlessEvents) {
		t.Run(name, func(t *testing.T) {
			sound := startScriptedServer(t, "b", wholeStream(httpx.FramedByChunks))
			route, endless := routes.Route{Kind: routes.Stream, Resumable: true, MaxEventGap: time.Second}, startEndless(t, name)
			g, proxy := proxiedGateway(t, route, endless, sound)
			// The VM avoids a proxy for a moment that has broken off.
			second := truncationGateway(route, endless, sound)
			useProxies(g, g.ProxyVMs()[0], serveAsProxy(t, second))
			counter := countReads(proxy)
			second.Pool.DialFunc = counter.Dial(second.Pool.DialFunc)
			got := callGateway(t, g, longDeadline)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, threeEvents, got.body)
			require.EqualValues(t, 1, g.Meter.CounterValue("pass.endless_responses")+proxy.Meter.CounterValue("pass.endless_responses")+second.Meter.CounterValue("pass.endless_responses"))
			if slices.Contains(stand.EndlessHeads, name) {
				require.LessOrEqual(t, counter.Bytes(), int64(conns.MaxHeadBytes+maxReadBeyond))
			}
		})
	}
}

// Guards against a bound that rejects an event within it or lets one beyond it pass, however the reads split it, and
// against losing the events before it.
func TestEventBound(t *testing.T) {
	sized := func(n int) string { return "id: 2\ndata: " + strings.Repeat("x", n-len("id: 2\ndata: \n\n")) + "\n\n" }
	for name, tc := range map[string]struct {
		text    string
		want    string
		tooLong bool
	}{
		"as long as allowed":        {event(1) + sized(maxEventBytes) + event(3), event(1) + sized(maxEventBytes) + event(3), false},
		"a byte too long":           {event(1) + sized(maxEventBytes+1) + event(3), event(1), true},
		"too long without an end":   {event(1) + "data: " + strings.Repeat("x", maxEventBytes), event(1), true},
		"many events, long in all":  {strings.Repeat(event(0), maxEventBytes/8), strings.Repeat(event(0), maxEventBytes/8), false},
		"first event is too long":   {sized(maxEventBytes+1) + event(3), "", true},
		"partial event, not longer": {event(1) + sized(maxEventBytes)[:maxEventBytes-1], event(1), false},
	} {
		for _, size := range []int{1, 2, 3, streamBufferBytes, len(tc.text)} {
			t.Run(fmt.Sprintf("%s, reads of %d", name, size), func(t *testing.T) {
				t.Parallel()
				s, got := &eventSplitter{}, []byte(nil)
				for text := []byte(tc.text); len(text) > 0; {
					n := min(size, len(text))
					got = append(got, s.add(text[:n])...)
					text = text[n:]
				}
				require.True(t, tc.want == string(got), "%d bytes", len(got))
				require.Equal(t, tc.tooLong, s.tooLong)
			})
		}
	}
}

// Guards against a splitter that searches all of a long event again at each read: it must not look at the bytes before
// the last one that it had.
func TestSplitterSearchesNewBytesOnly(t *testing.T) {
	s := &eventSplitter{}
	require.Empty(t, s.add(bytes.Repeat([]byte("x"), 100)))
	copy(s.partial, "\n\n\n\n")
	require.Empty(t, s.add([]byte("y")))
	require.Len(t, s.partial, 101)
	require.Empty(t, s.add([]byte("z\n")))
	require.Len(t, s.add([]byte("\n")), 104)
}

// A server answers the question which instance it is without an end. Guards against one that is still preferred to others.
func TestEndlessProbeCountsAsFailed(t *testing.T) {
	broken := instanceEntry("broken", "v1", startEndless(t, stand.EndlessHeaderLines), 1000)
	g := testGateway(broken)
	useResumableRoute(g)
	g.InstanceProbe = testProbe
	other := instanceEntry("other", "v1", "dead:1", 1000)
	chosen := func() string {
		choice, ok := g.Balancer.Choose(clock.Now(), []backs.Entry{broken, other}, pick.Work{}, 0, nil)
		require.True(t, ok)
		return choice.Server.ID
	}
	require.Equal(t, broken.ID, chosen())
	c := arrivedCall(t, g)
	choice, ok := g.pickServer(clock.Now(), c, []backs.Entry{broken})
	require.True(t, ok)
	require.Nil(t, g.openAttempt(context.Background(), c, choice))
	require.False(t, c.mayHaveRun)
	require.Equal(t, other.ID, chosen(), "no failure is recorded")
}
