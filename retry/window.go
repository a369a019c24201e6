package retry

import (
	"sync"
	"time"
)

// Window bounds the retries in any span of time by a share of the requests in it
// and a fixed number. Unlike a Budget it saves nothing up from before: after a
// calm time a burst of failures gets no more than the same bound. The zero value
// allows nothing. It is safe for use by several goroutines.
type Window struct {
	mu    sync.Mutex
	share float64
	extra float64
	span  time.Duration
	slots [windowSlots]windowSlot
}

// windowSlots is into how many parts the span is cut. Retries are counted over
// one part more than the span and requests over one less, so that no span of
// that length holds more than the bound.
const windowSlots = 21

type windowSlot struct {
	number            int64
	requests, retries float64
}

// Limit sets the bound: share of each request, extra beyond, in any span.
func (w *Window) Limit(share, extra float64, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.extra, w.span = share, extra, span
}

// slot returns the part that a time lies in, emptied when it is of an older
// round. w.mu is held.
func (w *Window) slot(now time.Time) *windowSlot {
	number := w.number(now)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / max(int64(w.span)/(windowSlots-1), 1)
}

// Request notes a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).requests++
}

// Allow takes one retry and reports whether the bound leaves room for it.
func (w *Window) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.slot(now)
	requests, retries := 0.0, 1.0
	for _, s := range w.slots {
		age := current.number - s.number
		if age < windowSlots {
			retries += s.retries
		}
		if age < windowSlots-2 {
			requests += s.requests
		}
	}
	if w.span <= 0 || retries > w.share*requests+w.extra {
		return false
	}
	current.retries++
	return true
}
