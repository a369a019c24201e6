package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

const (
	testCloseResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	testRequest       = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// closeServer is a server whose unused connections get a close response. active is called before a request counts as one in
// progress.
type closeServer struct {
	conns  Conns
	runs   atomic.Int64
	idle   chan struct{}
	active func()
}

// connect starts the server and returns a connection on which a request was answered.
func (f *closeServer) connect(t *testing.T) (caller net.Conn, answers *bufio.Reader) {
	t.Helper()
	f.conns.CloseResponse, f.idle = testCloseResponse, make(chan struct{}, 2)
	s := newServer(f.conns.Handler(func() bool { return false }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { f.runs.Add(1) })))
	s.ConnContext = httpx.WithConn
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateActive && f.active != nil {
			f.active()
		}
		f.conns.Record(clock.Now(), conn, state)
		if state == http.StateIdle {
			f.idle <- struct{}{}
		}
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config, server.Listener = s, &Listener{Listener: server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	answers = bufio.NewReader(caller)
	require.Equal(t, http.StatusOK, f.ask(t, caller, answers))
	<-f.idle
	return caller, answers
}

// closeBeforeSecond closes unused connections as the server has read the second request.
func (f *closeServer) closeBeforeSecond() {
	var second atomic.Bool
	f.active = func() {
		if second.Swap(true) {
			f.conns.CloseUnused(clock.Now())
		}
	}
}

func (f *closeServer) ask(t *testing.T, caller net.Conn, answers *bufio.Reader) (status int) {
	t.Helper()
	_, err := io.WriteString(caller, testRequest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// A server that stops closes unused connections. Guards against a caller who uses one again and can not tell whether its
// request has run.
func TestRequestCrossesClose(t *testing.T) {
	var f closeServer
	caller, answers := f.connect(t)
	require.Equal(t, 1, f.conns.CloseUnused(clock.Now()))
	require.Equal(t, http.StatusRequestTimeout, f.ask(t, caller, answers))
	_, err := answers.ReadByte()
	require.Error(t, err)
	require.Equal(t, int64(1), f.runs.Load())
}

// A server has read a request and does not know yet that its connection is in use, as it sends the close response. Guards against
// running a request that its caller is told has not run.
func TestReadRequestCrossesCloseResponse(t *testing.T) {
	var f closeServer
	f.closeBeforeSecond()
	caller, answers := f.connect(t)
	// As if the request had arrived between the look for unread bytes and the close response.
	f.conns.mu.Lock()
	for conn, s := range f.conns.conns {
		s.read += int64(len(testRequest))
		f.conns.conns[conn] = s
	}
	f.conns.mu.Unlock()
	require.Equal(t, http.StatusRequestTimeout, f.ask(t, caller, answers))
	_, err := answers.ReadByte()
	require.Error(t, err)
	require.Equal(t, int64(1), f.runs.Load())
}

// Guards against a close response in the answer to a request that has arrived before it.
func TestNoCloseResponseBesideRequest(t *testing.T) {
	var f closeServer
	f.closeBeforeSecond()
	caller, answers := f.connect(t)
	require.Equal(t, http.StatusOK, f.ask(t, caller, answers))
	<-f.idle
	require.Equal(t, int64(2), f.runs.Load())
	require.Equal(t, 1, f.conns.CloseUnused(clock.Now()))
	require.Equal(t, http.StatusRequestTimeout, f.ask(t, caller, answers))
	require.Equal(t, int64(2), f.runs.Load())
}
