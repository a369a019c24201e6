package conns_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

var now = time.Unix(1000, 0)

// listen accepts connections into a channel.
func listen(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), accepted
}

// A server closes a kept connection, or sends bytes that belong to no request.
// A request sent over it would be lost without a sign whether it ran, or would
// get an answer that is not its own. Such connections are not used again.
func TestTakeLeavesUnsoundConnections(t *testing.T) {
	tests := map[string]struct {
		harm func(t *testing.T, c net.Conn)
		want bool
	}{
		"untouched":   {func(*testing.T, net.Conn) {}, true},
		"closed":      {func(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) }, false},
		"extra bytes": {func(t *testing.T, c net.Conn) { _, err := c.Write([]byte("x")); require.NoError(t, err) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			var p conns.Pool
			c, err := p.Dial(context.Background(), "k", address)
			require.NoError(t, err)
			p.Keep(now, c, time.Second)
			server := <-accepted
			tc.harm(t, server)
			require.Eventually(t, func() bool {
				got := p.Take(now, "k", true)
				if got != nil {
					p.Keep(now, got, time.Second)
				}
				return (got != nil) == tc.want
			}, 10*time.Second, time.Millisecond)
		})
	}
}

func TestTakeLeavesOldConnections(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.Keep(now, c, time.Second)
	require.Nil(t, p.Take(now.Add(time.Second), "k", true))
	require.Zero(t, p.Connections("k"))
}

func TestTakeReturnsTheFreshest(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	var all []*conns.Conn
	for range 3 {
		c, err := p.Dial(context.Background(), "k", address)
		require.NoError(t, err)
		all = append(all, c)
	}
	for _, c := range all {
		p.Keep(now, c, time.Second)
	}
	require.Same(t, all[2], p.Take(now, "k", true))
	p.Forget("k")
	require.Nil(t, p.Take(now, "k", true))
}

// An order or a request is given up while a cut holds its bytes up. When the
// cut heals they would reach the server and be carried out, long after another
// VM has taken over. Closing the connection drops them: the server sees a reset
// and not the rest.
func TestCloseDropsWhatIsNotDelivered(t *testing.T) {
	address, accepted := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	server := <-accepted
	body := []byte(strings.Repeat("x", 32<<20))
	_, err = c.Send("POST", []byte("POST / HTTP/1.1\r\n\r\n"), body)
	require.NoError(t, err)
	first := make([]byte, 1)
	_, err = io.ReadFull(server, first)
	require.NoError(t, err)
	p.Discard(c)
	_, err = io.Copy(io.Discard, server)
	require.Error(t, err, "the server read the connection to a clean end")
}

// A server answers twice, the second time after the answer was taken for whole.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		answer string
		status int
		body   string
		kept   bool
		fails  bool
	}{
		"with length":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", true, false},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi", true, false},
		"interim first":  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", true, false},
		"asks to close":  {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", false, false},
		"bytes left":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", 200, "hi", false, false},
		"not an answer":  {"garbage\r\n\r\n", 0, "", false, true},
		"keep-alive set": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", 200, "", true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			var p conns.Pool
			c, err := p.Dial(context.Background(), "k", address)
			require.NoError(t, err)
			server := <-accepted
			_, err = server.Write([]byte(tc.answer))
			require.NoError(t, err)
			x, err := c.Send("GET", []byte("GET / HTTP/1.1\r\n\r\n"), nil)
			require.NoError(t, err)
			resp, err := x.Answer()
			require.Equal(t, tc.fails, err != nil)
			if err != nil {
				x.Finish(now, &p, nil, false)
				require.Zero(t, p.Connections("k"))
				return
			}
			body, err := conns.ReadAll(resp.Body, 100)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, tc.body, string(body))
			x.Finish(now, &p, resp, true)
			require.Equal(t, tc.kept, p.Take(now, "k", true) != nil)
		})
	}
}

func TestReadAllRefusesLongBodies(t *testing.T) {
	_, err := conns.ReadAll(strings.NewReader("abc"), 2)
	require.ErrorIs(t, err, conns.ErrTooLong)
}

// The server of callers reads a connection in the background while a request is
// worked on. Asking whether the caller has left must not wait for that reader:
// every request would hang until its caller gives up.
func TestClosedBesideAReader(t *testing.T) {
	address, accepted := listen(t)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	server := <-accepted
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = server.Read(make([]byte, 1))
	}()
	for range 100 {
		require.False(t, conns.Closed(server))
	}
	require.NoError(t, c.Close())
	<-read
	require.Eventually(t, func() bool { return conns.Closed(server) }, 10*time.Second, time.Millisecond)
}

// A server closes idle connections after some seconds that it does not name. A
// request that may be lost for good does not go over an old one; one that may be
// repeated does, as a new connection costs the server more.
func TestOldConnectionsAreForRepeatableRequests(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.Keep(now, c, 0)
	later := now.Add(conns.DefaultIdle + time.Second)
	require.True(t, p.Idle("k"))
	require.Nil(t, p.Take(later, "k", true))
	require.Same(t, c, p.Take(later, "k", false))
}

// A kept connection is taken and given back unused. It must not seem younger
// than it is: a request that may be lost for good would go over it.
func TestReturnedConnectionsStayAsOldAsTheyWere(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.Return(now, c)
	later := now.Add(conns.DefaultIdle - time.Second)
	c = p.Take(later, "k", true)
	require.NotNil(t, c)
	p.Return(later, c)
	require.Nil(t, p.Take(later.Add(time.Second), "k", true))
}
