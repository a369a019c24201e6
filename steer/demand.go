package steer

import (
	"math"
	"time"
)

// demandHalfLife is how fast past demand fades: a shift of demand to other
// models takes some seconds, and the placement is to follow within it.
const demandHalfLife = 900 * time.Millisecond

// Demand is a moving sum of work asked for, by name. The zero value works.
type Demand struct {
	entries map[string]*demandEntry
}

type demandEntry struct {
	work float64
	at   time.Time
	last time.Time
}

// Add notes work that was asked for.
func (d *Demand) Add(now time.Time, name string, work float64) {
	if d.entries == nil {
		d.entries = make(map[string]*demandEntry)
	}
	e := d.entries[name]
	if e == nil {
		e = &demandEntry{}
		d.entries[name] = e
	}
	e.work = e.faded(now) + work
	e.at, e.last = now, now
}

func (e *demandEntry) faded(now time.Time) float64 {
	if e.work == 0 {
		return 0
	}
	return e.work * math.Exp2(-now.Sub(e.at).Seconds()/demandHalfLife.Seconds())
}

// Work returns the faded sum of what was asked for.
func (d *Demand) Work(now time.Time, name string) float64 {
	if e := d.entries[name]; e != nil {
		return e.faded(now)
	}
	return 0
}

// Last returns when it was asked for last; the zero time for never.
func (d *Demand) Last(name string) time.Time {
	if e := d.entries[name]; e != nil {
		return e.last
	}
	return time.Time{}
}
