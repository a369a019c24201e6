package steer

import "time"

// Ceiling bounds the loads that begin at the weight store in any window.
type Ceiling struct {
	// Window is the length of the window, PerSecond the loads it allows a
	// second.
	Window    time.Duration
	PerSecond float64
	begun     []time.Time
	blocked   time.Time
}

// Fill takes the whole bound as used now.
func (c *Ceiling) Fill(now time.Time) { c.blocked = now.Add(c.Window) }

// Allow reports whether one more load may begin now.
func (c *Ceiling) Allow(now time.Time) bool {
	if now.Before(c.blocked) {
		return false
	}
	kept := c.begun[:0]
	for _, t := range c.begun {
		if now.Sub(t) < c.Window {
			kept = append(kept, t)
		}
	}
	c.begun = kept
	return float64(len(c.begun)+1) <= max(c.PerSecond*c.Window.Seconds(), 1)
}

// Begin notes a load that was ordered, also one whose order got no answer.
func (c *Ceiling) Begin(now time.Time) { c.begun = append(c.begun, now) }
