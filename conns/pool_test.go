package conns_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

var now = time.Unix(1000, 0)

// listen starts a listener and sends the accepted connections to a channel.
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

// The server closes an idle connection, or sends bytes that belong to no
// request. A request sent over that connection would be lost with an unknown
// outcome, or would get the response to another request. The pool must not
// return such connections.
func TestGetSkipsClosedOrDirtyConnections(t *testing.T) {
	tests := map[string]struct {
		disturb  func(t *testing.T, c net.Conn)
		reusable bool
	}{
		"undisturbed": {func(*testing.T, net.Conn) {}, true},
		"closed":      {func(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) }, false},
		"extra bytes": {func(t *testing.T, c net.Conn) { _, err := c.Write([]byte("x")); require.NoError(t, err) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			var p conns.Pool
			c, err := p.Dial(context.Background(), "k", address)
			require.NoError(t, err)
			p.Put(now, c, time.Second)
			server := <-accepted
			tc.disturb(t, server)
			require.Eventually(t, func() bool {
				got := p.Get(now, "k", true)
				if got != nil {
					p.Put(now, got, time.Second)
				}
				return (got != nil) == tc.reusable
			}, 10*time.Second, time.Millisecond)
		})
	}
}

func TestGetDiscardsExpiredConnections(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.Put(now, c, time.Second)
	require.Nil(t, p.Get(now.Add(time.Second), "k", true))
	require.Zero(t, p.OpenConnections("k"))
}

func TestGetReturnsMostRecent(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	var all []*conns.Conn
	for range 3 {
		c, err := p.Dial(context.Background(), "k", address)
		require.NoError(t, err)
		all = append(all, c)
	}
	for _, c := range all {
		p.Put(now, c, time.Second)
	}
	require.Same(t, all[2], p.Get(now, "k", true))
	p.CloseIdle("k")
	require.Nil(t, p.Get(now, "k", true))
}

// The sender abandons an order or a request while a network partition delays
// its bytes. When the partition heals, the bytes would reach the server and be
// executed, long after another VM has taken over. Closing the connection must
// discard them: the server sees a reset and not the remaining bytes.
func TestCloseDropsUndeliveredBytes(t *testing.T) {
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
	require.Error(t, err, "the server read to EOF without a reset")
}

// Responses of several forms are read, among them one that is followed by bytes
// of a second response. The connection must return to the pool only when its
// response has ended and nothing else was received.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		response string
		status   int
		body     string
		reusable bool
		wantErr  bool
	}{
		"with length":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", true, false},
		"chunked":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi", true, false},
		"interim response":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", true, false},
		"connection close":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", false, false},
		"extra bytes":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", 200, "hi", false, false},
		"malformed":          {"garbage\r\n\r\n", 0, "", false, true},
		"keep-alive timeout": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", 200, "", true, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			var p conns.Pool
			c, err := p.Dial(context.Background(), "k", address)
			require.NoError(t, err)
			server := <-accepted
			_, err = server.Write([]byte(tc.response))
			require.NoError(t, err)
			x, err := c.Send("GET", []byte("GET / HTTP/1.1\r\n\r\n"), nil)
			require.NoError(t, err)
			resp, err := x.ReadResponse()
			require.Equal(t, tc.wantErr, err != nil)
			if err != nil {
				x.Finish(now, &p, nil, false)
				require.Zero(t, p.OpenConnections("k"))
				return
			}
			body, err := conns.ReadAll(resp.Body, 100)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, tc.body, string(body))
			x.Finish(now, &p, resp, true)
			require.Equal(t, tc.reusable, p.Get(now, "k", true) != nil)
		})
	}
}

func TestReadAllLimit(t *testing.T) {
	_, err := conns.ReadAll(strings.NewReader("abc"), 2)
	require.ErrorIs(t, err, conns.ErrBodyTooLarge)
}

