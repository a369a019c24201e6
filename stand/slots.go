package stand

import (
	"container/heap"
	"context"
	"sync"
)

// slotPool limits how many streams an engine runs at once. Queued streams get
// slots by priority, then in order of arrival.
type slotPool struct {
	mu       sync.Mutex
	free     int
	arrivals int
	queue    waitQueue
}

type waiter struct {
	priority, arrival int
	granted           chan struct{}
	index             int
}

func (s *slotPool) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancel(w)
		return ctx.Err()
	}
}

// cancel removes w from the queue, or releases the slot that it was just granted.
func (s *slotPool) cancel(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slotPool) releaseLocked() {
	if len(s.queue) == 0 {
		s.free++
		return
	}
	w := heap.Pop(&s.queue).(*waiter)
	close(w.granted)
}

func (s *slotPool) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// waitQueue implements heap.Interface.
type waitQueue []*waiter

func (h waitQueue) Len() int { return len(h) }

func (h waitQueue) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitQueue) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitQueue) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
