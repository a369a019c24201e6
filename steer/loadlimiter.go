package steer

import (
	"slices"
	"time"
)

// LoadLimiter bounds how many loads from the weight store begin in any window.
type LoadLimiter struct {
	// Window is the length of the window. PerSecond is the allowed rate of loads.
	Window    time.Duration
	PerSecond float64
	// Unanswered is the number of unanswered load orders. Each of them may still begin at any
	// moment.
	Unanswered int
	// Inherited is how many loads the previous controller may have begun in its last window, which
	// ended no later than PredecessorEnd.
	Inherited      int
	PredecessorEnd time.Time
	starts         []*LoadStart
}

// LoadStart is a load that counts against the limit.
type LoadStart struct {
	// startedBy is the latest time at which the load may have begun, as far as is known.
	startedBy time.Time
}

// firstWindowLoads is how many loads may begin in the first window of a term, whatever the
// previous controller may have begun: the capacity of the weight store is three loads above the
// limit.
const firstWindowLoads = 2

// BeginTerm starts a term after the previous controller, which sent its last order no later than
// predecessorEnd. Loads that this VM began in an earlier term still count.
func (l *LoadLimiter) BeginTerm(predecessorEnd time.Time) { l.PredecessorEnd = predecessorEnd }

// countedInherited returns how many loads of the previous controller still count.
func (l *LoadLimiter) countedInherited(now time.Time) int {
	if now.Sub(l.PredecessorEnd) >= l.Window {
		return 0
	}
	return max(min(l.Inherited, int(l.PerSecond*l.Window.Seconds())-firstWindowLoads), 0)
}

// Allow reports whether one more load may begin now.
func (l *LoadLimiter) Allow(now time.Time) bool {
	recent := l.starts[:0]
	for _, start := range l.starts {
		if now.Sub(start.startedBy) < l.Window {
			recent = append(recent, start)
		}
	}
	l.starts = recent
	unanswered := max(l.Unanswered-unansweredTolerance, 0)
	return float64(len(l.starts)+unanswered+l.countedInherited(now)+1) <= max(l.PerSecond*l.Window.Seconds(), 1)
}

// unansweredTolerance is how many unanswered loads fit above the allowed rate: the weight store
// has capacity for three. The loads beyond it count as if they began now, or several that are
// executed late at the same time would exceed the capacity.
const unansweredTolerance = 2

// Start counts a load that is ordered now.
func (l *LoadLimiter) Start(now time.Time) *LoadStart {
	start := &LoadStart{startedBy: now}
	l.starts = append(l.starts, start)
	return start
}

// RecordResult applies the result of a load order; start is nil for one that does not count. The
// load counts from now on, not from the decision: a slow VM sends its orders long after deciding
// on them, and later loads would begin within the window of these.
func (l *LoadLimiter) RecordResult(now time.Time, start *LoadStart, result OrderResult) {
	switch {
	case start == nil:
	case result == Refused || result == Conflict:
		l.Release(start)
	default:
		start.startedBy = now
	}
}

// Release stops counting a load that did not begin.
func (l *LoadLimiter) Release(start *LoadStart) {
	l.starts = slices.DeleteFunc(l.starts, func(other *LoadStart) bool { return other == start })
}
