package gauge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxEstimates is the maximum number of estimates that TakeChanges returns, as specified.
	MaxEstimates = 256
	// minChange is the relative change from which an estimate is sent again, as specified.
	minChange = 0.1
	// samplesPerSecond and changesPerSecond bound what a VM sends in the long run, whatever the number of servers: a sample
	// takes some 85 bytes, an estimate 40, together 1.2 KB of the 4 KB a second for all control traffic. What has to
	// wait is added up, and discarded at the age of estimateLife. maxSamples bounds the samples of one call.
	samplesPerSecond = 8
	changesPerSecond = 12
	maxSamples       = 64
	// repeatInterval is the time after which an estimate is sent again without a change, as far as the bound allows: a VM
	// whose hub has changed may have one that no other hub sends. aliveInterval is the time after which one is sent in any
	// case, so that VMs know that the others still apply.
	repeatInterval = time.Minute
	aliveInterval  = 5 * time.Second
)

// entryRate bounds a number of entries for each second. The zero value is full.
type entryRate struct {
	spent float64
	at    time.Time
}

// available returns how many entries may be sent.
func (r *entryRate) available(now time.Time, perSecond, burst float64) int {
	if elapsed := now.Sub(r.at).Seconds(); elapsed > 0 {
		r.spent = max(r.spent-elapsed*perSecond, 0)
		r.at = now
	}
	return max(int(burst-r.spent), 0)
}

func (r *entryRate) spend(entries int) { r.spent += float64(entries) }

func (s *Sample) add(other Sample) {
	s.Readings += other.Readings
	s.PaceSum += other.PaceSum
	s.Responses += other.Responses
	s.RatioSum += other.RatioSum
}

// bounded returns the sample with its means within the bounds of single values, and reports whether it has any valid part.
func (s Sample) bounded() (Sample, bool) {
	bound := func(count int, sum, least, most float64) (int, float64) {
		if count <= 0 || !(sum > 0) {
			return 0, 0
		}
		return count, min(max(sum, least*float64(count)), most*float64(count))
	}
	s.Readings, s.PaceSum = bound(s.Readings, s.PaceSum, minPace, maxPace)
	s.Responses, s.RatioSum = bound(s.Responses, s.RatioSum, minRatio, maxRatio)
	return s, s.Readings > 0 || s.Responses > 0
}

// addSample adds a sample to the means of a server and to what the hub is told. What was not taken in estimateLife is
// discarded: the VM has no hub, or is the controller. g.mu is held.
func (g *Gauge) addSample(now time.Time, s *serverState, sample Sample) {
	if sample.Readings > 0 {
		s.reported.add(now, reportedTime, float64(sample.Readings), sample.PaceSum)
	}
	if sample.Responses > 0 {
		s.observed.add(now, observedTime, float64(sample.Responses), sample.RatioSum)
	}
	if s.pending == (Sample{}) || now.Sub(s.pendingSince) >= estimateLife {
		s.pending, s.pendingSince = Sample{Server: s.id}, now
	}
	s.pending.add(sample)
}

// TakeSamples returns what was learned since the last call, for the hub. Responses of a service none of whose servers reports a
// pace are left out. What is beyond the bound on the traffic is left for the
// next call, the oldest goes first.
func (g *Gauge) TakeSamples(now time.Time) []Sample {
	g.mu.Lock()
	defer g.unlock()
	var waiting []*serverState
	for _, s := range g.servers {
		if s.pending != (Sample{}) && now.Sub(s.pendingSince) < estimateLife && (s.pending.Readings > 0 || g.service(now, s).reports) {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b *serverState) int {
		return cmp.Or(a.pendingSince.Compare(b.pendingSince), cmp.Compare(a.id, b.id))
	})
	waiting = waiting[:min(len(waiting), g.samplesRate.available(now, samplesPerSecond, maxSamples))]
	g.samplesRate.spend(len(waiting))
	taken := make([]Sample, len(waiting))
	for i, s := range waiting {
		taken[i], s.pending = s.pending, Sample{}
	}
	return taken
}

// TakeChanges returns the estimates that have changed by a tenth or more since they were last returned, the largest changes
// first, for linked VMs. What is beyond the bound on the traffic is left for the next call.
func (g *Gauge) TakeChanges(now time.Time) []Estimate {
	g.mu.Lock()
	type change struct {
		server *serverState
		pace   float64
		size   float64
	}
	var changes []change
	var unchanged []*serverState
	alive := false
	for _, s := range g.servers {
		pace := g.estimate(now, s)
		size := changeSize(s.told, pace)
		alive = alive || s.told > 0 && now.Sub(s.toldAt) < aliveInterval
		switch {
		case size >= minChange:
			changes = append(changes, change{s, pace, size})
		case s.told > 0 && now.Sub(s.toldAt) >= repeatInterval:
			changes = append(changes, change{s, pace, 0})
		case s.told > 0:
			unchanged = append(unchanged, s)
		}
	}
	if !alive && len(changes) == 0 && len(unchanged) > 0 {
		oldest := slices.MinFunc(unchanged, func(a, b *serverState) int {
			return cmp.Or(a.toldAt.Compare(b.toldAt), cmp.Compare(a.id, b.id))
		})
		changes = append(changes, change{oldest, g.estimate(now, oldest), 0})
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.size, a.size), a.server.toldAt.Compare(b.server.toldAt), cmp.Compare(a.server.id, b.server.id))
	})
	due := len(changes)
	due = min(due, g.changesRate.available(now, changesPerSecond, MaxEstimates))
	g.changesRate.spend(due)
	estimates := make([]Estimate, due)
	for i, c := range changes[:due] {
		c.server.told, c.server.toldAt = c.pace, now
		estimates[i] = Estimate{Server: c.server.id, Pace: c.pace}
	}
	g.unlock()
	g.reportTold(len(estimates))
	return estimates
}

// changeSize returns the relative change of an estimate, the same in both directions. One that was not sent before changes from
// the mean of the service, which VMs assume.
func changeSize(told, pace float64) float64 {
	switch {
	case told == 0 && pace == 0:
		return 0
	case told == 0:
		told = 1
	case pace == 0:
		return minChange
	}
	return max(pace/told, told/pace) - 1
}

// estimate returns the steady pace of a server for linked VMs, 0 if nothing is known. g.mu is held.
func (g *Gauge) estimate(now time.Time, s *serverState) float64 {
	pace, known := g.steady(now, s, g.service(now, s))
	if !known {
		return 0
	}
	return pace
}

// All returns all estimates, for a new link.
func (g *Gauge) All(now time.Time) []Estimate {
	g.mu.Lock()
	var all []Estimate
	for _, s := range g.servers {
		if pace := g.estimate(now, s); pace > 0 {
			all = append(all, Estimate{Server: s.id, Pace: pace})
		}
	}
	g.unlock()
	slices.SortFunc(all, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(b.Pace)), math.Abs(math.Log(a.Pace))), cmp.Compare(a.Server, b.Server))
	})
	g.reportTold(len(all))
	return all
}

func (g *Gauge) reportTold(estimates int) {
	if g.OnTold != nil && estimates > 0 {
		g.OnTold(estimates)
	}
}
