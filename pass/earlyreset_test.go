package pass

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// longUploadBytes does not fit into the buffers of a connection.
const longUploadBytes = 7 << 19

// uploadSizes are the lengths in bytes of bodies that are written with their head, or by a goroutine of their own.
var uploadSizes = []int{0, 4 << 10, 16 << 10, 64 << 10}

const (
	// earlyResets is how often a server resets: what the kernel tells first is a matter of chance.
	earlyResets = 4
)

// headsByClose are heads whose response ends with its connection.
var headsByClose = map[string]string{
	"no framing":       "HTTP/1.1 200 OK\r\n",
	"Connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	"HTTP 1.0":         "HTTP/1.0 200 OK\r\n",
	"events":           "HTTP/1.1 200 OK\r\nContent-Type: " + typeEvents + "\r\n",
}

// routesOfAllKinds are a route of each kind.
var routesOfAllKinds = map[string]routes.Route{
	"idempotent": {Kind: routes.Idempotent}, "at most once": {Kind: routes.AtMostOnce}, "resumable stream": {Kind: routes.Stream, Resumable: true},
}

// startEarlyReset starts a server that sends a head and the first event to each request with a long body, and resets.
func startEarlyReset(t *testing.T, head string) (address string) {
	t.Helper()
	address, stop, err := stand.StartEarlyReset(func(r *http.Request) string {
		return head + "Attempt: " + r.Header.Get("Attempt") + "\r\nStamp: server\r\n\r\n" + firstEvent
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// upload sends a body to a VM over a connection of its own, and reads the response to its end.
func upload(t *testing.T, vm *httptest.Server, size int, deadline time.Duration) callerView {
	t.Helper()
	conn, err := net.Dial("tcp", vm.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nDeadline: %d\r\nContent-Length: %d\r\n\r\n",
		deadline.Milliseconds(), size)
	require.NoError(t, err)
	_, err = io.WriteString(conn, strings.Repeat("x", size))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return readCallerView(resp)
}

// requireNoSuccess requires an error, or a response that its caller can tell is incomplete.
func requireNoSuccess(t *testing.T, got callerView) {
	t.Helper()
	require.True(t, got.status >= http.StatusInternalServerError || got.broken, "taken for whole: %d %q, framed by %s", got.status, got.body, got.framing)
}

// A server answers a long upload at once, without a length, and resets while it is still being written. Guards against a
// part of an answer that the caller gets as a whole one.
func TestResetWhileUploading(t *testing.T) {
	for kind, route := range routesOfAllKinds {
		for framing, head := range headsByClose {
			for way, gateway := range map[string]func(t *testing.T, address string) *Gateway{
				"direct": func(_ *testing.T, address string) *Gateway { return truncationGateway(route, address) },
				"proxy": func(t *testing.T, address string) *Gateway {
					g, _ := proxiedGateway(t, route, address)
					return g
				},
			} {
				t.Run(kind+", "+framing+", "+way, func(t *testing.T) {
					t.Parallel()
					vm := serveGateway(t, gateway(t, startEarlyReset(t, head)))
					for range earlyResets {
						requireNoSuccess(t, upload(t, vm, longUploadBytes, longDeadline))
					}
				})
			}
		}
	}
}

// The same with bodies that fit into the buffers of the connection, some of which are written before the read.
func TestResetAfterUpload(t *testing.T) {
	for kind, route := range routesOfAllKinds {
		for framing, head := range headsByClose {
			for _, size := range uploadSizes {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", kind, framing, size), func(t *testing.T) {
					t.Parallel()
					vm := serveGateway(t, truncationGateway(route, startEarlyReset(t, head)))
					for range earlyResets {
						requireNoSuccess(t, upload(t, vm, size, longDeadline))
					}
				})
			}
		}
	}
}

// A server is silent, so that its request is sent to another one as well, which resets while it is written to. Guards against a
// part of the answer of a hedge that the caller gets as a whole one.
func TestResetWhileUploadingOfHedge(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.Stream} {
		for framing, head := range headsByClose {
			t.Run(string(kind)+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := testGateway()
				g.Table = func() *routes.Table { return hedgeTable(silentRoute(kind)) }
				g.RetryBudget("s").SetLimit(clock.Now(), 0, 10, time.Hour)
				second := startEarlyReset(t, head)
				g.Servers.Put(clock.Now(), server("first", "d", hedgeServer(t, func(_ http.ResponseWriter, r *http.Request) {
					g.Servers.Put(clock.Now(), server("second", "d", second))
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
				})))
				requireNoSuccess(t, upload(t, serveGateway(t, g), longUploadBytes, 2*truncationDeadline))
				require.Positive(t, g.Meter.CounterValue("pass.hedges"))
			})
		}
	}
}

// A server answers a long upload at once, without a length, and closes its side in order. Guards against taking a whole answer
// for one that a failure has cut.
func TestCloseWhileUploading(t *testing.T) {
	for kind, route := range routesOfAllKinds {
		for framing, head := range headsByClose {
			for rest, reads := range map[string]bool{"read": true, "not read": false} {
				t.Run(kind+", "+framing+", rest "+rest, func(t *testing.T) {
					t.Parallel()
					address, stop, err := stand.StartEarlyClose(reads, func(r *http.Request) string {
						return head + "Attempt: " + r.Header.Get("Attempt") + "\r\nStamp: server\r\n\r\n" + firstEvent
					})
					require.NoError(t, err)
					t.Cleanup(stop)
					vm := serveGateway(t, truncationGateway(route, address))
					for range earlyResets {
						got := upload(t, vm, longUploadBytes, longDeadline)
						require.Equal(t, callerView{status: http.StatusOK, body: firstEvent, framing: httpx.FramedByClose}, got)
					}
				})
			}
		}
	}
}

// A server answers a long upload at once with a length, and resets before it has read it. Guards against taking an answer by
// length, which is whole, for one that the close of the connection has cut.
func TestWholeAnswerBesideUpload(t *testing.T) {
	for kind, route := range routesOfAllKinds {
		t.Run(kind, func(t *testing.T) {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n", typeEvents, len(firstEvent))
			vm := serveGateway(t, truncationGateway(route, startEarlyReset(t, head)))
			for range earlyResets {
				got := upload(t, vm, longUploadBytes, longDeadline)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, firstEvent, got.body)
				require.False(t, got.broken)
			}
		})
	}
}
