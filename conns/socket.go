package conns

import (
	"cmp"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// unansweredLimit is the age of the last acknowledgement from which an idle
// connection with an unanswered probe gets no request. A new connection
// tells sooner whether the server is there.
const unansweredLimit = 1900 * time.Millisecond

// socketState is the state of a connection that the kernel reports without
// blocking.
type socketState int

const (
	socketIdle socketState = iota
	socketReadable
	socketClosed
)

// PeerClosed reports whether the kernel has received the peer's close of a
// connection.
func PeerClosed(c net.Conn) bool { return peekSocket(c) == socketClosed }

// HasUnread reports whether the kernel has received bytes of a connection that
// have not been read.
func HasUnread(c net.Conn) bool { return peekSocket(c) == socketReadable }

// peekSocket returns the state of a connection without consuming bytes. A
// connection without a system call interface counts as idle.
func peekSocket(c net.Conn) socketState {
	state, _ := peek(c)
	return state
}

// peek is peekSocket that also returns the error of the connection, such as a
// reset. The kernel reports an error once: reads that follow see an end of the
// stream in its place.
func peek(c net.Conn) (socketState, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return socketIdle, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketClosed, fmt.Errorf("look for unread bytes: %w", err)
	}
	observed, failure := socketClosed, error(nil)
	// Read of the raw connection would wait for a concurrent reader; Control
	// does not.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			observed = socketIdle
		case err != nil:
			failure = err
		case n > 0:
			observed = socketReadable
		}
	})
	if err = cmp.Or(err, failure); err != nil {
		return socketClosed, fmt.Errorf("look for unread bytes: %w", err)
	}
	return observed, nil
}

// WriteAtOnce writes as much of a text as fits into the send buffer of a connection, without blocking, and returns how many
// bytes that were.
func WriteAtOnce(c net.Conn, text string) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	written := 0
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		written, _ = unix.SendmsgN(int(fd), []byte(text), nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	})
	return max(written, 0)
}

// unanswered reports whether the peer of an idle connection has acknowledged
// nothing for unansweredLimit, although a keep-alive probe asked it to.
func unanswered(c net.Conn) bool {
	info := httpx.TCPInfo(c)
	if info == nil {
		return false
	}
	return info.Probes > 0 && time.Duration(info.Last_ack_recv)*time.Millisecond >= unansweredLimit
}

// BytesAcked returns how many bytes the peer of a connection has acknowledged, 0 if that is not known.
func BytesAcked(c net.Conn) uint64 {
	info := httpx.TCPInfo(c)
	if info == nil {
		return 0
	}
	return info.Bytes_acked
}
