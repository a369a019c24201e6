package steer

import (
	"slices"
	"time"
)

// Ceiling bounds the loads that begin at the weight store in any window.
type Ceiling struct {
	// Window is the length of the window, PerSecond the loads it allows a
	// second.
	Window    time.Duration
	PerSecond float64
	// Late is how many loads without an answer may still begin at any moment.
	Late int
	// Inherited is how many loads the VM before may have begun in its last
	// window, which ended at Ended at the latest.
	Inherited int
	Ended     time.Time
	begun     []*Begun
}

// Begun is a load that counts.
type Begun struct {
	// at is when it began at the latest, as far as is known.
	at time.Time
}

// firstLoads is how many loads may begin in the first window of a term, however
// many the VM before may have begun: what the weight store is asked to bear
// leaves three above the bound.
const firstLoads = 2

// Succeed begins a term after the VM before gave its last order at a time.
// Loads that this VM began in an earlier term go on counting.
func (c *Ceiling) Succeed(ended time.Time) { c.Ended = ended }

// inherited returns how many loads of the VM before count still.
func (c *Ceiling) inherited(now time.Time) int {
	if now.Sub(c.Ended) >= c.Window {
		return 0
	}
	return max(min(c.Inherited, int(c.PerSecond*c.Window.Seconds())-firstLoads), 0)
}

// Allow reports whether one more load may begin now.
func (c *Ceiling) Allow(now time.Time) bool {
	kept := c.begun[:0]
	for _, b := range c.begun {
		if now.Sub(b.at) < c.Window {
			kept = append(kept, b)
		}
	}
	c.begun = kept
	late := max(c.Late-lateSpared, 0)
	return float64(len(c.begun)+late+c.inherited(now)+1) <= max(c.PerSecond*c.Window.Seconds(), 1)
}

// lateSpared is how many late loads fit above the allowed rate: what the weight
// store is asked to bear leaves three. More than those are counted as if they
// began now, or several that come late together would exceed it.
const lateSpared = 2

// Begin counts a load that is ordered now.
func (c *Ceiling) Begin(now time.Time) *Begun {
	b := &Begun{at: now}
	c.begun = append(c.begun, b)
	return b
}

// Answered takes in the verdict on a load's order, nil for one that does not count. The load
// counts from here on: a slow VM sends orders long after it decided on them, and counted from
// the decision the next loads would begin within the window of these.
func (c *Ceiling) Answered(now time.Time, b *Begun, v Verdict) {
	switch {
	case b == nil:
	case v == Refused || v == Conflict:
		c.Return(b)
	default:
		b.at = now
	}
}

// Return gives back a load that was not begun.
func (c *Ceiling) Return(b *Begun) {
	c.begun = slices.DeleteFunc(c.begun, func(other *Begun) bool { return other == b })
}
