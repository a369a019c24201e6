package steer

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Step is one order of a plan: to load or unload a model at a server.
type Step struct {
	Server *Server
	Unload bool
	Model  routes.Model
	// ReplacedBy is the model that an unloaded one makes memory available for.
	ReplacedBy string
	// FromStore is set for a load from the weight store; LoadStart counts it against the load
	// limit.
	FromStore bool
	LoadStart *LoadStart
	LoadTime  time.Duration
}

// Planner turns demand into the next model orders of a service. It keeps no state between plans.
//
// Each model keeps at least one replica while it is in use, and longer if memory allows (see
// lastReplicaLoss). A further replica is loaded if it improves the balance of
// work between the servers by more than it costs (see balance). It replaces another replica only if
// the difference exceeds a margin and the uncertainty of the demand: the model that gets a replica
// counts with the low estimate of its work, the model that loses one with the high estimate.
// Otherwise dozens of models move in the first second of new demand, when each has had only a few
// requests. Memory that no model needs stays free: a model whose demand rises is loaded there at
// once, whereas a replica that is replaced must first finish its requests.
type Planner struct {
	Engine  *routes.Engine
	Servers []*Server
	// Work returns the recently requested work of a model, in units of a whole server's time, and
	// StdErr its standard error; nil for none.
	Work, StdErr func(model string) float64
	// Forecast returns the work requested at the horizon by the trend, and the mean until then;
	// nil if the recent work is the forecast.
	Forecast func(model string, horizon time.Duration) (future, mean float64)
	// StartStoreLoad counts one more load from the weight store. It returns nil if none may begin
	// now.
	StartStoreLoad func() *LoadStart
	// TimeWithoutReplica returns how long a model has been without a replica; nil if unknown.
	TimeWithoutReplica func(model string) time.Duration
	// SinceRequested returns how long ago a model was last requested, and whether it ever was; nil if
	// that is unknown. No last replica is replaced then.
	SinceRequested func(model string) (time.Duration, bool)
	// MayBeUnlisted reports whether a model without a replica probably has one at a server that is
	// not listed yet; nil for never.
	MayBeUnlisted func(model string) bool
	// Needed reports whether a server has the last replica of a model that streams of its software version
	// need; nil for never.
	Needed func(s *Server, model string) bool
	// Contended reports whether the requests for a server far exceed its rate limit; nil for never.
	// The replicas at such a server do not count, and no models are loaded there.
	Contended func(server string) bool
	Now       time.Time

	// The following fields are computed once for each plan: with a thousand models and as many
	// servers, computing them for each choice would take seconds.
	work             map[string]estimate
	replicasInDomain map[domainModel]int
	domains          int
	candidates       []candidate
	// planned includes the replicas that are loading, current only the loaded ones.
	planned, current *balance
	// ordered are the servers that have a step of this plan.
	ordered map[*Server]bool
	// allCandidates are the indices of all candidates. shortlists, by failure domain, and cachedAt, by
	// model, name those that are compared if there are many.
	allCandidates []int
	shortlists    map[string]*shortlist
	cachedAt      map[string][]int
}

// candidate is a server that models can be placed on.
type candidate struct {
	*Server
	// usedMemoryMB is the memory in use. acceptsOrders is set if the server can be sent an order now.
	usedMemoryMB  float64
	acceptsOrders bool
}

type domainModel struct{ domain, model string }

// maxPlanSteps bounds the orders of a plan, and with them the time for which the controller does
// nothing else. The next plan continues a tenth of a second later.
const maxPlanSteps = 100

// Steps returns the next orders, at most one for each server.
func (p *Planner) Steps() []Step {
	p.prepare()
	steps := p.reservedLoads()
	for again := true; again; {
		again = false
		for _, o := range p.options() {
			// Earlier steps of this plan may have lowered the worth of the option.
			o, ok := p.bestOption(o.step.Model)
			if !ok {
				continue
			}
			if len(steps) >= maxPlanSteps {
				return steps
			}
			if step, ok := p.accept(o); ok {
				p.ordered[step.Server] = true
				steps = append(steps, step)
				again = true
			}
		}
	}
	return steps
}

