package steer

import "time"

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
	begun     []time.Time
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
	for _, t := range c.begun {
		if now.Sub(t) < c.Window {
			kept = append(kept, t)
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

// Begin notes a load that was ordered, also one whose order got no answer.
func (c *Ceiling) Begin(now time.Time) { c.begun = append(c.begun, now) }

// Return gives back the load noted last, which the server refused.
func (c *Ceiling) Return() {
	if len(c.begun) > 0 {
		c.begun = c.begun[:len(c.begun)-1]
	}
}
