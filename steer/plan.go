package steer

import (
	"cmp"
	"math"
	"slices"
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

// estimate is the low, mean and high estimate of the work requested of a model until a replica
// loaded now would be ready.
type estimate struct{ low, mean, high float64 }

type domainModel struct{ domain, model string }

const (
	// maxPlanSteps bounds the orders of a plan, and with them the time for which the controller does
	// nothing else. The next plan continues a tenth of a second later.
	maxPlanSteps = 100
	// moveMargin is the factor by which the gain of a replica must exceed the loss of the replica
	// that it replaces.
	moveMargin = 1.5
	// minGain is the least gain for which a replica is loaded, in squared servers: the gain of
	// levelling two servers whose utilization differs by 0.3.
	minGain = 0.05
	// maxForecast is the longest horizon of a forecast, about as long as the period that the trend
	// is derived from.
	maxForecast = 6 * time.Second
	// urgencyDecay is the time constant of a replica's urgency: a load that takes this long has
	// about a third of the urgency of an immediate one. Most surges and shifts of demand need the
	// replica within some seconds.
	urgencyDecay = 4 * time.Second
	// demandDuration is about how long demand stays with a model: the time between two shifts of
	// demand.
	demandDuration = 14 * time.Second
	// drainTime is how long the unloading of a replica in use takes, idleDrainTime that of an idle
	// replica. A model counts as idle if its work is below idleWork.
	drainTime     = 2 * time.Second
	idleDrainTime = 300 * time.Millisecond
	idleWork      = 0.02
	// domainWeight weighs a model's first replica in a failure domain against the work of the
	// callers in that domain: they have no other replica when the failure domain is partitioned.
	domainWeight = 0.5
	// firstReplicaBaseWorth is the worth of a model's only replica in addition to its work. It grows
	// by this amount for each second without a replica, as the model's requests wait or are
	// refused. Initially it is too low to replace a replica of a busy model: a crashed server is
	// usually back within two or three seconds, with its models' weights on its disk.
	firstReplicaBaseWorth = 0.04
	// lastReplicaIdleTime is how long a model must not have been requested before its only replica is
	// replaced, and minResidence how long that replica must have been loaded: the requests that
	// waited for it need some time to arrive.
	lastReplicaIdleTime = 3 * time.Second
	minResidence        = 4 * time.Second
	// requestWaitTime is about how long requests wait for a model to be loaded. If the last request
	// for a model is older, nobody waits for it any more.
	requestWaitTime = 5 * time.Second
	// lastReplicaWorth is the worth of an only replica that was requested just now. It is above the
	// worth of a model with little demand that lost its replica within the last second.
	lastReplicaWorth = 4.0
	// firstReplicaWorkWeight weighs the model's work in the worth of its only replica.
	firstReplicaWorkWeight = 4.0
)

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
	p.planned = newBalance(len(p.candidates), plannedReplicas(p.Engine, p.candidates, p.Now), work)
	p.current = newBalance(len(p.candidates), loadedReplicas(p.Engine, p.candidates), work)
}

// estimate returns the work requested of a model, recently or by the time that a replica loaded now
// would be ready.
func (p *Planner) estimate(m routes.Model) estimate {
	work, stdErr := p.Work(m.Name), 0.0
	if p.StdErr != nil {
		stdErr = p.StdErr(m.Name)
	}
	e := estimate{low: max(work-stdErr, 0), mean: work, high: work + stdErr}
	if p.Forecast == nil {
		return e
	}
	future, mean := p.Forecast(m.Name, min(m.LoadTime, maxForecast))
	if future < work {
		return estimate{low: min(e.low, future), mean: mean, high: mean + stdErr}
	}
	e.low = max(e.low, future-forecastErrorRatio*stdErr)
	e.mean = max(e.mean, (e.low+future)/2)
	e.high = max(e.high, future)
	return e
}

// option is a possible load of one more replica of a model.
type option struct {
	step Step
	// candidate is the index of its server in Planner.candidates.
	candidate int
	// victim is the model to unload first, "" for none.
	victim string
	// worth is the worth of the replica less that of the victim's replica. urgency is the worth
	// discounted by the time until the replica is ready.
	worth, urgency float64
}

