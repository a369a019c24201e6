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
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
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
)

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
	return p.get(now, key, nonRepeatable, func(*Conn) bool { return true })
}

// GetFor is Get for a request that names an attempt, "" for none: it returns no connection on which a response to the
// attempt may be one to an earlier request.
func (p *Pool) GetFor(now time.Time, key, attempt string, nonRepeatable bool) *Conn {
	return p.get(now, key, nonRepeatable, func(c *Conn) bool { return !c.Ambiguous(now, attempt) })
}

func (p *Pool) get(now time.Time, key string, nonRepeatable bool, suits func(*Conn) bool) *Conn {
	for {
		c := p.popIdle(key, func(c *Conn) bool {
			unsafe := nonRepeatable && now.Before(c.expiresAt) && !now.Before(c.safeUntil)
			return !unsafe && suits(c)
		})
		if c == nil {
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

// popIdle removes and returns the most recently used idle connection of a key that suits, nil for none.
func (p *Pool) popIdle(key string, suits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if suits(c) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
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

// DialWithin opens a new connection within timeout. A dial during which this process stood still fails although the
// server has accepted the connection, so that it is made once more.
func (p *Pool) DialWithin(ctx context.Context, timeout time.Duration, key, address string) (*Conn, error) {
	began := time.Now()
	c, err := p.dialOnce(ctx, timeout, key, address)
	ended := time.Now()
	if err == nil || ctx.Err() != nil || pause.Standstill(timeout, ended.Sub(began)) == 0 {
		return c, err
	}
	return p.dialOnce(ctx, timeout, key, address)
}

func (p *Pool) dialOnce(ctx context.Context, timeout time.Duration, key, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.Dial(ctx, key, address)
}

// OpenConnections returns how many connections of a key are open.
func (p *Pool) OpenConnections(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCounts[key]
}

// Put adds a connection without a request in progress to the pool, for at most
// idle. An idle of 0 uses DefaultIdleTimeout, and RepeatableIdleTimeout for
// repeatable requests. A connection that can remember no more attempts is closed.
func (p *Pool) Put(now time.Time, c *Conn, idle time.Duration) {
	repeatableIdle := idle
	if idle == 0 {
		idle, repeatableIdle = DefaultIdleTimeout, RepeatableIdleTimeout
	}
	c.safeUntil = now.Add(idle - min(idleTimeoutMargin, idle/4))
	c.expiresAt = now.Add(repeatableIdle - min(idleTimeoutMargin, repeatableIdle/4))
	c.reused = true
	if c.reader.Buffered() > 0 || c.carried.full {
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
	all := func(*Conn) bool { return true }
	for c := p.popIdle(key, all); c != nil; c = p.popIdle(key, all) {
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
