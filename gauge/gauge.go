// Package gauge estimates how long work currently takes on each backend server, from what the servers report in their
// responses, what their responses show and what linked VMs have learned. It does no I/O and takes the current time as an
// argument.
//
// Load pattern: the steady paces of the servers of a service differ by 2.2 times, and each server is 2.5 times slower for 15%
// of the time, in spells of some 600 ms. All VMs together hear from a server some five times a second, one VM once in ten
// seconds. A VM by itself sees single readings, every seventh of which shows a spell that is over soon, and can not tell a slow
// server from one that was slow for a moment.
//
// The readings of all VMs therefore travel to the controller as counts and sums, and its estimates of the steady paces travel
// back. A VM applies its own last reading on top, with a weight that falls as fast as spells end. What a server reports is taken
// relative to its service and bounded by what its responses show, because it may report anything.
package gauge

import (
	"math"
	"sync"
	"time"
)

const (
	// minPace and maxPace bound a reading and an estimate, as specified. A server that is 2.2 times slower than others and in
	// a spell of 2.5 times is still within them, relative to the mean.
	minPace, maxPace = 0.25, 4
	// invalidPace is the pace above which a reading is invalid.
	invalidPace = 100
	// minRatio and maxRatio bound an observed ratio, so that a single response that waited for seconds does not count as
	// much as all others together.
	minRatio, maxRatio = 0.1, 10
	// estimateLife is the age from which readings, responses and the estimates of a lost hub are no longer used.
	estimateLife = 30 * time.Second
	// presentTime is the time constant with which the weight of the last own reading falls. The chance that a server is still
	// in a spell falls with 0.51 s, for spells of 0.6 s and times of 3.4 s between them.
	presentTime = 500 * time.Millisecond
	// presentLife is the age from which the last own reading has no weight. At four time constants it has 2%.
	presentLife = 4 * presentTime
)

// Reading is what one response reports about the load of its server.
type Reading struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes, 1 as usual; 0 if not reported.
	Pace float64
}

// Sample is what VMs have learned of one server since their last reports: the count and sum of the paces that it reported, and
// the count and sum of the ratios observed in its responses.
type Sample struct {
	Server    string
	Readings  int
	PaceSum   float64
	Responses int
	RatioSum  float64
}

// Estimate is the steady pace of one server, where 1 is the mean of its service. A pace of 0 withdraws an earlier estimate.
type Estimate struct {
	Server string
	Pace   float64
}

// Distrust is a server whose reported pace differs from the pace observed in its responses by more than a factor of two. Both
// are relative to the service.
type Distrust struct {
	Server             string
	Reported, Observed float64
}

// Gauge estimates the paces of servers. The zero value is ready to use. It is safe for concurrent use.
type Gauge struct {
	// Service returns the service of a server, "" if unknown. Paces are relative to the service. Optional; if nil, all
	// servers belong to one service. It must not call the Gauge.
	Service func(server string) string
	// OnDistrust is called when the reported pace of a server is first limited by the observed one, and again each time
	// that it was not limited in between. OnTold is called with the number of estimates that TakeChanges or All returns.
	// Optional.
	OnDistrust func(Distrust)
	OnTold     func(estimates int)

	mu       sync.Mutex
	servers  map[string]*serverState
	services map[string]*serviceState
	// mergedAt is when the hub last sent estimates, zero if it never did.
	mergedAt time.Time
	// distrusted holds what OnDistrust has yet to be called with.
	distrusted               []Distrust
	samplesRate, changesRate entryRate
}

// Heard records what a response of a server to this VM reports. An invalid pace is ignored.
func (g *Gauge) Heard(now time.Time, server string, r Reading) {
	if !(r.Pace > 0 && r.Pace <= invalidPace) {
		return
	}
	pace := min(max(r.Pace, minPace), maxPace)
	g.mu.Lock()
	defer g.unlock()
	s := g.server(server)
	if !s.lastReadingAt.IsZero() {
		s.own.add(now, ownTime, 1, s.lastReading)
	}
	s.lastReading, s.lastReadingAt = pace, now
	g.addSample(now, s, Sample{Server: server, Readings: 1, PaceSum: pace})
}

