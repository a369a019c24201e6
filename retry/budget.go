// Package retry bounds how often requests are tried again: a budget that keeps
// retries a fixed share of the requests, and a back-off with jitter. It does no
// I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const defaultReserve = 10

// Budget lets retries be at most a share of the requests, over a reserve for
// when there are few. Without it every request that meets an overloaded server
// comes back, and the overload feeds itself. The zero value allows the reserve
// only. It is safe for use by several goroutines.
type Budget struct {
	// Share is how many retries each request earns.
	Share float64
	// Reserve bounds what can be saved up; 0 takes 10.
	Reserve float64

	mu     sync.Mutex
	spent  float64
	earned float64
}

func (b *Budget) reserve() float64 {
	if b.Reserve > 0 {
		return b.Reserve
	}
	return defaultReserve
}

// Request earns the share of one request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned += b.Share
	if saved := b.earned - b.spent; saved > 0 {
		b.earned, b.spent = min(saved, b.reserve()), 0
	}
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned+b.reserve()-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Backoff bounds the wait between tries.
type Backoff struct {
	First time.Duration
	Max   time.Duration
}

// Wait returns how long to wait before try n, from 1: a random time up to an
// exponentially growing bound ("full jitter"), so that requests which failed
// together do not come back together.
func (b Backoff) Wait(rng *rand.Rand, n int) time.Duration {
	if b.First <= 0 {
		return 0
	}
	bound := b.First << min(max(n-1, 0), 16)
	if bound <= 0 || bound > b.Max {
		bound = b.Max
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound)) + 1)
}
