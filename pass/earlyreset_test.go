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

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// longUploadBytes does not fit into the buffers of a connection.
	longUploadBytes = 7 << 19
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

// upload sends a long body to a VM over a connection of its own, and reads the response to its end.
func upload(t *testing.T, vm *httptest.Server) callerView {
	t.Helper()
	conn, err := net.Dial("tcp", vm.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nDeadline: %d\r\nContent-Length: %d\r\n\r\n",
		longDeadline.Milliseconds(), longUploadBytes)
	require.NoError(t, err)
	_, err = io.WriteString(conn, strings.Repeat("x", longUploadBytes))
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
						requireNoSuccess(t, upload(t, vm))
					}
				})
			}
		}
	}
}

// A server answers a long upload at once and closes in order before it has read it. Guards against taking an answer by
// length, which is whole, for one that the close of the connection has cut.
func TestWholeAnswerBesideUpload(t *testing.T) {
	for kind, route := range routesOfAllKinds {
		t.Run(kind, func(t *testing.T) {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n", typeEvents, len(firstEvent))
			vm := serveGateway(t, truncationGateway(route, startEarlyReset(t, head)))
			for range earlyResets {
				got := upload(t, vm)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, firstEvent, got.body)
				require.False(t, got.broken)
			}
		})
	}
}
