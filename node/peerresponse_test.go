package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/drain"
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
	n := Node{now: clock.Now}
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
	s.ConnState = func(c net.Conn, state http.ConnState) { n.peerConns.Record(clock.Now(), c, state) }
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
	n.peerConns.Drain(expired, clock.Now, clock.Now().Add(time.Minute), &drain.Listener{Listener: l})
	require.Error(t, expired.Err(), "the response has not been sent")
	release()
	n.peerConns.Drain(t.Context(), clock.Now, clock.Now().Add(time.Minute), &drain.Listener{Listener: l})
	require.NoError(t, <-answered)
}

// Guards against a VM that stops and exits with a request of another VM that it has read and not yet counted as one in
// progress, or that is still to be read: the other VM has sent it on a kept connection and can not tell whether it ran.
func TestStopAnswersArrivedRequestsOfOtherVMs(t *testing.T) {
	n := Node{now: clock.Now}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newPeerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	second, count := make(chan struct{}), make(chan struct{})
	requests, idle := 0, make(chan struct{}, 2)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			if requests++; requests == 2 {
				close(second)
				<-count
			}
		}
		n.peerConns.Record(clock.Now(), c, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go func() { _ = s.Serve(&drain.Listener{Listener: l}) }()
	t.Cleanup(func() { _ = s.Close() })
	other, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	answers := bufio.NewReader(other)
	request := func() {
		_, err := io.WriteString(other, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	answered := func() {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	request()
	answered()
	<-idle
	request()
	<-second
	expired, cancel := context.WithTimeout(t.Context(), drain.QuietTime+50*time.Millisecond)
	defer cancel()
	n.peerConns.Drain(expired, clock.Now, clock.Now().Add(time.Minute), &drain.Listener{Listener: l})
	require.Error(t, expired.Err(), "a request has arrived")
	close(count)
	answered()
	n.peerConns.Drain(t.Context(), clock.Now, clock.Now().Add(time.Minute), &drain.Listener{Listener: l})
	_, err = other.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