// reservedLoads returns the loads that an earlier unload has freed memory for.
func (p *Planner) reservedLoads() []Step {
	var steps []Step
	for i, s := range p.candidates {
		m, ok := p.Engine.Models[s.ReservedFor(p.Now)]
		if !ok || !s.acceptsOrders || s.usedMemoryMB+m.SizeMB > p.Engine.WeightMemoryMB {
			continue
		}
		loadTime, store := s.loadTime(m)
		step := Step{Server: p.candidates[i].Server, Model: m, FromStore: store, LoadTime: loadTime}
		if !p.startLoad(&step) {
			continue
		}
		p.ordered[s.Server] = true
		p.replicasInDomain[domainModel{s.entry.Domain, m.Name}]++
		steps = append(steps, step)
	}
	return steps
}

// startLoad counts a load against the limit of the weight store. It returns false if the limit
// allows no further load now.
func (p *Planner) startLoad(s *Step) bool {
	if !s.FromStore {
		return true
	}
	s.LoadStart = p.StartStoreLoad()
	return s.LoadStart != nil
}

// prepare computes the work of each model, the candidates and the balances. Servers that are
// not placeable or contended are left out.
func (p *Planner) prepare() {
	p.work = make(map[string]estimate, len(p.Engine.Models))
	work := make(map[string]float64, len(p.Engine.Models))
	for name, m := range p.Engine.Models {
		p.work[name] = p.estimate(m)
		work[name] = p.work[name].mean
	}
	p.replicasInDomain, p.candidates = make(map[domainModel]int), nil
	domains := make(map[string]bool)
	for _, s := range p.Servers {
		if !s.Placeable(p.Now) || p.Contended != nil && p.Contended(s.entry.ID) {
			continue
		}
		domains[s.entry.Domain] = true
		p.candidates = append(p.candidates, candidate{Server: s, usedMemoryMB: s.usedMB(p.Engine), acceptsOrders: s.AcceptsOrders(p.Now)})
		for name, r := range s.models {
			if r.phase != unloading {
				p.replicasInDomain[domainModel{s.entry.Domain, name}]++
			}
		}
	}
	p.domains = max(len(domains), 1)
	p.ordered, p.shortlists, p.cachedAt = make(map[*Server]bool), nil, nil
	p.allCandidates = p.allCandidates[:0]
	for i := range p.candidates {
		p.allCandidates = append(p.allCandidates, i)
	}
	capacity := p.capacities()
	p.planned = newBalance(capacity, plannedReplicas(p.Engine, p.candidates, p.Now), work)
	p.current = newBalance(capacity, loadedReplicas(p.Engine, p.candidates), work)
}

// Load pattern: dozens of servers crash together and restart empty, with their models' weights on
// their disks. The models with the most demand lack replicas at that moment, and a server executes
// one order at a time. If the replica with the highest worth goes first, these models occupy the
// servers with loads from the weight store, and servers that could have loaded another model from
// disk within a second are idle for six.
//
// Options are therefore sorted by urgency, which favours short load times.

// Load pattern: demand begins, and models are short of replicas. The busiest model gets a further
// replica in free memory, which takes six seconds to load. A balance that includes the new replica
// shows the existing replicas of the model as spare, and they are replaced at once. Most of the
// model's 200 requests a second then find no replica, and as many replicas as were removed are
// loaded again.
//
// The loss of a replica is therefore also computed from the loaded replicas only.

// Load pattern: there are more models than places for them, and each place holds the only replica of
// some model. A model without a replica is asked for again and again, and all of its requests are
// refused after they have waited for a load that is never ordered, while nobody asks for most of the
// models that are loaded.
//
// The only replica of a model that has not been requested for some time therefore yields to a model
// that is being asked for, the least recently requested one first. What it costs decreases with that
// time and is compared with the worth of a first replica, which grows while requests wait for it. A
// model that has lost its server for a second, and returns with it, replaces none.
