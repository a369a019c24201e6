// Package guard bounds what a process holds for all its clients together, on all its ports: connections, which take
// descriptors, and the memory of requests that have not arrived whole. Clients that are each within every limit, or that
// never send a whole request, could otherwise take a machine's memory, or leave the process without descriptors for its own
// connections.
//
// When a bound is reached, connections without a whole request give way: their requests have not been passed on. Among
// these, one that holds much memory goes first, and then the one that has had the most time.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// sweepInterval is the interval between looks for responses that nobody reads, and reportInterval that between reports.
	sweepInterval  = 250 * time.Millisecond
	reportInterval = time.Second
	// maxAwaitedUnread is how long a client may read nothing of a response while others wait for its memory.
	maxAwaitedUnread = 1500 * time.Millisecond
	// maxClosingPart is the part of the memory that closed connections may hold before others wait, for at most
	// maxReleaseWait.
	maxClosingPart = 4
	maxReleaseWait = time.Second
	// usualBytes is what a connection holds at most whose request has an ordinary head and a body of up to 64 KB.
	usualBytes = 160 << 10
)

// Guard holds the bounds of a process. The zero value has none.
type Guard struct {
	// Memory returns how many bytes may be held for requests that have not ended, 0 for no bound. Optional.
	Memory func() int64
	// MaxUnread is how long a client may read nothing of a response before its connection is closed, 0 for ever.
	MaxUnread time.Duration
	// Awaited reports whether other requests wait for the memory of responses. Clients that read nothing then have less
	// time. Optional.
	Awaited func() bool
	// Meter receives counters and gauges. Optional.
	Meter *meter.Registry
	Log   zerolog.Logger

	mu    sync.Mutex
	ports []*Port
	// held is what open connections hold, and closing what those hold that were closed and whose goroutines have not ended.
	held, closing int64
	// turn counts how often a connection began to be without a whole request.
	turn uint64
	// freed is closed when closing falls, nil if nobody waits for that.
	freed chan struct{}
	// closed counts the connections that were closed, logged those of them in log lines.
	closed, logged map[closeCause]int
}

// closeCause is a port and why connections to it were closed.
type closeCause struct{ port, reason string }

// Reasons for which connections are closed.
const (
	reasonConns   = "connections"
	reasonMemory  = "memory"
	reasonHead    = "head_too_long"
	reasonUnread  = "response_unread"
	reasonRefused = "refused"
)

// Held returns how many bytes are held for requests that have not ended, by estimate.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// AddPort adds a port with its bounds.
func (g *Guard) AddPort(p Port) *Port {
	p.guard = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ports = append(g.ports, &p)
	return &p
}

// Run closes connections whose responses are not read, and logs what was closed, until ctx ends.
func (g *Guard) Run(ctx context.Context, now func() time.Time) {
	var reported time.Time
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		at := now()
		g.Sweep(at)
		if at.Sub(reported) >= reportInterval {
			reported = at
			g.report()
		}
	}
}

// Sweep closes the connections whose clients have read nothing of a response for too long.
func (g *Guard) Sweep(now time.Time) {
	for _, c := range g.unread(now) {
		c.abort(reasonUnread)
	}
}

// unread returns the connections whose clients have taken nothing of a response for too long.
func (g *Guard) unread(now time.Time) []*Conn {
	limit := g.MaxUnread
	if g.Awaited != nil && g.Awaited() {
		limit = min(limit, maxAwaitedUnread)
	}
	if limit == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*Conn
	for _, p := range g.ports {
		for c := range p.conns {
			if c.unreadFor(now) >= limit {
				list = append(list, c)
			}
		}
	}
	return list
}

// report sets the gauges, and logs the connections that were closed since the last call.
func (g *Guard) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := 0
	for _, p := range g.ports {
		open += len(p.conns)
	}
	if g.Meter != nil {
		g.Meter.SetGauge("guard.conns", int64(open))
		g.Meter.SetGauge("guard.bytes", g.held)
	}
	for what, n := range g.closed {
		if before := g.logged[what]; n > before {
			g.Log.Warn().Str("port", what.port).Str("reason", what.reason).Int("count", n-before).Int("open", open).Int64("bytes", g.held).
				Msg("connections of clients closed")
			g.logged[what] = n
		}
	}
}

