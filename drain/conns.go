// Package drain stops an HTTP server without losing a request that is under way.
//
// http.Server.Shutdown closes kept connections at once, and drops without an answer what has been sent on them meanwhile;
// a listener that is closed resets the connections that wait to be accepted. The sender of such a request can not tell
// whether it has run. Here a kept connection takes one more request as long as others are in progress, and connections that
// wait are accepted.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

// QuietTime is how long no request may have been in progress before kept connections are closed.
const QuietTime = 200 * time.Millisecond

const (
	// checkInterval is the interval between looks at the connections.
	checkInterval = 10 * time.Millisecond
	// lastCallTime is how long before the exit kept connections are closed while requests are in progress.
	lastCallTime = 100 * time.Millisecond
)

// newConnTime is how long a connection on which nothing has arrived counts as one whose first request is under way. It
// is that of http.Server.Shutdown.
const newConnTime = 5 * time.Second

// Conns are the open connections of an HTTP server. The zero value is ready to use.
type Conns struct {
	// Farewell is a response that is sent on a connection before it is closed as unused, none if empty. A request that
	// crosses the close gets it as its answer and is not run, so that its sender knows.
	Farewell string

	mu    sync.Mutex
	conns map[net.Conn]connState
	// dismissing is set once connections are closed as soon as they are unused.
	dismissing bool
	farewells  int
	// running counts the connections with a request in progress, and idleSince is when it became 0.
	running   int
	idleSince time.Time
}

// connState is the state of a connection, since when it has it, and whether it was taken for unused in it.
type connState struct {
	state  http.ConnState
	since  time.Time
	unused bool
	// dismissed is set once the farewell was sent, at least in part.
	dismissed bool
	// read is how many bytes had been read from it when it got the state.
	read int64
}

// Record records a change of a connection's state. It is for the ConnState of an HTTP server.
func (c *Conns) Record(now time.Time, conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[net.Conn]connState)
	}
	last := c.conns[conn]
	before := last.state == http.StateActive
	if last.unused && !last.dismissed && s == http.StateActive {
		// The head of a request was read as the connection was taken for unused. Its body follows, without a deadline.
		_ = conn.SetReadDeadline(time.Time{})
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = connState{state: s, since: now, read: bytesRead(conn), dismissed: last.dismissed}
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

// Active returns the number of connections with a request in progress.
func (c *Conns) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// Farewells returns the number of connections that have got the farewell.
func (c *Conns) Farewells() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.farewells
}

// quiet returns for how long no request has been in progress.
func (c *Conns) quiet(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// Dismiss has CloseDismissed and Drain close connections as soon as they are unused, if they get a farewell: the next requests on them would
// be refused.
func (c *Conns) Dismiss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dismissing = c.Farewell != ""
}

// closesUnused reports whether Drain closes unused connections now.
func (c *Conns) closesUnused(now, exit time.Time) bool {
	return c.isDismissing() || c.quiet(now) >= QuietTime || exit.Sub(now) <= lastCallTime
}

func (c *Conns) isDismissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dismissing
}

// isDismissed reports whether the farewell was sent on a connection.
func (c *Conns) isDismissed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn].dismissed
}

// CloseUnused ends the connections on which no request is under way, as far as this VM can know, and returns the number
// of open connections. It ends them by a deadline for the next byte: a request of which the HTTP server has
// read a part goes on, unless its connection has got the farewell.
func (c *Conns) CloseUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		unused := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) >= newConnTime
		if unused && !conns.HasUnread(conn) && bytesRead(conn) == s.read {
			if c.Farewell != "" && !s.dismissed && conns.WriteAtOnce(conn, c.Farewell) > 0 {
				s.dismissed = true
				c.farewells++
			}
			// An error means that the connection is closed.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			s.unused = true
			c.conns[conn] = s
		}
	}
	return len(c.conns)
}

// CloseDismissed closes unused connections until ctx ends, from the call of Dismiss on.
func (c *Conns) CloseDismissed(ctx context.Context, clock func() time.Time) {
	for ctx.Err() == nil {
		if c.isDismissing() {
			c.CloseUnused(clock())
		}
		pause.For(ctx, checkInterval)
	}
}

// Drain closes a listener, which may be nil, waits until no request is in progress on its connections, or ctx ends, and
// closes these. exit is when the process exits. Hijacked connections stay open.
func (c *Conns) Drain(ctx context.Context, clock func() time.Time, exit time.Time, l *Listener) {
	if l != nil {
		// An error means that it is closed.
		_ = l.CloseToNew()
	}
	for ctx.Err() == nil {
		now := clock()
		if c.closesUnused(now, exit) && c.CloseUnused(now) == 0 {
			return
		}
		pause.For(ctx, checkInterval)
	}
}
