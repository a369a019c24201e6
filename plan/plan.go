// Package plan computes the placement of models on the backend servers. The plan is a
// pure function of the deployed models, their demand, the current placement and the
// cost of a move.
package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
)

// Model is one deployed model with its adapters, which are loaded with it.
type Model struct {
	Name string
	Pool string
	// Bytes is the size of the model and all its adapters.
	Bytes     int
	Artifacts []ctrl.Artifact
	// Priority is the highest of the profiles that deploy it.
	Priority int
	// Demand is the estimated offered load, in concurrent requests.
	Demand float64
	// AttainmentWeight is the weight of attainment against moves, 0 to 1.
	AttainmentWeight float64
}

// Server is one backend server.
type Server struct {
	Name   string
	Domain string
	Pool   string
	// MemoryBytes is the capacity for models and adapters, in bytes.
	MemoryBytes int
	// Slots is the number of requests that it serves concurrently.
	Slots int
	// Models lists the models that it has loaded or is loading.
	Models []string
	// RecentlyLoaded lists those of them that were loaded recently and are not dropped
	// yet, so that the cost of the load is amortized.
	RecentlyLoaded []string
}

// Input is the input of a plan.
type Input struct {
	Servers []Server
	Models  []Model
	// Replicas is the number of replicas of each model to keep where memory allows,
	// in case a server fails.
	Replicas int
	// MoveCost is the cost of one move in requests: the number of requests that a
	// server could serve during a load.
	MoveCost float64
	// Horizon is the expected duration of a change in demand, in service times.
	Horizon float64
}

// Defaults of an Input.
const (
	defaultReplicas = 2
	defaultMoveCost = 50
	defaultHorizon  = 100
	defaultSlots    = 32
	// maxUtilization is the share of its slots up to which a server meets its latency
	// targets.
	maxUtilization = 0.8
)

// Output is a plan.
type Output struct {
	// Placement lists the models that each server should have loaded.
	Placement map[string][]string
	// Unplaced lists the models that fit on no server.
	Unplaced []string
	// Moves is the number of loads and unloads from the current state to the plan.
	Moves int
}

// Artifacts returns the artifacts of the models planned for a server.
func (o Output) Artifacts(models []Model, server string) []ctrl.Artifact {
	var all []ctrl.Artifact
	for _, m := range models {
		if slices.Contains(o.Placement[server], m.Name) {
			all = append(all, m.Artifacts...)
		}
	}
	return all
}

// Make returns the plan. It starts from the current placement and makes
// only changes with a net benefit: it adds a replica if the requests that can then be
// served in time, weighted by attainment, are worth more than the moves. It repeats
// these steps:
//
//  1. Each model without a replica gets one, in order of priority and demand.
//  2. While a server has more load than it serves in time, its busiest model gets a
//     replica on the server with the most spare capacity.
//  3. Where memory is left, models with fewer than Replicas get another,
//     preferably in another failure domain.
func Make(in Input) Output {
	p := newPlanner(in)
	for range maxRounds {
		additions := p.additions
		p.placeUnplaced()
		p.relieveOverload()
		p.addSpareReplicas()
		if p.additions == additions {
			break
		}
		p.distributeDemand()
	}
	return p.output()
}

// maxRounds bounds the repetitions of the steps: an added replica can free memory for
// another one or make it worth its moves.
const maxRounds = 12

// planner is the state of one plan.
type planner struct {
	in           Input
	servers      []*server
	models       []*model
	modelsByName map[string]*model
	evictions    int
	additions    int
}

type server struct {
	Server
	freeBytes int
	load      float64
	models    []*model
}

type model struct {
	Model
	replicas []*server
	unplaced bool
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, modelsByName: make(map[string]*model)}
	p.in.Replicas = orDefault(in.Replicas, defaultReplicas)
	p.in.MoveCost = orDefault(in.MoveCost, defaultMoveCost)
	p.in.Horizon = orDefault(in.Horizon, defaultHorizon)
	for _, m := range in.Models {
		state := &model{Model: m}
		p.models = append(p.models, state)
		p.modelsByName[m.Pool+"/"+m.Name] = state
	}
	slices.SortFunc(p.models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Demand, a.Demand),
			cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Name, b.Name))
	})
	for _, s := range in.Servers {
		s.Slots = orDefault(s.Slots, defaultSlots)
		state := &server{Server: s, freeBytes: s.MemoryBytes}
		p.servers = append(p.servers, state)
		for _, name := range s.Models {
			if m := p.modelsByName[s.Pool+"/"+name]; m != nil {
				p.place(m, state)
			}
		}
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	p.distributeDemand()
	return p
}

