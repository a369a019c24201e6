// Package gauge estimates how long work takes at each backend server, relative to the usual time. It does no I/O.
//
// This is a placeholder with the interface of the package for the links between VMs.
package gauge

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sample is what a group of VMs has learned of a server's pace.
type Sample struct {
	Server    string
	Readings  int
	PaceSum   float64
	Responses int
	RatioSum  float64
}

// Estimate is the steady pace of a server.
type Estimate struct {
	Server string
	Pace   float64
}

const maxAge = 30 * time.Second

type state struct {
	pending Sample
	pace    float64
	at      time.Time
	told    float64
}

// Gauge holds the paces of servers. The zero value is ready to use and safe for concurrent use.
type Gauge struct {
	mu      sync.Mutex
	servers map[string]*state
}

// Reading is what one response reports about the load of its server.
type Reading struct {
	Running, Waiting, Slots int
	Pace                    float64
}

func (g *Gauge) of(server string) *state {
	if g.servers == nil {
		g.servers = make(map[string]*state)
	}
	if g.servers[server] == nil {
		g.servers[server] = &state{}
	}
	return g.servers[server]
}

// Heard records what a response of a server to this VM reports.
func (g *Gauge) Heard(now time.Time, server string, r Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(server)
	s.pending.Readings++
	s.pending.PaceSum += r.Pace
	s.learn(now, r.Pace)
}

func (s *state) learn(now time.Time, pace float64) {
	if s.pace == 0 {
		s.pace = pace
	}
	s.pace += 0.2 * (pace - s.pace)
	s.at = now
}

// Pace returns the pace of a server, 1 if nothing is known.
func (g *Gauge) Pace(now time.Time, server string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[server]; s != nil && s.pace > 0 && now.Sub(s.at) < maxAge {
		return s.pace
	}
	return 1
}

// TakeSamples returns what this VM has learned since the last call.
func (g *Gauge) TakeSamples(time.Time) []Sample {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Sample
	for id, s := range g.servers {
		if s.pending.Readings > 0 {
			s.pending.Server = id
			list = append(list, s.pending)
			s.pending = Sample{}
		}
	}
	return list
}

// AddSamples adds samples of other VMs.
func (g *Gauge) AddSamples(now time.Time, list []Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range list {
		if a.Readings > 0 {
			g.of(a.Server).learn(now, a.PaceSum/float64(a.Readings))
		}
	}
}

// TakeChanges returns the estimates that have changed by a tenth or more since the last call.
func (g *Gauge) TakeChanges(now time.Time) []Estimate {
	return g.estimates(now, true)
}

// All returns all estimates.
func (g *Gauge) All(now time.Time) []Estimate {
	return g.estimates(now, false)
}

func (g *Gauge) estimates(now time.Time, changed bool) []Estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Estimate
	for id, s := range g.servers {
		if s.pace == 0 || now.Sub(s.at) >= maxAge || changed && math.Abs(s.pace-s.told) < 0.1*s.told {
			continue
		}
		if changed {
			s.told = s.pace
		}
		list = append(list, Estimate{Server: id, Pace: s.pace})
	}
	slices.SortFunc(list, func(a, b Estimate) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Merge replaces estimates by those of the hub.
func (g *Gauge) Merge(now time.Time, list []Estimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range list {
		s := g.of(e.Server)
		s.pace, s.at, s.told = e.Pace, now, e.Pace
	}
}

// Retain forgets the servers for which used returns false.
func (g *Gauge) Retain(used func(server string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.servers {
		if !used(id) {
			delete(g.servers, id)
		}
	}
}
