package steer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Step is one order that the plan wants: to load or unload a model at a server.
type Step struct {
	Server *Server
	Unload bool
	Model  routes.Model
	// Store says that the load comes from the weight store.
	Store bool
	Time  time.Duration
}

// Planner turns demand into the next model orders of a service. It keeps
// nothing between calls.
//
// Each model has at least one copy. The memory that remains goes, copy by copy,
// to the model with the most work for each copy it has (the divisor method of
// D'Hondt, which divides seats in proportion to votes). A copy is taken from
// another model only when that one then still has less work a copy, by a
// margin, and by more than chance explains: a model that gets a copy counts with
// the least work it may have, one that loses it with the most. Otherwise dozens of
// models move in the first second of a demand, when each was asked for a few
// times.
type Planner struct {
	Engine  *routes.Engine
	Servers []*Server
	// Work returns the work asked for of a model lately, Spread its standard error;
	// nil for none.
	Work, Spread func(model string) float64
	// Load returns how much a server has to do, for the choice among equals.
	Load func(id string) int
	// Store reports whether one more load from the weight store may begin, and
	// counts it as begun when it says so.
	Store func() bool
	// Awaited reports whether a model without a copy is likely at a server that is not
	// listed yet; nil for never.
	Awaited func(model string) bool
	Now     time.Time

	// These are counted once for each plan: with a thousand models and as many
	// servers, counting again for each choice would take seconds.
	work     map[string]estimate
	have     map[string]int
	target   map[string]int
	inDomain map[domainModel]int
	staying  []stayer
}

// stayer is a server that models can be placed on.
type stayer struct {
	*Server
	// mb is what it holds, free whether it takes orders now.
	mb   float64
	free bool
	load int
}

// estimate is the least and the most work that is likely asked for of a model.
type estimate struct{ low, high float64 }

type domainModel struct{ domain, model string }

// moveMargin is how much more work a copy must carry at the model that gets it
// than at the one that loses it.
const moveMargin = 1.5

// Steps returns the next orders, at most one for each server.
func (p *Planner) Steps() []Step {
	p.count()
	p.target = p.targets()
	used := make(map[*Server]bool)
	var steps []Step
	for _, m := range p.lacking() {
		if step, ok := p.place(m, used); ok {
			used[step.Server] = true
			steps = append(steps, step)
		}
	}
	return steps
}

// count takes stock: the work for each model, and the copies that stay. Those
// at servers that are leaving do not.
func (p *Planner) count() {
	p.work = make(map[string]estimate, len(p.Engine.Models))
	for name := range p.Engine.Models {
		work, spread := p.Work(name), 0.0
		if p.Spread != nil {
			spread = p.Spread(name)
		}
		p.work[name] = estimate{low: max(work-spread, 0), high: work + spread}
	}
	p.have, p.inDomain, p.staying = make(map[string]int), make(map[domainModel]int), nil
	for _, s := range p.Servers {
		if s.entry.Draining || s.Down() {
			continue
		}
		p.staying = append(p.staying, stayer{Server: s, mb: s.weight(p.Engine), free: s.Free(p.Now), load: p.Load(s.entry.ID)})
		for name, r := range s.models {
			if r.phase != leaving {
				p.have[name]++
				p.inDomain[domainModel{s.entry.Domain, name}]++
			}
		}
	}
}

// targets divides the memory of the staying servers among the models. A copy
// that is there already counts for more than one that would have to be loaded.
func (p *Planner) targets() map[string]int {
	room := float64(len(p.staying)) * p.Engine.MemoryMB
	target := make(map[string]int, len(p.Engine.Models))
	var claims claimHeap
	for name, m := range p.Engine.Models {
		target[name] = 1
		room -= m.MB
		if p.work[name].high > 0 {
			claims = append(claims, p.claim(m, 1))
		}
	}
	heap.Init(&claims)
	for len(claims) > 0 {
		best := &claims[0]
		name := best.model.Name
		if best.score == 0 || target[name] >= len(p.staying) || best.model.MB > room {
			heap.Pop(&claims)
			continue
		}
		target[name]++
		room -= best.model.MB
		*best = p.claim(best.model, target[name])
		heap.Fix(&claims, 0)
	}
	return target
}