// count counts a closed connection. g.mu is held.
func (g *Guard) count(p *Port, reason string) {
	if g.closed == nil {
		g.closed, g.logged = make(map[closeCause]int), make(map[closeCause]int)
	}
	g.closed[closeCause{p.Name, reason}]++
	if g.Meter != nil {
		g.Meter.AddCounter("guard.closed."+p.Name+"."+reason, 1)
	}
}

// add adds a connection, and returns those that have to give way to it: itself if there is no other.
func (g *Guard) add(c *Conn) (givesWay []*Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := c.port
	if p.MaxConns > 0 && len(p.conns) >= p.MaxConns {
		oldest := p.oldestPending()
		if oldest == nil {
			return []*Conn{c}
		}
		g.remove(oldest, reasonConns)
		givesWay = append(givesWay, oldest)
	}
	if p.conns == nil {
		p.conns = make(map[*Conn]struct{})
	}
	p.conns[c] = struct{}{}
	g.await(c)
	return append(givesWay, g.charge(c, connBytes)...)
}

// charge sets how many bytes a connection holds, and returns those that have to give way. g.mu is held.
func (g *Guard) charge(c *Conn, bytes int64) (givesWay []*Conn) {
	if c.removed {
		return nil
	}
	grows := bytes > c.charged
	g.held += bytes - c.charged
	c.charged = bytes
	if !grows || g.Memory == nil {
		return nil
	}
	limit := g.Memory()
	for limit > 0 && g.held > limit {
		next := g.nextToGiveWay()
		if next == nil {
			return givesWay
		}
		g.remove(next, reasonMemory)
		givesWay = append(givesWay, next)
	}
	return givesWay
}

// nextToGiveWay returns the connection without a whole request that holds the most, or the oldest if none holds more than
// usual: else an ordinary request would give way to connections that send nothing. It returns nil for none. g.mu is held.
func (g *Guard) nextToGiveWay() *Conn {
	var largest, oldest *Conn
	for _, p := range g.ports {
		if c := p.oldestPending(); c != nil && (oldest == nil || c.pendingSince < oldest.pendingSince) {
			oldest = c
		}
		for e := p.pending.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); largest == nil || c.charged > largest.charged {
				largest = c
			}
		}
	}
	if largest != nil && largest.charged > usualBytes {
		return largest
	}
	return oldest
}

// await records that a connection has no whole request from now on. g.mu is held.
func (g *Guard) await(c *Conn) {
	g.turn++
	c.pendingSince = g.turn
	c.element = c.port.pending.PushBack(c)
}

// remove forgets a connection, which is closed by the caller if reason is not empty. g.mu is held.
func (g *Guard) remove(c *Conn, reason string) {
	if c.removed {
		return
	}
	c.removed = true
	g.held -= c.charged
	if reason == "" {
		c.charged = 0
	} else {
		g.closing += c.charged
		g.count(c.port, reason)
		g.signal()
	}
	delete(c.port.conns, c)
	c.port.settle(c)
}

// release records that nothing is held for a connection any more.
func (g *Guard) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c, "")
	g.closing -= c.charged
	c.charged = 0
	g.signal()
}

// signal wakes those that wait. g.mu is held.
func (g *Guard) signal() {
	if g.freed != nil {
		close(g.freed)
		g.freed = nil
	}
}

// awaitRelease waits while connections that have been closed still hold much, so that others do not take their room before
// it is free. It does not wait for a connection that is one of them; c may be nil.
func (g *Guard) awaitRelease(c *Conn) {
	freed := g.releasing(c)
	if freed == nil {
		return
	}
	for deadline := time.After(maxReleaseWait); freed != nil; freed = g.releasing(c) {
		select {
		case <-freed:
		case <-deadline:
			return
		}
	}
}

// releasing returns a channel to wait for, nil if closed connections do not hold much or c is one of them.
func (g *Guard) releasing(c *Conn) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Memory == nil || c != nil && c.removed || g.closing <= g.Memory()/maxClosingPart {
		return nil
	}
	if g.freed == nil {
		g.freed = make(chan struct{})
	}
	return g.freed
}
