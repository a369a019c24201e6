package places

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the requests that wait for a place, in their order.
type queue struct{ waiters []waiter }

// waiter is a request that waits for a place. It loses its position if its VM has not asked again until expires.
type waiter struct {
	key               uint64
	priority          int
	deadline, expires time.Time
}

func newWaiter(now time.Time, r Request) waiter {
	return waiter{key: r.Key, priority: r.Priority, deadline: now.Add(r.Remaining)}
}

func compareWaiters(a, b waiter) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.deadline.Compare(b.deadline), cmp.Compare(a.key, b.key))
}

// ahead returns the number of requests before a request that is not in the queue.
func (q *queue) ahead(now time.Time, r Request) int {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return !now.Before(w.expires) })
	position, _ := slices.BinarySearchFunc(q.waiters, newWaiter(now, r), compareWaiters)
	return position
}

// add adds a request that asks again after wait.
func (q *queue) add(now time.Time, r Request, wait time.Duration) {
	w := newWaiter(now, r)
	w.expires = now.Add(wait + waiterGrace)
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, position, w)
}

// remove removes a request.
func (q *queue) remove(key uint64) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.key == key })
}
