package retry

import (
	"sync"
	"time"
)

// SlidingWindow limits the retries in any time window to a share of the requests in it and a fixed
// number. Unlike a Budget, it accumulates no unused retries: a burst of failures after a quiet
// period is subject to the same limit. The zero value allows no retries. It is safe for concurrent
// use.
type SlidingWindow struct {
	mu                sync.Mutex
	retriesPerRequest float64
	extraRetries      float64
	window            time.Duration
	slots             [windowSlotCount]windowSlot
}

// windowSlotCount is the number of slots, one more than the window spans. Retries are counted over
// all slots and requests over one slot less than the window, so that no window exceeds the limit.
const windowSlotCount = 21

type windowSlot struct {
	index             int64
	requests, retries float64
}

// SetLimit sets the limit for any window: retriesPerRequest for each request in it, plus
// extraRetries. If the length of the window changes, the retries of the last window count as sent now, and
// its requests no longer count, because the slots do not tell when within them.
func (w *SlidingWindow) SetLimit(now time.Time, retriesPerRequest, extraRetries float64, window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retriesPerRequest, w.extraRetries = retriesPerRequest, extraRetries
	if window == w.window {
		return
	}
	_, retries := w.sums(now)
	w.window, w.slots = window, [windowSlotCount]windowSlot{}
	w.slot(now).retries = retries
}

// slot returns the slot of a time, and clears it if it holds older counts. w.mu is held.
func (w *SlidingWindow) slot(now time.Time) *windowSlot {
	index := w.slotIndex(now)
	s := &w.slots[index%windowSlotCount]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return s
}

func (w *SlidingWindow) slotIndex(now time.Time) int64 {
	return now.UnixNano() / max(int64(w.window)/(windowSlotCount-1), 1)
}

// RecordRequest records a request.
func (w *SlidingWindow) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).requests++
}

// Allow consumes one retry and reports whether the limit permits it.
func (w *SlidingWindow) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, retries := w.sums(now)
	if w.window <= 0 || retries+1 > w.limit(requests) {
		return false
	}
	w.slot(now).retries++
	return true
}

// Move counts a retry that was allowed earlier as sent now: what was reserved may be sent seconds later.
func (w *SlidingWindow) Move(allowed, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(allowed)
	w.slot(now).retries++
}

// Return gives back a retry that was allowed earlier and not sent.
func (w *SlidingWindow) Return(allowed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(allowed)
}

// forget takes a retry out of the slot in which it was allowed. w.mu is held.
func (w *SlidingWindow) forget(allowed time.Time) {
	index := w.slotIndex(allowed)
	if s := &w.slots[index%windowSlotCount]; s.index == index && s.retries > 0 {
		s.retries--
	}
}

// Usage is what a SlidingWindow holds for the window that ends now.
type Usage struct {
	// Requests and Retries are the counts in the window, Limit the number of retries allowed in it.
	Requests, Retries int
	Limit             float64
}

// Usage returns the counts and the limit of the window that ends now.
func (w *SlidingWindow) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, retries := w.sums(now)
	return Usage{Requests: int(requests), Retries: int(retries), Limit: w.limit(requests)}
}

// sums returns the requests and retries that count for the window that ends now. w.mu is held.
func (w *SlidingWindow) sums(now time.Time) (requests, retries float64) {
	current := w.slotIndex(now)
	for _, s := range w.slots {
		age := current - s.index
		if age < windowSlotCount {
			retries += s.retries
		}
		if age < windowSlotCount-2 {
			requests += s.requests
		}
	}
	return requests, retries
}

// limit returns the number of retries allowed for a number of requests. w.mu is held.
func (w *SlidingWindow) limit(requests float64) float64 {
	return w.retriesPerRequest*requests + w.extraRetries
}
