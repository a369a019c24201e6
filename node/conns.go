package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// newConnTime is how long a connection on which nothing has arrived counts as one whose first request is under way. It
// is that of http.Server.Shutdown.
const newConnTime = 5 * time.Second

// openConns are the open connections of an HTTP server. The zero value is ready to use.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
	// running counts the connections with a request in progress, and idleSince is when it became 0.
	running   int
	idleSince time.Time
}

// connState is the state of a connection, since when it has it, and whether it was taken for unused in it.
type connState struct {
	state  http.ConnState
	since  time.Time
	unused bool
	// read is how many bytes had been read from it when it got the state.
	read int64
}

// countedListener accepts connections that count what is read from them.
type countedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
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

// record records a change of a connection's state. It is for the ConnState of an HTTP server.
func (c *openConns) record(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[net.Conn]connState)
	}
	last := c.conns[conn]
	before := last.state == http.StateActive
	if last.unused && s == http.StateActive {
		// The head of a request was read as the connection was taken for unused. Its body follows, without a deadline.
		_ = conn.SetReadDeadline(time.Time{})
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = connState{state: s, since: now, read: bytesRead(conn)}
	}
	switch active := s == http.StateActive; {
	case active && !before:
		c.running++
	case before && !active:
		if c.running--; c.running == 0 {
			c.idleSince = now
		}
	}
}

// active returns the number of connections with a request in progress.
func (c *openConns) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// quiet returns for how long no request has been in progress.
func (c *openConns) quiet(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// closeUnused ends the connections on which no request is under way, as far as this VM can know, and returns the number
// of open connections. It ends them by a deadline for the next byte: a request of which the HTTP server has
// read a part goes on.
func (c *openConns) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		unused := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) >= newConnTime
		if unused && !conns.HasUnread(conn) && bytesRead(conn) == s.read {
			// An error means that the connection is closed.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			s.unused = true
			c.conns[conn] = s
		}
	}
	return len(c.conns)
}
