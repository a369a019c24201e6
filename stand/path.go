package stand

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// PathState is the state of the network path from a VM to the backend servers.
type PathState int

// Values of PathState.
const (
	PathOpen PathState = iota
	// PathSilent drops all data: dials get no response, and open connections go silent.
	PathSilent
	// PathReset resets open connections, and new ones as soon as they send.
	PathReset
	// PathRefused resets open connections and refuses new ones.
	PathRefused
	// PathNoNewConns refuses new connections; open ones go on.
	PathNoNewConns
)

// PathFailures lists the states other than PathOpen by name.
var PathFailures = map[string]PathState{
	"silent": PathSilent, "reset": PathReset, "refused": PathRefused, "no new connections": PathNoNewConns,
}

// silentConnTimeout is the time after which the kernel aborts a connection that has gone silent, as the
// options of package conns tell it to.
const silentConnTimeout = 4 * time.Second

// Path is the network path from one VM to all backend servers. The zero value is open. It is safe for
// concurrent use.
type Path struct {
	mu    sync.Mutex
	state PathState
	conns map[*pathConn]bool
	dials int
}

// SetState changes the state of the path.
func (p *Path) SetState(state PathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	for c := range p.conns {
		switch state {
		case PathReset, PathRefused:
			c.abort(syscall.ECONNRESET)
		case PathSilent:
			c.timeout = time.AfterFunc(silentConnTimeout, func() { c.abort(syscall.ETIMEDOUT) })
		}
	}
}

// State returns the state of the path.
func (p *Path) State() PathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Dials returns how many connections the VM has tried to open.
func (p *Path) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Dial opens a connection to a backend server over the path, as conns.Dial does.
func (p *Path) Dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	state := p.state
	p.mu.Unlock()
	switch state {
	case PathSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case PathRefused, PathNoNewConns:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	raw, err := conns.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{TCPConn: raw.(*net.TCPConn), path: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*pathConn]bool)
	}
	p.conns[c] = true
	return c, nil
}

// pathConn is a connection over a Path.
type pathConn struct {
	*net.TCPConn
	path    *Path
	timeout *time.Timer

	mu  sync.Mutex
	err error
	// dataLost is set once the path has dropped data.
	dataLost bool
}

// abort ends the connection with an error.
func (c *pathConn) abort(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	_ = c.TCPConn.Close()
}

// failure returns the error with which the connection was aborted, else err.
func (c *pathConn) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil && err != nil {
		return &net.OpError{Op: "read", Net: "tcp", Err: c.err}
	}
	return err
}

// dropped records whether the path drops data now, and reports whether it ever dropped any.
func (c *pathConn) dropped() bool {
	silent := c.path.State() == PathSilent
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataLost = c.dataLost || silent
	return c.dataLost
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	if c.path.State() == PathReset {
		c.abort(syscall.ECONNRESET)
	} else if c.dropped() {
		return len(b), nil
	}
	n, err := c.TCPConn.Write(b)
	return n, c.failure(err)
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.dropped() {
			return n, c.failure(err)
		}
	}
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	if c.timeout != nil {
		c.timeout.Stop()
	}
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}
