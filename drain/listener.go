package drain

import (
	"net"
	"sync/atomic"
)

// Listener accepts connections that count what is read from them.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &countedConn{TCPConn: tcp}, err
	}
	return c, err
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
	if counted, ok := c.(*countedConn); ok {
		return counted.read.Load()
	}
	return 0
}
