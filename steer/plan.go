package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Step is one order that the plan wants: to load or unload a model at a server.
type Step struct {
	Server *Server
	Unload bool
	Model  routes.Model
	// For is the model that an unloaded one makes way for.
	For string
	// Store says that the load comes from the weight store, Begun counts it there.
	Store bool
	Begun *Begun
	Time  time.Duration
}

// Planner turns demand into the next model orders of a service. It keeps
// nothing between calls.
//
// Each model keeps at least one copy. Beyond that a copy is loaded where it evens out
// the work of the servers by more than it costs (see balance), and a copy makes way for
// it only when that is worth more by a margin, and by more than chance explains: a model
// that gets a copy counts with the least work it may have, one that loses it with the
// most. Otherwise dozens of models move in the first second of a demand, when each was
// asked for a few times. Memory that nothing needs stays free: a model whose demand rises
// is loaded there at once, while a copy that has to make way first waits for its runs.
type Planner struct {
	Engine  *routes.Engine
	Servers []*Server
	// Work returns the work asked for of a model lately, in servers that it keeps busy,
	// Spread its standard error; nil for none.
	Work, Spread func(model string) float64
	// Ahead returns the work that will be asked for after a while by the trend, and the
	// mean until then; nil for as much as lately.
	Ahead func(model string, while time.Duration) (then, mean float64)
	// Store counts one more load from the weight store as begun; nil when none may begin.
	Store func() *Begun
	// Missing returns for how long a model has been without a copy; nil for not known.
	Missing func(model string) time.Duration
	// Awaited reports whether a model without a copy is likely at a server that is not
	// listed yet; nil for never.
	Awaited func(model string) bool
	// Contended reports whether the requests for a server far exceed its rate limit; nil for
	// never. The copies at such a server are not counted, and no models are loaded there.
	Contended func(server string) bool
	Now       time.Time

	// These are counted once for each plan: with a thousand models and as many
	// servers, counting again for each choice would take seconds.
	work     map[string]estimate
	inDomain map[domainModel]int
	domains  int
	staying  []stayer
	// balance is with the copies that are on their way, present without.
	balance, present *balance
}

// stayer is a server that models can be placed on.
type stayer struct {
	*Server
	// mb is what it holds, free whether it takes orders now.
	mb   float64
	free bool
}

// estimate is the least, the expected and the most work that is asked for of a model
// until a copy loaded now would be there.
type estimate struct{ low, mean, high float64 }

type domainModel struct{ domain, model string }

const (
	// moveMargin is how much more a copy must be worth to the model that gets it than
	// to the one that loses it.
	moveMargin = 1.5
	// gainLeast is what a copy must be worth to be loaded, in squares of servers: that
	// of levelling two servers of which one has 0.3 of its time more to do.
	gainLeast = 0.05
	// trustTrend is how far ahead a trend is trusted: about as long as it is seen.
	trustTrend = 6 * time.Second
	// gainFades is the time to load over which a copy's worth falls by a third of it:
	// most surges and shifts of demand need it within some seconds.
	gainFades = 4 * time.Second
	// demandLasts is how long demand stays with its models, about: the time between two of
	// its shifts.
	demandLasts = 14 * time.Second
	// drainTime is how long a copy that is in use takes to make way, idleTime one that
	// is not, and idleWork the work below which it counts as not in use.
	drainTime = 2 * time.Second
	idleTime  = 300 * time.Millisecond
	idleWork  = 0.02
	// domainShare weighs a model's first copy in a failure domain, against the work of
	// that domain's part of its callers: when the domain is cut off, they have no other.
	domainShare = 0.5
	// reachWorth is what the only copy of a model is worth beyond its work, for each
	// second that it has been missing: its requests wait or are refused. At first it
	// takes no place from a busy model: a server that crashed is mostly back, with its
	// copies on its disk, within two or three seconds.
	reachWorth = 0.04
	// reachWork weighs its work.
	reachWork = 4.0
)

// Steps returns the next orders, at most one for each server.
func (p *Planner) Steps() []Step {
	p.count()
	used := make(map[*Server]bool)
	steps := p.intents(used)
	for again := true; again; {
		again = false
		for _, o := range p.options(used) {
			// What was decided on since may have made it worth less.
			o, ok := p.best(o.step.Model, used)
			if !ok {
				continue
			}
			if step, ok := p.take(o); ok {
				used[step.Server] = true
				steps = append(steps, step)
				again = true
			}
		}
	}
	return steps
}

