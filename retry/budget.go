// Package retry limits retries: by a budget that keeps them to a fixed share of the requests, and
// by an exponential backoff with jitter. It performs no I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultReserveRetries = 10
	// reserveGrowth is longer than a process that crashes again and again lives.
	reserveGrowth = 10 * time.Second
)

// Budget limits retries to a share of the requests, plus a reserve for times with few requests.
// Without it, every request refused by an overloaded server is retried, which increases the
// overload. The zero value allows only the reserve. It is safe for concurrent use.
type Budget struct {
	// RetriesPerRequest is how many retries each request earns.
	RetriesPerRequest float64
	// Reserve bounds the retries that can accumulate; 0 means 10.
	Reserve float64
	// Since is when the process started. The reserve grows to its full size in reserveGrowth from then on, because
	// an earlier process may have spent it; with the zero value it is there at once.
	Since time.Time

	mu     sync.Mutex
	spent  float64
	earned float64
}

func (b *Budget) reserve() float64 {
	if b.Reserve > 0 {
		return b.Reserve
	}
	return defaultReserveRetries
}

// RecordRequest records a request, which earns RetriesPerRequest retries.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned += b.RetriesPerRequest
	if saved := b.earned - b.spent; saved > 0 {
		b.earned, b.spent = min(saved, b.reserve()), 0
	}
}

// grown returns the share of the reserve that is there.
func (b *Budget) grown(now time.Time) float64 {
	if b.Since.IsZero() {
		return 1
	}
	return min(max(now.Sub(b.Since).Seconds()/reserveGrowth.Seconds(), 0), 1)
}

// Allow consumes one retry and reports whether one was available.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned+b.grown(now)*b.reserve()-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Wait returns the delay before an attempt, counted from 1. The delay is random up to an
// exponentially growing limit ("full jitter"), so that requests that failed together are not
// retried together.
func (b Backoff) Wait(rng *rand.Rand, attempt int) time.Duration {
	if b.Initial <= 0 {
		return 0
	}
	limit := b.Initial << min(max(attempt-1, 0), 16)
	if limit <= 0 || limit > b.Max {
		limit = b.Max
	}
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)) + 1)
}
