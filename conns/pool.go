// Package conns pools connections to backend servers and sends HTTP/1.1
// requests over them, one at a time per connection.
//
// It offers control that net/http's transport does not: it never sends a
// request twice, it reports whether a request was written completely, and it
// checks an idle connection before a request that must not run twice is sent
// over it.
package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes fits the head of a response and some events of a stream.
	readBufferBytes = 4 << 10
	// DefaultIdleTimeout is how long an idle connection is kept when the server
	// sends no Keep-Alive timeout. Servers commonly close idle connections
	// after five seconds or more.
	DefaultIdleTimeout = 4 * time.Second
	// RepeatableIdleTimeout is how long an idle connection is kept for
	// repeatable requests when the server sends no Keep-Alive timeout. The
	// kernel reports a close before the send, and a request that crosses a
	// close is sent again.
	RepeatableIdleTimeout = 12 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout. It covers the
	// network delay of the server's close and of a request that crosses it.
	idleTimeoutMargin = 500 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel aborts the connection, and how old the last acknowledgement may be
	// at a keep-alive probe that follows an unanswered one. Without it a request
	// to a server that lost power or is partitioned hangs for minutes. A sound
	// server can be silent for up to two seconds, and its requests must survive
	// that: a silence that begins right before the first probe must end before
	// the third, and one that hits a request before the kernel sends it for the
	// last time.
	tcpUserTimeout = 3900 * time.Millisecond
	// unansweredLimit is the age of the last acknowledgement from which an idle
	// connection with an unanswered probe gets no request. A new connection
	// tells sooner whether the server is there.
	unansweredLimit = 1900 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe
	// and the interval between probes. Their count does not matter, because
	// tcpUserTimeout decides.
	keepAliveInterval = time.Second
)

// Dial opens a TCP connection that detects an unreachable peer. Closing it
// discards undelivered bytes. Otherwise bytes delayed by a network partition
// would arrive when the partition heals, and the peer would run a request or an
// order that was abandoned long ago.
func Dial(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "", address) }

// DialFrom returns Dial for connections from a local IP address, which may be
// empty.
func DialFrom(source string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, source, address) }
}

func dial(ctx context.Context, source, address string) (net.Conn, error) {
	probes := net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}
	d := net.Dialer{KeepAliveConfig: probes, Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		if err != nil {
			return fmt.Errorf("set user timeout: %w", err)
		}
		return sockoptErr
	}}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("set linger: %w", err)
		}
	}
	return conn, nil
}

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

// SetStallTimeout makes each read that waits for longer than timeout call
// abort with the time that it has waited, and again after every further
// timeout. The read fails only when abort
// returns true: a silent server may still respond, and a request should abandon
// it only when another server is available. The readers of net/http cannot
// continue after a failed read, so they must not see the deadline. A timeout of
// 0 disables the check.
func (c *Conn) SetStallTimeout(timeout time.Duration, abort func(waited time.Duration) bool) {
	c.stallTimeout, c.abortOnStall = timeout, abort
	if timeout > 0 {
		return
	}
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.stallDue = false
	_ = c.net.SetReadDeadline(time.Time{})
}

// CheckStall makes the read that waits, or the next one, call the abort function of SetStallTimeout at once.
// Another goroutine calls it while the connection has a stall timeout.
func (c *Conn) CheckStall() {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.stallDue = true
	_ = c.net.SetReadDeadline(time.Unix(0, 1))
}

// beginWait sets the deadline of a read, and reports whether CheckStall was called before it.
func (c *Conn) beginWait() (checkDue bool) {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	checkDue, c.stallDue = c.stallDue, false
	_ = c.net.SetReadDeadline(time.Now().Add(c.stallTimeout))
	return checkDue
}

// takeStallDue reports whether CheckStall ended a read.
func (c *Conn) takeStallDue() bool {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	due := c.stallDue
	c.stallDue = false
	return due
}

// stallReader reads from a connection and applies its stall timeout.
type stallReader struct{ *Conn }

