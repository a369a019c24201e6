package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	sc, ok := c.(syscall.Conn)
	if !ok {
		return socketIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketClosed
	}
	observed := socketClosed
	// Read of the raw connection would wait for a concurrent reader; Control
	// does not.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			observed = socketIdle
		case err == nil && n > 0:
			observed = socketReadable
		}
	})
	if err != nil {
		return socketClosed
	}
	return observed
}

// unanswered reports whether the peer of an idle connection has acknowledged
// nothing for unansweredLimit, although a keep-alive probe asked it to.
func unanswered(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || info == nil {
		return false
	}
	return info.Probes > 0 && time.Duration(info.Last_ack_recv)*time.Millisecond >= unansweredLimit
}
