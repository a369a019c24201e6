package conns

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// readBufferBytes fits the head of a response and some events of a stream.
const readBufferBytes = 4 << 10

// Conn is a connection to one server. One request uses it at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	key    string
	// reused is set once the connection has been in the pool, proven once a response has arrived on it.
	reused, proven bool
	// identified is set once the peer has said which instance of its server it is.
	identified bool
	// expiresAt is when the connection is too old for any request, safeUntil
	// when it is too old for a request that cannot be repeated.
	expiresAt, safeUntil time.Time
	// stallTimeout is how long a read waits before it calls abortOnStall; 0
	// waits for as long as the connection lasts.
	stallTimeout time.Duration
	abortOnStall func(waited time.Duration) bool
	// ownDelay is described at OwnDelay. Only the reader uses it.
	ownDelay time.Duration
	// readErr is the first error of a read, which all later ones return: the readers of net/http take the part of a line
	// before an error for a whole line, and would go on with what comes after it. Only the reader uses it.
	readErr error
	// bodyWrite writes the body of the last request, nil if that was written with its head. Only the reader uses it.
	bodyWrite *bodyWrite
	head      headLimit
	carried   carried

	stallMu sync.Mutex
	// stallDue is set if a read is to call abortOnStall before its stall timeout ends.
	stallDue bool
}

// Proven reports whether a response has arrived on the connection. One that was
// opened and kept may be broken as soon as it is used.
func (c *Conn) Proven() bool { return c.proven }

// Identified reports whether the peer has said which instance of its server it is.
func (c *Conn) Identified() bool { return c.identified }

// MarkIdentified records that the peer has said which instance of its server it is. Another one has connections of
// its own.
func (c *Conn) MarkIdentified() { c.identified = true }

// Close closes the connection. It may be called more than once and while
// another goroutine reads or writes.
func (c *Conn) Close() { _ = c.net.Close() }

// isReusable reports whether the connection is open, its peer acknowledges, and
// it holds no unread bytes; those would belong to no request.
func (c *Conn) isReusable() bool {
	return c.reader.Buffered() == 0 && peekSocket(c.net) == socketIdle && !unanswered(c.net)
}
