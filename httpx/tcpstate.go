package httpx

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrReset is returned in place of an end of the stream that is none. The kernel reports the error of a connection once, to
// the first call that meets it: after a reset that a write has met, a read sees an end of the stream, as if the peer had
// closed in order.
var ErrReset = fmt.Errorf("connection failed while it was written to: %w", syscall.ECONNRESET)

// States of a TCP connection, as in tcp_states.h of Linux. One that was reset, or whose peer no longer acknowledges, is
// closed; one whose peer has closed in order waits for its own close.
const (
	tcpStateUnknown = 0
	tcpStateClosed  = 7
)

// FailedConn reports whether a connection, on which a read has met the end of the stream, has failed or may have. Only a
// connection with a write that has failed, or that is still in progress, has to be asked about.
func FailedConn(c net.Conn) bool {
	info := TCPInfo(c)
	return info == nil || info.State == tcpStateUnknown || info.State == tcpStateClosed
}

// TCPInfo returns what the kernel knows of a TCP connection, which may be one of TLS, nil if that is not to be had.
func TCPInfo(c net.Conn) *unix.TCPInfo {
	for {
		above, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = above.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info
}
