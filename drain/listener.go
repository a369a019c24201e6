package drain

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Listener accepts connections that count what is read from them.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	waiting []net.Conn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		c = l.takeWaiting()
	}
	if c == nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &countedConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// CloseToNew refuses new connections. Accept goes on to return those that the kernel has established: a plain close
// would reset them, and with them the requests that their callers have sent.
func (l *Listener) CloseToNew() error {
	waiting, err := acceptWaiting(l.Listener)
	l.mu.Lock()
	l.waiting = append(l.waiting, waiting...)
	l.mu.Unlock()
	return errors.Join(err, l.Listener.Close())
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	for c := l.takeWaiting(); c != nil; c = l.takeWaiting() {
		_ = c.Close()
	}
	return err
}

func (l *Listener) takeWaiting() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c
}

// acceptWaiting accepts the connections that wait at a TCP listener, without waiting for more.
func acceptWaiting(l net.Listener) ([]net.Conn, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept waiting connections: %w", err)
	}
	var fds []int
	err = raw.Control(func(fd uintptr) {
		for {
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, c)
			case err != unix.EINTR && err != unix.ECONNABORTED:
				return
			}
		}
	})
	if errors.Is(err, net.ErrClosed) {
		// An earlier call has accepted them.
		return nil, nil
	}
	conns, convertErr := connsOf(fds)
	return conns, errors.Join(err, convertErr)
}

// connsOf returns the connections of sockets, which it takes over.
func connsOf(fds []int) ([]net.Conn, error) {
	var conns []net.Conn
	var errs error
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(file)
		errs = errors.Join(errs, err, file.Close())
		if err == nil {
			conns = append(conns, c)
		}
	}
	return conns, errs
}

// countedConn is a connection that counts the bytes that are read from it: net/http reports a connection as in use only
// after the whole head of a request.
type countedConn struct {
	*net.TCPConn
	read atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// bytesRead returns how many bytes have been read from a connection, 0 if it does not count them.
func bytesRead(c net.Conn) int64 {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if counted, ok := c.(*countedConn); ok {
		return counted.read.Load()
	}
	return 0
}
