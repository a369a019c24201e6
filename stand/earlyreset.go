package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
)

// earlyResetBuffer is the size in bytes of the receive buffer of a server that does not read the body of its request.
const earlyResetBuffer = 4 << 10

// StartEarlyReset serves on a free loopback port until stop is called. To each request it sends the text that respond
// returns as soon as it has read the head, and resets the connection in the same instant. Its receive buffer is small, so
// that a long body is still being written then.
func StartEarlyReset(respond func(*http.Request) string) (address string, stop func(), err error) {
	return StartLateReset(respond, func() {})
}

// StartLateReset is StartEarlyReset that resets a connection once silence has returned.
func StartLateReset(respond func(*http.Request) string, silence func()) (address string, stop func(), err error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyResetBuffer)
		})
		if err != nil {
			return fmt.Errorf("set receive buffer: %w", err)
		}
		return sockoptErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	go acceptAll(l, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, respond(r))
		silence()
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// StartEarlyClose serves on a free loopback port until stop is called. To each request it sends the text that respond returns as
// soon as it has read the head, and closes its side of the connection in order. It then reads the rest of the request, or nothing
// more.
func StartEarlyClose(reads bool, respond func(*http.Request) string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	ended := make(chan struct{})
	go acceptAll(l, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, respond(r))
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		if reads {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		<-ended
	})
	return l.Addr().String(), func() {
		_ = l.Close()
		close(ended)
	}, nil
}

// acceptAll calls serve with each connection to l and the head of its first request, and closes the connection after it. It
// returns when l is closed.
func acceptAll(l net.Listener, serve func(conn net.Conn, r *http.Request)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			serve(conn, r)
		}()
	}
}