// Observed records the time of a response of a server to this VM divided by the time predicted at a pace of 1.
func (g *Gauge) Observed(now time.Time, server string, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	g.mu.Lock()
	defer g.unlock()
	g.addSample(now, g.server(server), Sample{Server: server, Responses: 1, RatioSum: min(max(ratio, minRatio), maxRatio)})
}

// Steady returns how long work usually takes on a server: the pace without the last reading of this VM, which tells of a spell
// that is over soon. It is 1 where Pace is.
func (g *Gauge) Steady(now time.Time, server string) float64 {
	g.mu.Lock()
	defer g.unlock()
	s := g.servers[server]
	if s == nil {
		return 1
	}
	if steady, known := g.steady(now, s, g.service(now, s)); known {
		return steady
	}
	return 1
}

// Pace returns how long work sent now takes on a server, where 1 is the mean of its service. It is 1 if nothing is known, and
// for all servers of a service none of which reports a pace.
func (g *Gauge) Pace(now time.Time, server string) float64 {
	g.mu.Lock()
	defer g.unlock()
	s := g.servers[server]
	if s == nil {
		return 1
	}
	svc := g.service(now, s)
	steady, known := g.steady(now, s, svc)
	if !known {
		return 1
	}
	age := now.Sub(s.lastReadingAt)
	if s.lastReadingAt.IsZero() || age >= presentLife || svc.usualReading <= 0 {
		return steady
	}
	// The last reading counts relative to the earlier ones of the server, at first those that fit its steady pace: a server
	// that always reports too little does not look fast for having just reported.
	usual := steady * svc.usualReading
	own := (ownPriorReadings*usual + s.own.sum) / (ownPriorReadings + s.own.weight)
	weight := math.Exp(-max(age, 0).Seconds() / presentTime.Seconds())
	return clampPace(steady * (1 + weight*(s.lastReading/own-1)))
}

// AddSamples adds what a linked VM has learned.
func (g *Gauge) AddSamples(now time.Time, samples []Sample) {
	g.mu.Lock()
	defer g.unlock()
	for _, sample := range samples {
		if sample, ok := sample.bounded(); ok {
			g.addSample(now, g.server(sample.Server), sample)
		}
	}
}

// Merge records estimates that the hub has sent. A call without estimates tells that the earlier ones still apply.
func (g *Gauge) Merge(now time.Time, estimates []Estimate) {
	g.mu.Lock()
	defer g.unlock()
	if now.Sub(g.mergedAt) >= estimateLife {
		g.forgetHub()
	}
	g.mergedAt = now
	for _, e := range estimates {
		if math.IsNaN(e.Pace) || e.Pace < 0 {
			continue
		}
		s := g.server(e.Server)
		s.hub = hubEstimate{}
		if e.Pace > 0 {
			s.hub = hubEstimate{pace: clampPace(e.Pace), at: now}
		}
	}
}

// Retain discards the servers for which used returns false. used must not call the Gauge.
func (g *Gauge) Retain(used func(server string) bool) {
	g.mu.Lock()
	defer g.unlock()
	for id, s := range g.servers {
		if !used(id) {
			delete(g.servers, id)
			g.leave(s)
		}
	}
}

// forgetHub discards the estimates of the hub. g.mu is held.
func (g *Gauge) forgetHub() {
	for _, s := range g.servers {
		s.hub = hubEstimate{}
	}
}

// unlock releases g.mu and calls OnDistrust with what has become known under it.
func (g *Gauge) unlock() {
	distrusted := g.distrusted
	g.distrusted = nil
	g.mu.Unlock()
	if g.OnDistrust == nil {
		return
	}
	for _, d := range distrusted {
		g.OnDistrust(d)
	}
}

func clampPace(pace float64) float64 { return min(max(pace, minPace), maxPace) }