// Load pattern: dozens of servers crash together and restart empty, with their models' weights on
// their disks. The models with the most demand lack replicas at that moment, and a server executes
// one order at a time. If the replica with the highest worth goes first, these models occupy the
// servers with loads from the weight store, and servers that could have loaded another model from
// disk within a second are idle for six.
//
// Options are therefore sorted by urgency, which favours short load times.

// options returns the best option of each model that is worth one more replica, the most urgent
// first.
func (p *Planner) options() []option {
	var list []option
	for _, m := range p.Engine.Models {
		if o, ok := p.bestOption(m); ok {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.step.Model.Name, b.step.Model.Name))
	})
	return list
}

// bestOption returns the most urgent option for one more replica of a model.
func (p *Planner) bestOption(m routes.Model) (option, bool) {
	work, replicas := p.work[m.Name], len(p.planned.replicas[m.Name])
	if replicas == 0 && p.MayBeUnlisted != nil && p.MayBeUnlisted(m.Name) || replicas > 0 && work.low*work.low < minGain {
		return option{}, false
	}
	var best option
	found := false
	for _, i := range p.comparedCandidates(m) {
		s := p.candidates[i]
		if !s.acceptsOrders || p.ordered[s.Server] || s.models[m.Name] != nil || s.ReservedFor(p.Now) != "" {
			continue
		}
		o, ok := p.optionAt(i, m)
		if ok && (!found || compareOptions(o, best) < 0) {
			best, found = o, true
		}
	}
	return best, found
}

func compareOptions(a, b option) int {
	return cmp.Or(
		cmp.Compare(b.urgency, a.urgency),
		cmp.Compare(a.step.Server.entry.ID, b.step.Server.entry.ID),
	)
}

// Load pattern: demand begins, and models are short of replicas. The busiest model gets a further
// replica in free memory, which takes six seconds to load. A balance that includes the new replica
// shows the existing replicas of the model as spare, and they are replaced at once. Most of the
// model's 200 requests a second then find no replica, and as many replicas as were removed are
// loaded again.
//
// The loss of a replica is therefore also computed from the loaded replicas only.

// optionAt returns the option for one more replica at a server, without a victim if there is enough
// free memory.
func (p *Planner) optionAt(i int, m routes.Model) (option, bool) {
	s := p.candidates[i]
	loadTime, store := s.loadTime(m)
	o := option{step: Step{Server: s.Server, Model: m, FromStore: store, LoadTime: loadTime}, candidate: i}
	if s.usedMemoryMB+m.SizeMB <= p.Engine.WeightMemoryMB {
		return p.evaluate(o, p.planned.util[i], 0, loadTime)
	}
	var best option
	found := false
	for victim, r := range s.models {
		if r.phase != loaded || s.usedMemoryMB-p.Engine.Models[victim].SizeMB+m.SizeMB > p.Engine.WeightMemoryMB {
			continue
		}
		lastLoss := 0.0
		if len(p.current.replicas[victim]) < 2 {
			var ok bool
			if lastLoss, ok = p.lastReplicaLoss(victim, r, m.Name); !ok {
				continue
			}
		}
		loss, util := p.planned.loss(victim, i)
		currentLoss, _ := p.current.loss(victim, i)
		loss = max(loss, currentLoss)
		work, drain := p.work[victim], drainTime
		if work.high < idleWork || lastLoss > 0 {
			drain = idleDrainTime
		}
		if work.mean > 0 {
			loss *= square(work.high / work.mean)
		}
		if p.replicasInDomain[domainModel{s.entry.Domain, victim}] < 2 {
			loss += p.domainWorth(work.high)
		}
		loss += lastLoss
		replacing := o
		replacing.victim = victim
		replacing, ok := p.evaluate(replacing, util, loss, loadTime+drain)
		if ok && (!found || replacing.urgency > best.urgency || replacing.urgency == best.urgency && victim < best.victim) {
			best, found = replacing, true
		}
	}
	return best, found
}

