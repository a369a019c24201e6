// Package gauge estimates how long work currently takes on each backend server, from what the servers report in their
// responses, what their responses show and what linked VMs have learned. It does no I/O and takes the current time as an
// argument.
//
// Load pattern: the servers of a service differ in speed by 2.2 times, and each is 2.5 times slower for 15% of the time, in
// spells of some 600 ms. All VMs together hear from a server some five times a second, one VM once in ten seconds. A VM by
// itself therefore sees single readings, of which each sixth shows a spell, and sends a slow server as much as a fast one.
//
// The readings of all VMs travel to the controller as counts and sums, and its estimates travel back. The last reading of the
// VM itself adds the spell that may still last. What servers report is relative to the other servers of the service and bounded
// by their responses, because a server may report anything.
package gauge

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// minPace and maxPace bound a reading. They leave room for servers that differ by 2.2 times within a spell of 2.5 times.
	minPace, maxPace = 0.25, 4
	// estimateLife is the age at which an estimate or sample is discarded: that of the page.
	estimateLife = 30 * time.Second
	// MaxEstimates is the number of estimates in a frame at most.
	MaxEstimates = 256
	// minChange is the relative change from which an estimate is sent again.
	minChange = 0.1
)

// Reading is what one response reports about the load of its server.
type Reading struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes, 1 as usual; 0 if not reported.
	Pace float64
}

// Sample is what VMs have learned of one server since the last report: the count and sum of the paces that it reported, and the
// count and sum of the ratios observed in its responses.
type Sample struct {
	Server    string
	Readings  int
	PaceSum   float64
	Responses int
	RatioSum  float64
}

func (s *Sample) add(other Sample) {
	s.Readings += other.Readings
	s.PaceSum += other.PaceSum
	s.Responses += other.Responses
	s.RatioSum += other.RatioSum
}

// Estimate is the steady pace of one server relative to the mean of its service. A pace of 0 withdraws an earlier estimate.
type Estimate struct {
	Server string
	Pace   float64
}

// Gauge estimates the paces of servers. The zero value is ready to use. It is safe for concurrent use.
type Gauge struct {
	// Service returns the service of a server, "" if unknown. Optional; if nil, all servers belong to one service.
	Service func(server string) string

	mu      sync.Mutex
	servers map[string]*serverState
}

type serverState struct {
	pending  Sample
	reported mean
	sent     float64
}

// mean is a moving mean.
type mean struct {
	weight, sum float64
}

// Heard records what a response of a server to this VM reports.
func (g *Gauge) Heard(now time.Time, server string, r Reading) {
	if r.Pace <= 0 || math.IsNaN(r.Pace) || math.IsInf(r.Pace, 0) {
		return
	}
	pace := min(max(r.Pace, minPace), maxPace)
	g.AddSamples(now, []Sample{{Server: server, Readings: 1, PaceSum: pace}})
}

// Observed records the time of a response divided by the time predicted at a pace of 1.
func (g *Gauge) Observed(now time.Time, server string, ratio float64) {
	if ratio <= 0 || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return
	}
	g.AddSamples(now, []Sample{{Server: server, Responses: 1, RatioSum: ratio}})
}

// Pace returns how long work takes on a server relative to the mean of its service, 1 if nothing is known.
func (g *Gauge) Pace(_ time.Time, server string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[server]; s != nil && s.reported.weight > 0 {
		return s.reported.sum / s.reported.weight
	}
	return 1
}

// TakeSamples returns what was learned since the last call, for the hub.
func (g *Gauge) TakeSamples(_ time.Time) []Sample {
	g.mu.Lock()
	defer g.mu.Unlock()
	var taken []Sample
	for id, s := range g.servers {
		if s.pending != (Sample{}) {
			s.pending.Server = id
			taken = append(taken, s.pending)
			s.pending = Sample{}
		}
	}
	slices.SortFunc(taken, func(a, b Sample) int { return cmp.Compare(a.Server, b.Server) })
	return taken
}

// AddSamples adds what a linked VM has learned.
func (g *Gauge) AddSamples(_ time.Time, samples []Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, sample := range samples {
		s := g.server(sample.Server)
		s.pending.add(sample)
		s.reported.weight += float64(sample.Readings)
		s.reported.sum += sample.PaceSum
	}
}

// TakeChanges returns the estimates that have changed by a tenth or more since they were last returned, the largest changes
// first, for linked VMs.
func (g *Gauge) TakeChanges(now time.Time) []Estimate {
	all := g.All(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var changes []Estimate
	for _, e := range all {
		if s := g.server(e.Server); math.Abs(e.Pace-s.sent) >= minChange*s.sent {
			s.sent = e.Pace
			changes = append(changes, e)
		}
	}
	return changes[:min(len(changes), MaxEstimates)]
}

// All returns all estimates, for a new link.
func (g *Gauge) All(now time.Time) []Estimate {
	g.mu.Lock()
	ids := make([]string, 0, len(g.servers))
	for id := range g.servers {
		ids = append(ids, id)
	}
	g.mu.Unlock()
	slices.Sort(ids)
	all := make([]Estimate, len(ids))
	for i, id := range ids {
		all[i] = Estimate{Server: id, Pace: g.Pace(now, id)}
	}
	return all
}

// Merge records estimates that the hub has sent.
func (g *Gauge) Merge(_ time.Time, estimates []Estimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range estimates {
		g.server(e.Server).reported = mean{weight: 1, sum: e.Pace}
	}
}

// Retain discards the servers for which used returns false.
func (g *Gauge) Retain(used func(server string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.servers {
		if !used(id) {
			delete(g.servers, id)
		}
	}
}

// server returns the state of a server. g.mu is held.
func (g *Gauge) server(id string) *serverState {
	s := g.servers[id]
	if s == nil {
		if g.servers == nil {
			g.servers = make(map[string]*serverState)
		}
		s = &serverState{}
		g.servers[id] = s
	}
	return s
}