func orDefault[T int | float64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

func (p *planner) place(m *model, s *server) {
	m.replicas = append(m.replicas, s)
	s.models = append(s.models, m)
	s.freeBytes -= m.Bytes
}

func (p *planner) remove(m *model, s *server) {
	m.replicas = slices.DeleteFunc(m.replicas, func(x *server) bool { return x == s })
	s.models = slices.DeleteFunc(s.models, func(x *model) bool { return x == m })
	s.freeBytes += m.Bytes
}

// distributeDemand divides each model's demand among its replicas, in proportion to the
// capacity that the other models leave. A few rounds approximate load-based routing.
func (p *planner) distributeDemand() {
	const rounds = 4
	for _, s := range p.servers {
		s.load = 0
	}
	for _, m := range p.models {
		for _, s := range m.replicas {
			s.load += m.Demand / float64(len(m.replicas))
		}
	}
	for range rounds {
		next := make(map[*server]float64, len(p.servers))
		for _, m := range p.models {
			total := 0.0
			for _, s := range m.replicas {
				total += routingWeight(s)
			}
			for _, s := range m.replicas {
				next[s] += m.Demand * routingWeight(s) / total
			}
		}
		for _, s := range p.servers {
			s.load = (s.load + next[s]) / 2
		}
	}
}

// routingWeight approximates load-based routing: the less load, the higher the weight.
func routingWeight(s *server) float64 {
	return float64(s.Slots) / (1 + s.load)
}

// excessLoad returns the load of a server beyond what it serves in time.
func excessLoad(s *server) float64 { return math.Max(s.load-maxUtilization*float64(s.Slots), 0) }

// placeUnplaced gives each model without a replica one.
func (p *planner) placeUnplaced() {
	for _, m := range p.models {
		if len(m.replicas) > 0 {
			continue
		}
		s := p.bestTarget(m, nil, true)
		m.unplaced = s == nil
		if s != nil {
			p.addReplica(m, s)
		}
	}
}

// addReplica places a replica of a model on a server, evicting others as needed.
func (p *planner) addReplica(m *model, s *server) {
	p.evictFor(m, s)
	p.place(m, s)
	p.additions++
	p.distributeDemand()
}

// addSpareReplicas gives models another replica where memory is left, without evictions.
// Memory for the largest model stays free on one server of the pool, so that a replica
// can always be added before another is dropped.
func (p *planner) addSpareReplicas() {
	for replicas := 1; replicas < p.in.Replicas; replicas++ {
		for _, m := range p.models {
			if len(m.replicas) != replicas {
				continue
			}
			if s := p.spareReplicaTarget(m); s != nil {
				p.place(m, s)
				p.additions++
			}
		}
	}
}

func (p *planner) spareReplicaTarget(m *model) *server {
	var best *server
	for _, s := range p.servers {
		if s.Pool != m.Pool || s.freeBytes < m.Bytes || slices.Contains(s.models, m) || !p.keepsReserve(m, s) {
			continue
		}
		if best == nil || p.betterSpareTarget(m, s, best) {
			best = s
		}
	}
	return best
}

func (p *planner) betterSpareTarget(m *model, a, b *server) bool {
	aNewDomain, bNewDomain := !hasReplicaIn(m, a.Domain), !hasReplicaIn(m, b.Domain)
	if aNewDomain != bNewDomain {
		return aNewDomain
	}
	return a.freeBytes > b.freeBytes
}

func hasReplicaIn(m *model, domain string) bool {
	return slices.ContainsFunc(m.replicas, func(s *server) bool { return s.Domain == domain })
}

// keepsReserve reports whether some server has free memory for the pool's largest model
// after m is placed on s.
func (p *planner) keepsReserve(m *model, s *server) bool {
	largest := 0
	for _, other := range p.models {
		if other.Pool == m.Pool {
			largest = max(largest, other.Bytes)
		}
	}
	for _, other := range p.servers {
		freeBytes := other.freeBytes
		if other == s {
			freeBytes -= m.Bytes
		}
		if other.Pool == m.Pool && freeBytes >= largest {
			return true
		}
	}
	return false
}

func (p *planner) output() Output {
	out := Output{Placement: make(map[string][]string), Moves: p.additions + p.evictions}
	for _, s := range p.servers {
		names := []string{}
		for _, m := range s.models {
			names = append(names, m.Name)
		}
		slices.Sort(names)
		out.Placement[s.Name] = names
	}
	for _, m := range p.models {
		if m.unplaced {
			out.Unplaced = append(out.Unplaced, m.Name)
		}
	}
	return out
}