// intents returns the loads that places have been freed for.
func (p *Planner) intents(used map[*Server]bool) []Step {
	var steps []Step
	for i, s := range p.staying {
		m, ok := p.Engine.Models[s.Intent(p.Now)]
		if !ok || !s.free || s.mb+m.SizeMB > p.Engine.WeightMemoryMB {
			continue
		}
		took, store := s.loadTime(m)
		step := Step{Server: p.staying[i].Server, Model: m, Store: store, Time: took}
		if !p.begin(&step) {
			continue
		}
		used[s.Server] = true
		p.inDomain[domainModel{s.entry.Domain, m.Name}]++
		steps = append(steps, step)
	}
	return steps
}

// begin counts a load with the weight store. It reports false if that bears no more now.
func (p *Planner) begin(s *Step) bool {
	if !s.Store {
		return true
	}
	s.Begun = p.Store()
	return s.Begun != nil
}

// count takes stock: the work for each model, and the copies that stay. Those
// at servers that are leaving or contended do not.
func (p *Planner) count() {
	p.work = make(map[string]estimate, len(p.Engine.Models))
	work := make(map[string]float64, len(p.Engine.Models))
	for name, m := range p.Engine.Models {
		p.work[name] = p.estimate(m)
		work[name] = p.work[name].mean
	}
	p.inDomain, p.staying = make(map[domainModel]int), nil
	domains := make(map[string]bool)
	for _, s := range p.Servers {
		if s.entry.Draining || s.Down() || p.Contended != nil && p.Contended(s.entry.ID) {
			continue
		}
		domains[s.entry.Domain] = true
		p.staying = append(p.staying, stayer{Server: s, mb: s.weight(p.Engine), free: s.Free(p.Now)})
		for name, r := range s.models {
			if r.phase != leaving {
				p.inDomain[domainModel{s.entry.Domain, name}]++
			}
		}
	}
	p.domains = max(len(domains), 1)
	p.balance = newBalance(len(p.staying), copiesOf(p.Engine, p.staying, p.Now), work)
	p.present = newBalance(len(p.staying), heldOf(p.Engine, p.staying), work)
}

// estimate returns the work that is likely asked for of a model, lately or when a copy
// loaded now would be there.
func (p *Planner) estimate(m routes.Model) estimate {
	work, spread := p.Work(m.Name), 0.0
	if p.Spread != nil {
		spread = p.Spread(m.Name)
	}
	e := estimate{low: max(work-spread, 0), mean: work, high: work + spread}
	if p.Ahead == nil {
		return e
	}
	then, mean := p.Ahead(m.Name, min(m.LoadTime, trustTrend))
	if then < work {
		return estimate{low: min(e.low, then), mean: mean, high: mean + spread}
	}
	e.low = max(e.low, then-trendSpread*spread)
	e.mean = max(e.mean, (e.low+then)/2)
	e.high = max(e.high, then)
	return e
}

// option is a way towards one more copy of a model.
type option struct {
	step Step
	// server is the place of its server among those that stay.
	server int
	// victim is the model to unload first, "" for none.
	victim string
	// worth is what the copy is worth less what the victim's was, urgency the same by
	// how soon it would be there.
	worth, urgency float64
}

// Load pattern: dozens of servers crash together and come back empty, with their copies on
// their disks. The models with the most demand lack copies at that moment, and a server
// takes one order at a time. If the worthiest copy is decided on first, those models take
// the servers for loads from the weight store, and servers that could have taken up their
// work within a second do nothing for six.
//
// So what is there soonest for its worth goes first.

// options returns the best option of each model that one more copy is worth it for, the
// most urgent first. By urgency and not by worth the replays of the worst load earn 0.896
// and 0.872 of all worth in place of 0.878 and 0.866 (112 and 156 servers, means of six
// and four seeds; 0.873 both ways with 12 servers).
func (p *Planner) options(used map[*Server]bool) []option {
	var list []option
	for _, m := range p.Engine.Models {
		if o, ok := p.best(m, used); ok {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.step.Model.Name, b.step.Model.Name))
	})
	return list
}

