// Package conns keeps connections to backend servers and speaks HTTP/1.1 over
// them one request at a time.
//
// It does by hand what net/http's transport hides: it never sends a request
// twice, it tells whether any byte of one was written, and it can be asked
// whether a kept connection is still sound before something that may run only
// once is sent over it.
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
	// readBuffer holds the head of an answer and some events of a stream.
	readBuffer = 4 << 10
	// DefaultIdle is how long an unused connection is kept when the server
	// names no time: servers commonly close them after five seconds or more.
	DefaultIdle = 4 * time.Second
	// LongIdle is how long one is kept for requests that may be repeated, when
	// the server names no time: the kernel tells of a close before the send, and
	// what crosses a close is sent again.
	LongIdle = 12 * time.Second
	// idleMargin is taken off the time that a server names, for the way of its
	// close and of a request that crosses it.
	idleMargin = 500 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged before the kernel
	// gives the connection up: some retransmissions over paths of milliseconds.
	// Without it a request to a server that lost power or is cut off hangs for
	// minutes.
	silence = 1200 * time.Millisecond
	// probeEvery is when and how often the kernel probes a connection that
	// waits for the other side; unanswered probes end it after silence.
	probeEvery = time.Second
)

// Dial opens a TCP connection that notices a dead peer. Closing it drops what
// has not been delivered: bytes held up in a cut would reach the other side
// when it heals, and a request or an order that was given up long ago would
// run then.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	probes := net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: 2}
	d := net.Dialer{KeepAliveConfig: probes, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err != nil {
			return fmt.Errorf("set user timeout: %w", err)
		}
		return failed
	}}
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
	// kept says that it has carried an answer before.
	kept bool
	// until is when it is too old to be used again, careful when it is too old
	// for a request that must not be lost.
	until, careful time.Time
	// silence is how long a read waits before giveUp is asked, 0 for as long as
	// the connection lasts.
	silence time.Duration
	giveUp  func() bool
}

// Kept reports whether the connection has been used before.
func (c *Conn) Kept() bool { return c.kept }

// Close ends the connection. It may be called more than once and while another
// goroutine reads or writes.
func (c *Conn) Close() { _ = c.net.Close() }

// Watch makes each read that waits for longer than d ask giveUp, and again after
// every further d. The read fails only when giveUp says so: a silent server may
// well go on, and whoever decides to leave it must know where to go instead. The
// readers of net/http can not go on behind a read that failed, so the wait must not
// end by a deadline that they see. 0 ends the watch.
func (c *Conn) Watch(d time.Duration, giveUp func() bool) {
	c.silence, c.giveUp = d, giveUp
	if d == 0 {
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// watched reads from the connection under its watch.
type watched struct{ *Conn }

// Read implements io.Reader.
func (w watched) Read(p []byte) (int, error) {
	for {
		if w.silence > 0 {
			_ = w.net.SetReadDeadline(time.Now().Add(w.silence))
		}
		n, err := w.net.Read(p)
		if n > 0 || w.silence == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.giveUp() {
			return n, err
		}
	}
}

// sound reports whether the connection is open and holds no bytes that belong
// to no request.
func (c *Conn) sound() bool { return c.reader.Buffered() == 0 && peek(c.net) == quiet }

// state is what the kernel knows of a connection without waiting.
type state int

const (
	quiet state = iota
	pending
	closed
)

// Closed reports whether the other side has closed a connection, as far as this
// VM has heard.
func Closed(c net.Conn) bool { return peek(c) == closed }

// peek looks at a connection without taking bytes from it. One that can not be
// looked at counts as quiet.
func peek(c net.Conn) state {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	found := closed
	// Control and not Read, which waits for a reader that is at work.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			found = quiet
		case err == nil && n > 0:
			found = pending
		}
	})
	if err != nil {
		return closed
	}
	return found
}

// Pool keeps idle connections by key, which names one start of one server. The
// zero value works.
type Pool struct {
	// Open makes a connection; nil takes Dial.
	Open func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// Take returns the freshest sound idle connection of a key, nil when there is
// none. The freshest is the least likely to have been closed on the way. With
// care one that the server may be about to close is left alone.
func (p *Pool) Take(now time.Time, key string, care bool) *Conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if care && now.Before(c.until) && !now.Before(c.careful) {
			// It is the freshest, so no other will do.
			p.push(c)
			return nil
		}
		if now.Before(c.until) && c.sound() {
			return c
		}
		p.Discard(c)
	}
}

// Return takes back a connection that was taken or dialled and not used. One
// that was kept before stays as old as it was.
func (p *Pool) Return(now time.Time, c *Conn) {
	if c.kept {
		p.push(c)
		return
	}
	p.Keep(now, c, 0)
}

// Idle reports whether a connection of a key is kept.
func (p *Pool) Idle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[key]) > 0
}

func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

func (p *Pool) pop(key string) *Conn {
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
	open := p.Open
	if open == nil {
		open = Dial
	}
	raw, err := open(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = make(map[string]int)
	}
	p.open[key]++
	c := &Conn{net: raw, key: key}
	c.reader = bufio.NewReaderSize(watched{c}, readBuffer)
	return c, nil
}

// Connections returns how many connections of a key are open.
func (p *Pool) Connections(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[key]
}

// Keep takes back a connection that has carried a whole answer, for idle at
// most; 0 takes DefaultIdle, and LongIdle for requests that may be repeated.
func (p *Pool) Keep(now time.Time, c *Conn, idle time.Duration) {
	long := idle
	if idle == 0 {
		idle, long = DefaultIdle, LongIdle
	}
	c.careful = now.Add(idle - min(idleMargin, idle/4))
	c.until = now.Add(long - min(idleMargin, long/4))
	c.kept = true
	if c.reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	p.push(c)
}

// Discard closes a connection and forgets it.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.key]--; p.open[c.key] <= 0 {
		delete(p.open, c.key)
	}
}

// Forget closes the idle connections of a key whose server is gone.
func (p *Pool) Forget(key string) {
	for c := p.pop(key); c != nil; c = p.pop(key) {
		p.Discard(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idle, key)
}

// Sweep closes idle connections that are too old, at most as many as there
// are.
func (p *Pool) Sweep(now time.Time) {
	for _, c := range p.old(now) {
		p.Discard(c)
	}
}

func (p *Pool) old(now time.Time) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*Conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	return old
}