// Load pattern: there are more models than places for them, and each place holds the only replica of
// some model. A model without a replica is asked for again and again, and all of its requests are
// refused after they have waited for a load that is never ordered, while nobody asks for most of the
// models that are loaded.
//
// The only replica of a model that has not been requested for some time therefore yields to a model
// that is being asked for, the least recently requested one first. What it costs decreases with that
// time and is compared with the worth of a first replica, which grows while requests wait for it. A
// model that has lost its server for a second, and returns with it, replaces none.

// lastReplicaLoss returns the loss if the only replica of a model is replaced by a first replica of
// another one. It returns false if that is not allowed.
func (p *Planner) lastReplicaLoss(victim string, r *modelState, replacement string) (float64, bool) {
	if p.SinceRequested == nil || len(p.planned.replicas[replacement]) > 0 || p.Now.Sub(r.since) < minResidence {
		return 0, false
	}
	if waiting, requested := p.SinceRequested(replacement); !requested || waiting >= requestWaitTime {
		return 0, false
	}
	idle, requested := p.SinceRequested(victim)
	if !requested {
		return math.SmallestNonzeroFloat64, true
	}
	return lastReplicaWorth / (1 + idle.Seconds()), idle >= lastReplicaIdleTime
}

// evaluate sets the worth and urgency of an option at a server whose utilization is util without
// it. It returns false if the worth is too low.
func (p *Planner) evaluate(o option, util, loss float64, readyIn time.Duration) (option, bool) {
	name := o.step.Model.Name
	work := p.work[name]
	gain, required := 0.0, minGain
	if len(p.planned.replicas[name]) == 0 {
		gain, required = p.firstReplicaWorth(name), 0
	} else if work.mean > 0 {
		gain = p.planned.gain(name, util) * square(work.low/work.mean)
	}
	if p.replicasInDomain[domainModel{o.step.Server.entry.Domain, name}] == 0 {
		gain += p.domainWorth(work.low)
	}
	margin := 1.0
	if o.victim != "" && required > 0 {
		margin = moveMargin
	}
	o.worth = gain - margin*loss
	o.urgency = o.worth * math.Exp(-readyIn.Seconds()/urgencyDecay.Seconds())
	return o, o.worth > 0 && o.worth >= required && (o.victim == "" || recoupsLoss(gain, loss, readyIn))
}

// recoupsLoss reports whether the gain of a replica outweighs the loss of its victim. The loss
// applies at once, the gain only when the replica is ready.
func recoupsLoss(gain, loss float64, readyIn time.Duration) bool {
	return gain*math.Exp(-readyIn.Seconds()/demandDuration.Seconds()) > loss
}

// firstReplicaWorth returns the worth of a model's only replica. It grows with the time that the
// model has been without a replica.
func (p *Planner) firstReplicaWorth(model string) float64 {
	worth := firstReplicaBaseWorth + firstReplicaWorkWeight*p.work[model].mean
	if p.TimeWithoutReplica != nil {
		worth *= 1 + p.TimeWithoutReplica(model).Seconds()
	}
	return worth
}

// domainWorth returns the worth of a model's first replica in a failure domain.
func (p *Planner) domainWorth(work float64) float64 {
	if p.domains < 2 {
		return 0
	}
	return domainWeight * square(work/float64(p.domains))
}

func square(x float64) float64 { return x * x }

// accept turns an option into the next order and updates the balances. It returns false if the
// weight store allows no further load now.
func (p *Planner) accept(o option) (Step, bool) {
	domain := o.step.Server.entry.Domain
	if o.victim != "" {
		p.planned.remove(o.victim, o.candidate)
		p.current.remove(o.victim, o.candidate)
		p.replicasInDomain[domainModel{domain, o.victim}]--
		p.planned.add(o.step.Model.Name, o.candidate)
		p.replicasInDomain[domainModel{domain, o.step.Model.Name}]++
		return Step{Server: o.step.Server, Unload: true, Model: p.Engine.Models[o.victim], ReplacedBy: o.step.Model.Name}, true
	}
	if !p.startLoad(&o.step) {
		return Step{}, false
	}
	p.planned.add(o.step.Model.Name, o.candidate)
	p.replicasInDomain[domainModel{domain, o.step.Model.Name}]++
	return o.step, true
}