// claim is what a model's next copy is worth.
type claim struct {
	model routes.Model
	score float64
}

func (p *Planner) claim(m routes.Model, copies int) claim {
	w := p.work[m.Name]
	if copies < p.have[m.Name] {
		return claim{model: m, score: moveMargin * w.high / float64(copies)}
	}
	return claim{model: m, score: w.low / float64(copies)}
}

// claimHeap has the best claim first.
type claimHeap []claim

func (h claimHeap) Len() int { return len(h) }

func (h claimHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].model.Name < h[j].model.Name
}

func (h claimHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) { *h = append(*h, x.(claim)) }

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// lacking returns the models with fewer copies than wanted, those without any
// first, then by the work that the next copy would take.
func (p *Planner) lacking() []routes.Model {
	have, target := p.have, p.target
	var list []routes.Model
	for name, m := range p.Engine.Models {
		if have[name] >= target[name] || have[name] == 0 && p.Awaited != nil && p.Awaited(name) {
			continue
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b routes.Model) int {
		if none := cmp.Compare(min(have[a.Name], 1), min(have[b.Name], 1)); none != 0 {
			return none
		}
		if byWork := cmp.Compare(p.gain(b.Name), p.gain(a.Name)); byWork != 0 {
			return byWork
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}

// gain is the least work that one more copy of a model would carry, loss the most
// that each of the others would if it had one less.
func (p *Planner) gain(model string) float64 {
	return p.work[model].low / float64(p.have[model]+1)
}

func (p *Planner) loss(model string) float64 {
	return p.work[model].high / float64(max(p.have[model]-1, 1))
}

// option is a server that could take a model.
type option struct {
	step Step
	// victim is the model to unload first, "" for none.
	victim string
	// far is how many copies its failure domain has: copies are spread, so that
	// a domain that is cut off or lost takes few of them along.
	far  int
	load int
}

// place returns the next order towards one more copy of a model.
func (p *Planner) place(m routes.Model, used map[*Server]bool) (Step, bool) {
	var best option
	found := false
	for _, s := range p.staying {
		if !s.free || used[s.Server] || s.models[m.Name] != nil {
			continue
		}
		o, ok := p.option(s, m)
		if ok && (!found || compareOptions(o, best) < 0) {
			best, found = o, true
		}
	}
	if !found {
		return Step{}, false
	}
	if best.victim != "" {
		p.have[best.victim]--
		return Step{Server: best.step.Server, Unload: true, Model: p.Engine.Models[best.victim]}, true
	}
	if best.step.Store && !p.Store() {
		return Step{}, false
	}
	p.have[m.Name]++
	return best.step, true
}

func compareOptions(a, b option) int {
	return cmp.Or(
		cmp.Compare(min(len(a.victim), 1), min(len(b.victim), 1)),
		cmp.Compare(a.step.Time, b.step.Time),
		cmp.Compare(a.far, b.far),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.step.Server.entry.ID, b.step.Server.entry.ID),
	)
}

func (p *Planner) option(s stayer, m routes.Model) (option, bool) {
	took, store := s.loadTime(m)
	o := option{step: Step{Server: s.Server, Model: m, Store: store, Time: took}, far: p.inDomain[domainModel{s.entry.Domain, m.Name}], load: s.load}
	if s.mb+m.MB <= p.Engine.MemoryMB {
		return o, true
	}
	o.victim = p.victim(s.Server, m)
	return o, o.victim != ""
}

// victim returns the model at a server that can best spare its copy for m. The
// last copy of a model is never taken.
func (p *Planner) victim(s *Server, m routes.Model) string {
	have, target := p.have, p.target
	best, least := "", 0.0
	gain := p.gain(m.Name)
	for name, r := range s.models {
		if r.phase != held || have[name] <= max(target[name], 1) {
			continue
		}
		loss := p.loss(name)
		if have[m.Name] > 0 && gain < moveMargin*loss {
			continue
		}
		if best == "" || loss < least || loss == least && name < best {
			best, least = name, loss
		}
	}
	return best
}
