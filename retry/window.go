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
// extraRetries.
func (w *SlidingWindow) SetLimit(retriesPerRequest, extraRetries float64, window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retriesPerRequest, w.extraRetries, w.window = retriesPerRequest, extraRetries, window
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
	current := w.slot(now)
	requests, retries := 0.0, 1.0
	for _, s := range w.slots {
		age := current.index - s.index
		if age < windowSlotCount {
			retries += s.retries
		}
		if age < windowSlotCount-2 {
			requests += s.requests
		}
	}
	if w.window <= 0 || retries > w.retriesPerRequest*requests+w.extraRetries {
		return false
	}
	current.retries++
	return true
}
