package steer

import "time"

// Ceiling bounds the loads that begin at the weight store in any window.
type Ceiling struct {
	// Window is the length of the window, PerSecond the loads it allows a
	// second.
	Window    time.Duration
	PerSecond float64
	// Late is how many loads without an answer may still begin at any moment.
	Late  int
	begun []time.Time
}

// firstLoads is how many loads may begin in the first window of a term. The VM
// before may have begun as many as are allowed right before; what servers are
// asked to bear leaves three loads above that, and a term can be short.
const firstLoads = 2

// Succeed begins a term: the loads of the VM before are not known, and all but
// a few of those allowed count as begun now.
func (c *Ceiling) Succeed(now time.Time) {
	c.begun = c.begun[:0]
	for range int(c.PerSecond*c.Window.Seconds()) - firstLoads {
		c.begun = append(c.begun, now)
	}
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
	return float64(len(c.begun)+late+1) <= max(c.PerSecond*c.Window.Seconds(), 1)
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