// The HTTP server reads a caller's connection in the background while it handles
// a request. Checking whether the caller has closed the connection must not wait
// for that reader; otherwise every request hangs until its caller disconnects.
func TestPeerClosedDuringRead(t *testing.T) {
	address, accepted := listen(t)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	server := <-accepted
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		_, _ = server.Read(make([]byte, 1))
	}()
	for range 100 {
		require.False(t, conns.PeerClosed(server))
	}
	require.NoError(t, c.Close())
	<-readDone
	require.Eventually(t, func() bool { return conns.PeerClosed(server) }, 10*time.Second, time.Millisecond)
}

// A server closes idle connections after some seconds without announcing the
// timeout. A request that cannot be repeated must not use an aged connection,
// where it could be lost. A repeatable one must, as a new connection costs the
// server more.
func TestAgedConnectionsServeRepeatableRequestsOnly(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.Put(now, c, 0)
	later := now.Add(conns.DefaultIdleTimeout + time.Second)
	require.True(t, p.HasIdle("k"))
	require.Nil(t, p.Get(later, "k", true))
	require.Same(t, c, p.Get(later, "k", false))
}

// A connection is removed from the pool and put back unused. Its expiry must not
// move, or a request that cannot be repeated could use an aged connection and
// be lost.
func TestPutUnusedKeepsExpiry(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	p.PutUnused(now, c)
	later := now.Add(conns.DefaultIdleTimeout - time.Second)
	c = p.Get(later, "k", true)
	require.NotNil(t, c)
	p.PutUnused(later, c)
	require.Nil(t, p.Get(later.Add(time.Second), "k", true))
}

// A host is silent for a second and a half and goes on. Guards against socket options with which the kernel gives its
// connections up in that time, with the requests on them, or does not notice a host that is gone.
func TestConnectionSurvivesSilence(t *testing.T) {
	const lasts, noticed = 1500 * time.Millisecond, 4 * time.Second
	address, _ := listen(t)
	conn, err := conns.Dial(t.Context(), address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	userTimeout := time.Duration(sockopt(t, conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle, interval := time.Duration(sockopt(t, conn, unix.TCP_KEEPIDLE))*time.Second, time.Duration(sockopt(t, conn, unix.TCP_KEEPINTVL))*time.Second
	require.Greater(t, userTimeout, lasts, "sent data")
	// An earlier probe is unanswered and the user timeout exceeded: the kernel ends an idle connection instead of
	// sending the probe that is due. A silence may begin right before the first probe, and the last one must find it
	// over.
	ends := idle + interval
	for ends < userTimeout {
		ends += interval
	}
	require.Greater(t, ends-interval-idle, lasts, "idle")
	require.LessOrEqual(t, ends, noticed)
	require.LessOrEqual(t, userTimeout, noticed)
}

func sockopt(t *testing.T, conn net.Conn, option int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var value int
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
	require.NoError(t, optErr)
	return value
}

// Guards against an attempt that goes over a connection twice, against a new connection while another kept one has not
// carried it, and against a pool that loses the connections passed over.
func TestGetForPassesOverCarried(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	var all []*conns.Conn
	for range 3 {
		c, err := p.Dial(context.Background(), "k", address)
		require.NoError(t, err)
		all = append(all, c)
	}
	until := now.Add(500 * time.Millisecond)
	all[1].MarkCarried(now, "b", until)
	all[2].MarkCarried(now, "a", until)
	all[2].MarkCarried(now, "b", until)
	for _, c := range all {
		p.Put(now, c, time.Second)
	}
	require.Same(t, all[1], p.GetFor(now, "k", "a", true))
	require.Same(t, all[0], p.GetFor(now, "k", "b", true))
	require.Nil(t, p.GetFor(now, "k", "b", true))
	require.Equal(t, 3, p.OpenConnections("k"))
	require.Same(t, all[2], p.GetFor(until, "k", "b", true), "it is sent no more")
}

// Guards against connections that carry attempts of which they have no memory left.
func TestPutClosesConnectionWithoutMemory(t *testing.T) {
	address, _ := listen(t)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	for i := range 1000 {
		c.MarkCarried(now, strconv.Itoa(i), now.Add(time.Second))
	}
	p.Put(now, c, time.Second)
	require.Zero(t, p.OpenConnections("k"))
}
