package steer

import (
	"math"
	"time"
)

// Load pattern: the servers of a service differ in speed by 2.2 times, and each is slower for some
// seconds now and then. The placement has to follow the lasting differences only: a load takes up
// to six seconds, and the estimates change by some percent from step to step.
//
// The pace that placement assumes therefore changes only when the estimate has differed from it by
// a quarter for longer than that. Between such changes, plans do not depend on the estimates.

const (
	// minPaceChange is the change of a pace, as a share of the earlier one, from which it counts.
	minPaceChange = 0.25
	// paceHoldTime is how long the change has to last. A slowdown of six seconds keeps an estimate that
	// is smoothed over some seconds off by a quarter for twelve: after six seconds, servers were
	// assumed to be slow that no longer were. Replicas are not loaded for less than demandDuration.
	paceHoldTime = demandDuration
	// firstPaceHoldTime is the same for the first change of a server, whose pace was taken for the usual
	// one before it was known: the mean of some 25 readings differs by a quarter only if the server does.
	firstPaceHoldTime = 5 * time.Second
	// usualPaceBand is the difference from the usual pace up to which a server has the usual pace:
	// servers of equal speed are planned as equal, although their estimates differ by some percent.
	usualPaceBand = minPaceChange / 2
	// minPace and maxPace bound the paces. A value above maxValidPace is no measurement.
	minPace, maxPace = 0.25, 4.0
	maxValidPace     = 100.0
)

// paceChange is how an estimate differs from the assumed pace.
type paceChange int

const (
	paceUnchanged paceChange = iota
	paceLonger
	paceShorter
	paceLost
)

// assumedPace is the pace of a server that placement assumes. The zero value is an unknown pace.
type assumedPace struct {
	// estimate is the adopted estimate, 0 if it is unknown.
	estimate float64
	// changed is set once a change was adopted.
	changed bool
	// change is how the estimates since changedSince differ from the adopted one, and lasting is
	// the one of them that differs least.
	change       paceChange
	changedSince time.Time
	lasting      float64
}

// validPace returns a pace within its bounds, 0 if the value is not a pace.
func validPace(pace float64) float64 {
	if math.IsNaN(pace) || pace <= 0 || pace > maxValidPace {
		return 0
	}
	return min(max(pace, minPace), maxPace)
}

// update records an estimate. A first one is adopted at once, as nothing is known of the server.
func (p *assumedPace) update(now time.Time, pace float64) {
	pace = validPace(pace)
	if p.estimate == 0 {
		p.estimate = pace
		return
	}
	change := p.changeTo(pace)
	if change != p.change {
		p.change, p.changedSince, p.lasting = change, now, pace
	}
	switch change {
	case paceUnchanged:
		return
	case paceLonger:
		p.lasting = min(p.lasting, pace)
	case paceShorter:
		p.lasting = max(p.lasting, pace)
	}
	if now.Sub(p.changedSince) >= p.holdTime() {
		p.estimate, p.change, p.changed = p.lasting, paceUnchanged, true
	}
}

// holdTime returns how long the next change has to last.
func (p *assumedPace) holdTime() time.Duration {
	if p.changed {
		return paceHoldTime
	}
	return firstPaceHoldTime
}

// changeTo returns how a valid pace, or 0, differs from the adopted one.
func (p *assumedPace) changeTo(pace float64) paceChange {
	switch {
	case pace == 0:
		return paceLost
	case pace >= (1+minPaceChange)*p.estimate:
		return paceLonger
	case pace <= (1-minPaceChange)*p.estimate:
		return paceShorter
	}
	return paceUnchanged
}

// value returns the assumed pace, 0 if it is unknown.
func (p *assumedPace) value() float64 {
	if math.Abs(p.estimate-1) <= usualPaceBand {
		return 1
	}
	return p.estimate
}

// updatePaces updates the assumed paces of a service's servers. c.mu is held.
func (c *Controller) updatePaces(now time.Time, service string) {
	if c.Pace == nil {
		return
	}
	for _, s := range c.serversOf(service) {
		before := s.pace.value()
		s.pace.update(now, c.Pace(now, s.entry.ID))
		after := s.pace.value()
		if after == before || before == 0 && after == 1 {
			continue
		}
		c.Meter.AddCounter("steer.pace_changes", 1)
		c.Log.Info().Str("server", s.entry.ID).Float64("pace", after).Float64("before", before).Msg("placement assumes another pace")
	}
}

// capacities returns the capacity of each candidate: 1/pace divided by the mean of 1/pace over the
// servers of the service, so that the work of the service is compared with the same number of
// servers whatever their paces. A server of unknown pace has the mean capacity.
func (p *Planner) capacities() []float64 {
	capacity := make([]float64, len(p.candidates))
	mean := p.meanSpeed()
	for i, s := range p.candidates {
		capacity[i] = 1
		if pace := s.pace.value(); pace != 0 && mean != 0 {
			capacity[i] = 1 / pace / mean
		}
	}
	return capacity
}

// meanSpeed returns the mean of 1/pace over the servers whose pace is known. It returns 0 if all of
// these paces are equal: rounding must not make a difference between servers.
func (p *Planner) meanSpeed() float64 {
	sum, n, first, differ := 0.0, 0, 0.0, false
	for _, s := range p.Servers {
		pace := s.pace.value()
		if pace == 0 {
			continue
		}
		if n++; n == 1 {
			first = pace
		}
		differ = differ || pace != first
		sum += 1 / pace
	}
	if !differ {
		return 0
	}
	return sum / float64(n)
}