// Read implements io.Reader.
func (r stallReader) Read(p []byte) (int, error) {
	for waited := time.Duration(0); ; {
		if r.stallTimeout > 0 && r.beginWait() && r.abortOnStall(waited) {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := r.net.Read(p)
		if n > 0 || r.stallTimeout == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !r.takeStallDue() {
			waited += r.stallTimeout
		}
		if r.abortOnStall(waited) {
			return n, err
		}
	}
}

// isReusable reports whether the connection is open, its peer acknowledges, and
// it holds no unread bytes; those would belong to no request.
func (c *Conn) isReusable() bool {
	return c.reader.Buffered() == 0 && peekSocket(c.net) == socketIdle && !unanswered(c.net)
}

// socketState is the state of a connection that the kernel reports without
// blocking.
type socketState int

const (
	socketIdle socketState = iota
	socketReadable
	socketClosed
)

// PeerClosed reports whether the kernel has received the peer's close of a
// connection.
func PeerClosed(c net.Conn) bool { return peekSocket(c) == socketClosed }

// peekSocket returns the state of a connection without consuming bytes. A
// connection without a system call interface counts as idle.
func peekSocket(c net.Conn) socketState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return socketIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketClosed
	}
	observed := socketClosed
	// Read of the raw connection would wait for a concurrent reader; Control
	// does not.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			observed = socketIdle
		case err == nil && n > 0:
			observed = socketReadable
		}
	})
	if err != nil {
		return socketClosed
	}
	return observed
}

// unanswered reports whether the peer of an idle connection has acknowledged
// nothing for unansweredLimit, although a keep-alive probe asked it to.
func unanswered(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || info == nil {
		return false
	}
	return info.Probes > 0 && time.Duration(info.Last_ack_recv)*time.Millisecond >= unansweredLimit
}

// Pool keeps idle connections by key. A key identifies one instance of one
// backend server. The zero value is ready to use.
type Pool struct {
	// DialFunc opens a connection; nil uses the function Dial.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)

	mu         sync.Mutex
	idle       map[string][]*Conn
	openCounts map[string]int
}

// Get removes and returns the most recently used idle connection of a key that
// is reusable, nil when there is none. The most recently used one is the least
// likely to have a close in transit. For a nonRepeatable request it returns no
// connection that the server may be about to close.
func (p *Pool) Get(now time.Time, key string, nonRepeatable bool) *Conn {
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		if nonRepeatable && now.Before(c.expiresAt) && !now.Before(c.safeUntil) {
			// All other connections of the key are older.
			p.pushIdle(c)
			return nil
		}
		if now.Before(c.expiresAt) && c.isReusable() {
			return c
		}
		p.Discard(c)
	}
}

// PutUnused adds a connection that was acquired or dialled and not used. A
// connection that was in the pool before keeps its expiry.
func (p *Pool) PutUnused(now time.Time, c *Conn) {
	if c.reused {
		p.pushIdle(c)
		return
	}
	p.Put(now, c, 0)
}

// HasIdle reports whether the pool holds an idle connection of a key.
func (p *Pool) HasIdle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[key]) > 0
}

func (p *Pool) pushIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

func (p *Pool) popIdle(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, key, address string) (*Conn, error) {
	dial := p.DialFunc
	if dial == nil {
		dial = Dial
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCounts == nil {
		p.openCounts = make(map[string]int)
	}
	p.openCounts[key]++
	c := &Conn{net: raw, key: key}
	c.reader = bufio.NewReaderSize(stallReader{c}, readBufferBytes)
	return c, nil
}

// OpenConnections returns how many connections of a key are open.
func (p *Pool) OpenConnections(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCounts[key]
}

// Put adds a connection without a request in progress to the pool, for at most
// idle. An idle of 0 uses DefaultIdleTimeout, and RepeatableIdleTimeout for
// repeatable requests.
func (p *Pool) Put(now time.Time, c *Conn, idle time.Duration) {
	repeatableIdle := idle
	if idle == 0 {
		idle, repeatableIdle = DefaultIdleTimeout, RepeatableIdleTimeout
	}
	c.safeUntil = now.Add(idle - min(idleTimeoutMargin, idle/4))
	c.expiresAt = now.Add(repeatableIdle - min(idleTimeoutMargin, repeatableIdle/4))
	c.reused = true
	if c.reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	p.pushIdle(c)
}

// Discard closes a connection and removes it from the count of its key.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCounts[c.key]--; p.openCounts[c.key] <= 0 {
		delete(p.openCounts, c.key)
	}
}

// CloseIdle closes the idle connections of a key whose server was removed.
func (p *Pool) CloseIdle(key string) {
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		p.Discard(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idle, key)
}

// CloseExpired closes the expired idle connections of all keys.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.removeExpired(now) {
		p.Discard(c)
	}
}

func (p *Pool) removeExpired(now time.Time) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*Conn
	for key, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[key] = remaining; len(remaining) == 0 {
			delete(p.idle, key)
		}
	}
	return expired
}
