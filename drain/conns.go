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
	// CloseResponse is a response that is sent on a connection before it is closed as unused, none if empty. A request that
	// crosses the close gets it as its answer and is not run, so that its sender knows.
	CloseResponse string

	mu    sync.Mutex
	conns map[net.Conn]connState
	// closesEarly is set once connections are closed as soon as they are unused.
	closesEarly    bool
	closeResponses int
	// running counts the connections with a request in progress, and idleSince is when it became 0.
	running   int
	idleSince time.Time
}

// connState is the state of a connection, since when it has it, and whether it was taken for unused in it.
type connState struct {
	state  http.ConnState
	since  time.Time
	unused bool
	// closeSent is set once the close response was sent, at least in part.
	closeSent bool
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
	if last.unused && !last.closeSent && s == http.StateActive {
		// The head of a request was read as the connection was taken for unused. Its body follows, without a deadline.
		_ = conn.SetReadDeadline(time.Time{})
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
	} else {
		c.conns[conn] = connState{state: s, since: now, read: bytesRead(conn), closeSent: last.closeSent}
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

// AwaitInactive waits until no request is in progress on the connections, for a time at most.
func (c *Conns) AwaitInactive(limit time.Duration) {
	for waited := time.Duration(0); c.Active() > 0 && waited < limit; waited += checkInterval {
		pause.For(context.Background(), checkInterval)
	}
}

// CloseResponses returns the number of connections on which the close response was sent.
func (c *Conns) CloseResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeResponses
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

// CloseEarly has CloseUnusedUntil and Drain close connections as soon as they are unused, if there is a close response: the
// next requests on them would be refused.
func (c *Conns) CloseEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesEarly = c.CloseResponse != ""
}

// closesUnused reports whether Drain closes unused connections now.
func (c *Conns) closesUnused(now, exit time.Time) bool {
	return c.isClosingEarly() || c.quiet(now) >= QuietTime || exit.Sub(now) <= lastCallTime
}

func (c *Conns) isClosingEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesEarly
}

// hasCloseResponse reports whether the close response was sent on a connection.
func (c *Conns) hasCloseResponse(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn].closeSent
}

// CloseUnused ends the connections on which no request is under way, as far as this VM can know, and returns the number
// of open connections. It ends them by a deadline for the next byte: a request of which the HTTP server has
// read a part goes on, unless its connection has carried the close response.
func (c *Conns) CloseUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		unused := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) >= newConnTime
		if unused && !conns.HasUnread(conn) && bytesRead(conn) == s.read {
			if c.CloseResponse != "" && !s.closeSent && conns.WriteAtOnce(conn, c.CloseResponse) > 0 {
				s.closeSent = true
				c.closeResponses++
			}
			// An error means that the connection is closed.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			s.unused = true
			c.conns[conn] = s
		}
	}
	return len(c.conns)
}

// CloseUnusedUntil closes unused connections until ctx ends, from the call of CloseEarly on.
func (c *Conns) CloseUnusedUntil(ctx context.Context, clock func() time.Time) {
	for ctx.Err() == nil {
		if c.isClosingEarly() {
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
