package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// heldListener accepts connections whose writes wait until released is closed.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldConn{c, l.released}, err
}

type heldConn struct {
	net.Conn
	released chan struct{}
}

func (c heldConn) Write(p []byte) (int, error) {
	<-c.released
	return c.Conn.Write(p)
}

// Guards against a VM that stops and exits before its refusal of another VM's request, or the end of its answer, has been
// sent: the handler has returned by then, and the other VM could not tell whether the request had run.
func TestStopAwaitsResponsesToOtherVMs(t *testing.T) {
	var n Node
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := heldListener{l, make(chan struct{})}
	release := sync.OnceFunc(func() { close(held.released) })
	defer release()
	returned := make(chan struct{})
	s := newPeerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.ConnState = func(c net.Conn, state http.ConnState) { n.peerConns.record(clock.Now(), c, state) }
	go func() { _ = s.Serve(held) }()
	t.Cleanup(func() { _ = s.Close() })
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-returned
	expired, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	n.awaitPeerResponses(expired)
	require.Error(t, expired.Err(), "the response has not been sent")
	release()
	n.awaitPeerResponses(t.Context())
	require.NoError(t, <-answered)
}
