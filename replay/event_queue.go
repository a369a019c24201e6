package replay

import (
	"container/heap"
	"time"
)

// eventQueue holds the scheduled events, in the order of their times and then of scheduling.
type eventQueue struct {
	now          time.Duration
	lastSequence int
	events       events
}

type event struct {
	at       time.Duration
	sequence int
	callback func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scheduleAt schedules a call at t, or now if t has passed.
func (q *eventQueue) scheduleAt(t time.Duration, callback func()) {
	q.lastSequence++
	heap.Push(&q.events, event{max(t, q.now), q.lastSequence, callback})
}

// scheduleAfter schedules a call after a delay.
func (q *eventQueue) scheduleAfter(d time.Duration, callback func()) { q.scheduleAt(q.now+d, callback) }

// schedulePeriodic schedules a call at first and then at each interval until the given time.
func (q *eventQueue) schedulePeriodic(first, interval, until time.Duration, callback func()) {
	if first > until {
		return
	}
	q.scheduleAt(first, func() {
		callback()
		q.schedulePeriodic(q.now+interval, interval, until, callback)
	})
}

// run processes the events until the queue is empty.
func (q *eventQueue) run() {
	for len(q.events) > 0 {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.callback()
	}
}

// epoch is the time at which the traffic of a replay starts.
var epoch = time.Unix(1_000_000, 0)

func (q *eventQueue) currentTime() time.Time { return epoch.Add(q.now) }
