package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers have connected and sent their requests before a busy VM that stops accepts their connections. Guards against
// resetting these as the listener is closed: a caller could not tell whether its request has run.
func TestWaitingConnectionsAreServed(t *testing.T) {
	const callers = 40
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: inner}
	var waiting []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		waiting = append(waiting, c)
	}
	require.NoError(t, l.CloseToNew())
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err, "the listener is closed")
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(func() { _ = s.Close() })
	require.ErrorIs(t, s.Serve(l), net.ErrClosed)
	for i, c := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "caller %d", i)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
}
