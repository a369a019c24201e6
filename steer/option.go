package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

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
		if r.phase != loaded || s.usedMemoryMB-s.modelOf(p.Engine, victim).SizeMB+m.SizeMB > p.Engine.WeightMemoryMB {
			continue
		}
		cost, ok := p.unloadCostOf(victim, r, i, m.Name)
		if !ok {
			continue
		}
		replacing := o
		replacing.victim = victim
		replacing, ok = p.evaluate(replacing, cost.util, cost.loss, loadTime+cost.drain)
		if ok && (!found || replacing.urgency > best.urgency || replacing.urgency == best.urgency && victim < best.victim) {
			best, found = replacing, true
		}
	}
	return best, found
}

// unloadCost is what the unloading of a replica costs.
type unloadCost struct {
	// loss is the worth that is lost, util the utilization that the server then has.
	loss, util float64
	// drain is how long the replica takes to finish its requests.
	drain time.Duration
}

// unloadCostOf returns the cost of unloading a victim's replica at a candidate for another model. It returns false if
// the replica must stay.
func (p *Planner) unloadCostOf(victim string, r *modelState, candidate int, model string) (unloadCost, bool) {
	s := p.candidates[candidate]
	if p.Needed != nil && p.Needed(s.Server, victim) {
		return unloadCost{}, false
	}
	lastLoss := 0.0
	if len(p.current.replicas[victim]) < 2 {
		var ok bool
		if lastLoss, ok = p.lastReplicaLoss(victim, r, model); !ok {
			return unloadCost{}, false
		}
	}
	loss, util := p.planned.loss(victim, candidate)
	currentLoss, _ := p.current.loss(victim, candidate)
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
	return unloadCost{loss: loss + lastLoss, util: util, drain: drain}, true
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
		gain = p.planned.gain(name, o.candidate, util) * square(work.low/work.mean)
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
		return Step{Server: o.step.Server, Unload: true, Model: o.step.Server.modelOf(p.Engine, o.victim), ReplacedBy: o.step.Model.Name}, true
	}
	if !p.startLoad(&o.step) {
		return Step{}, false
	}
	p.planned.add(o.step.Model.Name, o.candidate)
	p.replicasInDomain[domainModel{domain, o.step.Model.Name}]++
	return o.step, true
}
