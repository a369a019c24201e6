package conns_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// silence is that of a host which goes on afterwards: it begins a time after the last byte that the connection has
// carried, which decides where it lies among the keep-alive probes.
type silence struct{ begins, lasts time.Duration }

var silences = map[string]silence{
	"a moment, right before a probe":            {950 * time.Millisecond, 100 * time.Millisecond},
	"a second, right after a byte":              {0, 1100 * time.Millisecond},
	"a second, right before a probe":            {950 * time.Millisecond, 1100 * time.Millisecond},
	"a second and a half, right after a byte":   {0, 1500 * time.Millisecond},
	"a second and a half, before a probe":       {500 * time.Millisecond, 1500 * time.Millisecond},
	"a second and a half, right before a probe": {950 * time.Millisecond, 1500 * time.Millisecond},
}

// A host falls silent while a request is under way, and goes on. Guards against a kernel that then ends the
// connection, and with it a request whose server is sound.
func TestRequestSurvivesSilence(t *testing.T) {
	const long = 512 << 10
	situations := map[string]situation{
		"waits for the response":       {},
		"request is sent":              {sends: 1},
		"long request is sent":         {sends: long},
		"response begins":              {receives: 1},
		"long request is not read yet": {sends: long, acknowledged: true},
	}
	for name, tc := range situations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failures := make(chan error, len(silences))
			for name, s := range silences {
				client, server := exchangeByte(t)
				go func() {
					err := tc.survive(client, server, s)
					if err != nil {
						err = fmt.Errorf("silent for %s: %w", name, err)
					}
					failures <- err
				}()
			}
			var err error
			for range silences {
				err = errors.Join(err, <-failures)
			}
			require.NoError(t, err)
		})
	}
}

// situation is what is under way on a connection when a silence begins: how many bytes its client sends and receives.
type situation struct {
	sends, receives int
	// acknowledged is set if the server's host goes on and only its process reads nothing.
	acknowledged bool
}

// survive returns an error unless both ends get all bytes in spite of a silence.
func (x situation) survive(client net.Conn, server *net.TCPConn, s silence) error {
	time.Sleep(s.begins)
	if err := stand.SetSilent(server, !x.acknowledged); err != nil {
		return err
	}
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, x.sends))
		written <- err
	}()
	_, err := server.Write(make([]byte, x.receives))
	if err != nil {
		return fmt.Errorf("send response: %w", err)
	}
	time.Sleep(s.lasts)
	if err := stand.SetSilent(server, false); err != nil {
		return err
	}
	// A kernel that ends the connection does so at a probe or when it sends again.
	time.Sleep(afterSilence)
	_, err = io.ReadFull(server, make([]byte, x.sends))
	err = errors.Join(err, <-written)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	if _, err := server.Write([]byte("x")); err != nil {
		return fmt.Errorf("send rest of response: %w", err)
	}
	if _, err := io.ReadFull(client, make([]byte, x.receives+1)); err != nil {
		return fmt.Errorf("response: %w", err)
	}
	return nil
}

// afterSilence is longer than the interval between probes.
const afterSilence = 1500 * time.Millisecond

// A host is gone without a word. Guards against requests that wait for it until their deadline.
func TestGoneHostEndsRequest(t *testing.T) {
	for name, unacknowledged := range map[string]int{"waits for the response": 0, "request is sent": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := exchangeByte(t)
			require.NoError(t, stand.SetSilent(server, true))
			_, err := client.Write(make([]byte, unacknowledged))
			require.NoError(t, err)
			require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = client.Read(make([]byte, 1))
			require.ErrorIs(t, err, unix.ETIMEDOUT)
			require.True(t, conns.ConnectionLost(err))
		})
	}
}

// A host is gone, and the kernel has not ended its idle connections yet. Guards against a request that may run once
// and is sent into such a connection, instead of over a new one that fails or works at once.
func TestGetSkipsUnansweredConnections(t *testing.T) {
	const silent = 2 * time.Second
	tests := map[string]struct{ silent, reusable bool }{"answers": {false, true}, "silent": {true, false}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := listen(t)
			var raw net.Conn
			p := conns.Pool{DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
				var err error
				raw, err = conns.Dial(ctx, address)
				return raw, err
			}}
			c, err := p.Dial(context.Background(), "k", address)
			require.NoError(t, err)
			p.Put(now, c, time.Minute)
			require.NoError(t, stand.SetSilent((<-accepted).(*net.TCPConn), tc.silent))
			time.Sleep(silent)
			require.Eventually(t, func() bool { return !tc.silent || lastAck(t, raw) >= silent }, 10*time.Second, time.Millisecond)
			require.Equal(t, tc.reusable, p.Get(now, "k", true) != nil)
		})
	}
}

// lastAck returns the time since the peer of a connection last acknowledged anything.
func lastAck(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var info *unix.TCPInfo
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }))
	require.NoError(t, optErr)
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}

// exchangeByte returns both ends of a connection that has just carried a byte.
func exchangeByte(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	address, accepted := listen(t)
	client, err := conns.Dial(context.Background(), address)
	require.NoError(t, err)
	server = (<-accepted).(*net.TCPConn)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, 1))
	require.NoError(t, err)
	return client, server
}
