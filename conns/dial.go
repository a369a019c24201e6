package conns

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel aborts the connection, and how old the last acknowledgement may be
	// at a keep-alive probe that follows an unanswered one. Without it a request
	// to a server that lost power or is partitioned hangs for minutes. A sound
	// server can be silent for up to two seconds, and its requests must survive
	// that: a silence that begins right before the first probe must end before
	// the third, and one that hits a request before the kernel sends it for the
	// last time.
	tcpUserTimeout = 3900 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe
	// and the interval between probes. Their count does not matter, because
	// tcpUserTimeout decides.
	keepAliveInterval = time.Second
)

// Dial opens a TCP connection that detects an unreachable peer. Closing it
// discards undelivered bytes. Otherwise bytes delayed by a network partition
// would arrive when the partition heals, and the peer would run a request or an
// order that was abandoned long ago.
func Dial(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "", address) }

// DialFrom returns Dial for connections from a local IP address, which may be
// empty.
func DialFrom(source string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, source, address) }
}

func dial(ctx context.Context, source, address string) (net.Conn, error) {
	probes := net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}
	d := net.Dialer{KeepAliveConfig: probes, Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		if err != nil {
			return fmt.Errorf("set user timeout: %w", err)
		}
		return sockoptErr
	}}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("set linger: %w", err)
		}
	}
	return conn, nil
}