// best returns the best way to one more copy of a model.
func (p *Planner) best(m routes.Model, used map[*Server]bool) (option, bool) {
	w, copies := p.work[m.Name], len(p.balance.copies[m.Name])
	if copies == 0 && p.Awaited != nil && p.Awaited(m.Name) || copies > 0 && w.low*w.low < gainLeast {
		return option{}, false
	}
	var best option
	found := false
	for i, s := range p.staying {
		if !s.free || used[s.Server] || s.models[m.Name] != nil || s.Intent(p.Now) != "" {
			continue
		}
		o, ok := p.option(i, m)
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

// Load pattern: demand begins, and models are short of copies. A free place gets one more of the
// busiest, which takes six seconds to load; by the balance with it the present copies of the
// model can be spared, and they make way for others at once. Of 200 requests a second for that
// model most find no copy, and as many as were taken away are loaded again.
//
// So what a copy less costs is counted by the copies that are there.

// option returns the way to one more copy at a server, without a victim if there is
// room.
func (p *Planner) option(i int, m routes.Model) (option, bool) {
	s := p.staying[i]
	took, store := s.loadTime(m)
	o := option{step: Step{Server: s.Server, Model: m, Store: store, Time: took}, server: i}
	if s.mb+m.SizeMB <= p.Engine.WeightMemoryMB {
		return p.weigh(o, p.balance.util[i], 0, took)
	}
	var best option
	found := false
	for name, r := range s.models {
		if r.phase != held || len(p.present.copies[name]) < 2 || s.mb-p.Engine.Models[name].SizeMB+m.SizeMB > p.Engine.WeightMemoryMB {
			continue
		}
		loss, util := p.balance.loss(name, i)
		atOnce, _ := p.present.loss(name, i)
		loss = max(loss, atOnce)
		w, drain := p.work[name], drainTime
		if w.high < idleWork {
			drain = idleTime
		}
		if w.mean > 0 {
			loss *= square(w.high / w.mean)
		}
		if p.inDomain[domainModel{s.entry.Domain, name}] < 2 {
			loss += p.domainWorth(w.high)
		}
		with := o
		with.victim = name
		with, ok := p.weigh(with, util, loss, took+drain)
		if ok && (!found || with.urgency > best.urgency || with.urgency == best.urgency && name < best.victim) {
			best, found = with, true
		}
	}
	return best, found
}

// weigh sets what an option is worth at a server that is filled to util without it. It
// reports false if that is not enough.
func (p *Planner) weigh(o option, util, loss float64, ready time.Duration) (option, bool) {
	name := o.step.Model.Name
	w := p.work[name]
	gain, needed := 0.0, gainLeast
	if len(p.balance.copies[name]) == 0 {
		gain, needed = p.reach(name), 0
	} else if w.mean > 0 {
		gain = p.balance.gain(name, util) * square(w.low/w.mean)
	}
	if p.inDomain[domainModel{o.step.Server.entry.Domain, name}] == 0 {
		gain += p.domainWorth(w.low)
	}
	margin := 1.0
	if o.victim != "" && needed > 0 {
		margin = moveMargin
	}
	o.worth = gain - margin*loss
	o.urgency = o.worth * math.Exp(-ready.Seconds()/gainFades.Seconds())
	return o, o.worth > 0 && o.worth >= needed && (o.victim == "" || pays(gain, loss, ready))
}

// pays reports whether a copy's gain makes up for what its victim's loss costs from now on, as
// the gain comes only when the copy is there.
func pays(gain, loss float64, ready time.Duration) bool {
	return gain*math.Exp(-ready.Seconds()/demandLasts.Seconds()) > loss
}

// reach is what the only copy of a model is worth.
func (p *Planner) reach(model string) float64 {
	worth := reachWorth + reachWork*p.work[model].mean
	if p.Missing != nil {
		worth *= 1 + p.Missing(model).Seconds()
	}
	return worth
}

// domainWorth is what a model's first copy in a failure domain is worth.
func (p *Planner) domainWorth(work float64) float64 {
	if p.domains < 2 {
		return 0
	}
	return domainShare * square(work/float64(p.domains))
}

func square(x float64) float64 { return x * x }

// take turns an option into the next order, and counts with its outcome from then on.
// It reports false if the weight store bears no more loads now.
func (p *Planner) take(o option) (Step, bool) {
	domain := o.step.Server.entry.Domain
	if o.victim != "" {
		p.balance.remove(o.victim, o.server)
		p.present.remove(o.victim, o.server)
		p.inDomain[domainModel{domain, o.victim}]--
		p.balance.add(o.step.Model.Name, o.server)
		p.inDomain[domainModel{domain, o.step.Model.Name}]++
		return Step{Server: o.step.Server, Unload: true, Model: p.Engine.Models[o.victim], For: o.step.Model.Name}, true
	}
	if !p.begin(&o.step) {
		return Step{}, false
	}
	p.balance.add(o.step.Model.Name, o.server)
	p.inDomain[domainModel{domain, o.step.Model.Name}]++
	return o.step, true
}
