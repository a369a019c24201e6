package guard

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// Estimates of what net/http and the handlers hold for a connection, in bytes.
const (
	// connBytes is for the stack of a goroutine and the buffers.
	connBytes = 16 << 10
	// bytesPerHeadByte is for the bytes of a head, as they are read and in the lines made of them; lineBytes is for a line in
	// the table of the header fields, whose names all differ in the worst case.
	bytesPerHeadByte = 2
	lineBytes        = 160
	// bytesPerBodyByte is for the bytes of a body in a buffer that grows.
	bytesPerBodyByte = 2
	// chargeStep is in what steps the estimate grows, so that few reads take the lock.
	chargeStep = 4 << 10
)

// errGaveWay is returned by reads of a connection that had to give way.
var errGaveWay = errors.New("connection closed to make room for others")

// phase is how far the request on a connection has arrived.
type phase int32

const (
	// phaseHead is before the end of a head, or before its first byte.
	phaseHead phase = iota
	// phaseBody is before the end of a body.
	phaseBody
	// phaseArrived is until the response has ended. A connection that was taken over from the HTTP server stays in it.
	phaseArrived
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	port  *Port
	phase atomic.Int32
	// closed is set once the connection has been closed for want of room.
	closed atomic.Bool

	// headBytes, lines, bodyBytes and wanted describe the request that is read. Only the reader uses them, and the HTTP
	// server between two requests.
	headBytes, lines, bodyBytes int
	wanted                      int64
	// readAhead is 1 if the first byte of the next head may have been read, which net/http does while a request is in progress.
	readAhead atomic.Int32

	// writing is held during a write. writes counts the writes that were begun and those that have ended, writesBefore is the
	// count before the request.
	writing      sync.Mutex
	writes       atomic.Int64
	writesBefore atomic.Int64

	// The guard's mu is held for the following. charged is how many bytes the connection holds; element is its place among
	// those without a whole request, nil if it has one, and pendingSince the turn at which it began to have none.
	charged      int64
	element      *list.Element
	pendingSince uint64
	removed      bool
	// seenWrites and seenAcked are the counts of writes and of bytes that the client has acknowledged, which have not changed
	// since seenSince.
	seenWrites int64
	seenAcked  uint64
	seenSince  time.Time
}

// NetConn returns the connection that c guards.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection of type %T has no system call interface", c.Conn)
	}
	return sc.SyscallConn()
}

// CloseWrite closes the sending side. The HTTP server uses it before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does with what was not sent. Responses that end with their connections reset it until they are
// complete (package httpx).
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.port.guard.release(c)
	return c.Conn.Close()
}

// Read implements net.Conn. A head over the limit is answered, and can not be read on.
func (c *Conn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	inHead := phase(c.phase.Load()) == phaseHead
	if limit := c.headLimit(); inHead && limit > 0 {
		if c.headBytes >= limit {
			c.endHead()
			// net/http answers each error of a read but a timeout.
			return 0, os.ErrDeadlineExceeded
		}
		p = p[:min(len(p), limit-c.headBytes)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.count(p[:n], inHead)
	}
	return n, err
}

func (c *Conn) headLimit() int {
	if c.port.HeadLimit == nil {
		return 0
	}
	return c.port.HeadLimit()
}

// count counts bytes that were read, and has other connections give way if they take too much.
func (c *Conn) count(read []byte, inHead bool) {
	switch {
	case inHead:
		c.headBytes += len(read)
		c.lines += bytes.Count(read, []byte{'\n'})
	case phase(c.phase.Load()) == phaseBody:
		c.readAhead.Store(1)
		c.bodyBytes += len(read)
	default:
		c.readAhead.Store(1)
		return
	}
	body := bytesPerBodyByte * c.bodyBytes
	if longest := c.port.CountedBodyBytes; longest > 0 {
		body = min(body, longest)
	}
	held := connBytes + int64(bytesPerHeadByte*c.headBytes+lineBytes*c.lines+body)
	if held <= c.wanted {
		return
	}
	c.wanted = (held + chargeStep - 1) / chargeStep * chargeStep
	g := c.port.guard
	g.mu.Lock()
	givesWay := g.charge(c, c.wanted)
	g.mu.Unlock()
	for _, other := range givesWay {
		other.giveWay()
	}
	if len(givesWay) > 0 {
		g.awaitRelease(c)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.Conn.Write(p)
}

// unreadFor returns for how long a write has been in progress of which the client has taken nothing. The guard's mu is held.
func (c *Conn) unreadFor(now time.Time) time.Duration {
	writes := c.writes.Load()
	if inProgress := writes%2 == 1; !inProgress || writes != c.seenWrites {
		c.seenWrites, c.seenAcked, c.seenSince = writes, 0, now
		return 0
	}
	if acked := conns.BytesAcked(c.Conn); acked != c.seenAcked {
		c.seenAcked, c.seenSince = acked, now
	}
	return now.Sub(c.seenSince)
}

// record records what the HTTP server does with the connection.
func (c *Conn) record(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase.CompareAndSwap(int32(phaseHead), int32(phaseBody))
	case http.StateIdle:
		c.awaitRequest()
	case http.StateHijacked:
		c.arrived()
	}
}

// awaitRequest records that the next request is awaited.
func (c *Conn) awaitRequest() {
	c.headBytes, c.lines, c.bodyBytes, c.wanted = int(c.readAhead.Swap(0)), 0, 0, connBytes
	c.writesBefore.Store(c.writes.Load())
	c.phase.Store(int32(phaseHead))
	g := c.port.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.removed {
		return
	}
	g.charge(c, connBytes)
	c.port.settle(c)
	g.await(c)
}

// arrived records that a request has arrived whole, and reports false if the connection has given way before.
func (c *Conn) arrived() bool {
	g := c.port.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.removed {
		return false
	}
	c.phase.Store(int32(phaseArrived))
	c.port.settle(c)
	return true
}

// giveWay closes a connection that the guard has removed, which has no whole request. Its client is told if nothing of a
// response can be under way.
func (c *Conn) giveWay() {
	c.closed.Store(true)
	if c.writing.TryLock() {
		if phase(c.phase.Load()) == phaseHead && c.writes.Load() == c.writesBefore.Load() && c.port.GivesWay != "" {
			conns.WriteAtOnce(c.Conn, c.port.GivesWay)
		}
		c.writing.Unlock()
	}
	_ = c.Conn.Close()
}

// endHead answers a head over the limit, and closes its connection.
func (c *Conn) endHead() {
	g := c.port.guard
	g.mu.Lock()
	removed := c.removed
	g.remove(c, reasonHead)
	g.mu.Unlock()
	if removed || c.closed.Swap(true) {
		return
	}
	if c.port.GivesWay != "" {
		conns.WriteAtOnce(c.Conn, headTooLong)
	}
	_ = c.Conn.Close()
}

// abort closes a connection in the middle of a response.
func (c *Conn) abort(reason string) {
	g := c.port.guard
	g.mu.Lock()
	g.remove(c, reason)
	g.mu.Unlock()
	c.closed.Store(true)
	_ = c.Conn.Close()
}
