package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// standstill is a connection whose VM stands still in one of its reads, from before the read deadline until after it.
type standstill struct {
	*net.TCPConn
	// meanwhile is what the peer does while the VM stands still, nil once it has happened.
	meanwhile func()
}

func (c *standstill) Read(p []byte) (int, error) {
	if c.meanwhile != nil {
		_ = c.SetReadDeadline(time.Unix(0, 1))
		c.meanwhile()
		c.meanwhile = nil
	}
	return c.TCPConn.Read(p)
}

// sendFromStandstill sends a request to a new server over a connection whose VM can stand still in a read. A server that
// counts as silent is an error.
func sendFromStandstill(t *testing.T) (vm *standstill, server net.Conn, x *conns.Exchange) {
	t.Helper()
	address, accepted := listen(t)
	p := conns.Pool{DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := conns.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		vm = &standstill{TCPConn: c.(*net.TCPConn)}
		return vm, nil
	}}
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	server = <-accepted
	x, err = c.Send(http.MethodGet, []byte("GET / HTTP/1.1\r\n\r\n"), nil)
	require.NoError(t, err)
	c.SetStallTimeout(time.Hour, func(time.Duration) bool {
		t.Error("the server counts as silent")
		return true
	})
	return vm, server, x
}

// A VM stands still for longer than its stall timeout while its server sends. The timer of the read fires before what
// lies in the socket is read. Guards against a server that counts as silent, or is left, though it has answered.
func TestBytesThatCameWhileVMStoodStill(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		sent  string
		close bool
	}{
		"whole response":               {sent: response},
		"part of the head":             {sent: response[:20]},
		"whole response and the close": {sent: response, close: true},
		"close":                        {close: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			vm, server, x := sendFromStandstill(t)
			vm.meanwhile = func() {
				_, _ = fmt.Fprint(server, tc.sent)
				if tc.close {
					require.NoError(t, server.Close())
				}
				awaitReadable(t, vm.TCPConn)
				go func() { _, _ = fmt.Fprint(server, response[len(tc.sent):]) }()
			}
			_, err := x.ReadResponse()
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Equal(t, tc.sent == "", err != nil)
		})
	}
}

// awaitReadable waits until the kernel holds bytes or a close that a connection has not read.
func awaitReadable(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		readable := false
		err := raw.Control(func(fd uintptr) {
			_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			readable = err == nil
		})
		return err == nil && readable
	}, 10*time.Second, time.Millisecond)
}

// Guards against a response that ends with its connection and looks whole though the connection was reset: the kernel
// reports a reset once, and a look for bytes after a stall timeout would be told of it in place of the read.
func TestResetWhileVMStoodStill(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of"
	vm, server, x := sendFromStandstill(t)
	_, err := bufio.NewReader(server).ReadString('\n')
	require.NoError(t, err)
	_, err = fmt.Fprint(server, part)
	require.NoError(t, err)
	resp, err := x.ReadResponse()
	require.NoError(t, err)
	read := make([]byte, len("half of"))
	_, err = io.ReadFull(resp.Body, read)
	require.NoError(t, err)
	vm.meanwhile = func() {
		require.NoError(t, server.(*net.TCPConn).SetLinger(0))
		require.NoError(t, server.Close())
		awaitReset(t, vm.TCPConn)
	}
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, unix.ECONNRESET)
	require.True(t, conns.ConnectionLost(err))
}

// awaitReset waits until the kernel has received the reset of a connection, without being told of it.
func awaitReset(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var info *unix.TCPInfo
		err := raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && info != nil && info.State == unix.BPF_TCP_CLOSE
	}, 10*time.Second, time.Millisecond)
}
