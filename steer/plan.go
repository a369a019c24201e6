package steer

import (
	"cmp"
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
// margin, so that noise in the demand moves nothing.
type Planner struct {
	Engine  *routes.Engine
	Servers []*Server
	// Work returns the work asked for of a model lately.
	Work func(model string) float64
	// Load returns how much a server has to do, for the choice among equals.
	Load func(id string) int
	// Store reports whether one more load from the weight store may begin.
	Store func() bool
	Now   time.Time
}

// moveMargin is how much more work a copy must carry at the model that gets it
// than at the one that loses it.
const moveMargin = 1.5

// Steps returns the next orders, at most one for each server.
func (p *Planner) Steps() []Step {
	have := p.copies()
	target := p.targets()
	used := make(map[*Server]bool)
	var steps []Step
	for _, m := range p.lacking(have, target) {
		if step, ok := p.place(m, have, target, used); ok {
			used[step.Server] = true
			steps = append(steps, step)
		}
	}
	return steps
}

// copies counts the copies that stay: at servers that are leaving they do not.
func (p *Planner) copies() map[string]int {
	have := make(map[string]int)
	for _, s := range p.Servers {
		for name, r := range s.models {
			if r.phase != leaving && !s.entry.Draining {
				have[name]++
			}
		}
	}
	return have
}

// staying returns the servers that models can be placed on.
func (p *Planner) staying() []*Server {
	return slices.DeleteFunc(slices.Clone(p.Servers), func(s *Server) bool { return s.entry.Draining })
}

// targets divides the memory of the staying servers among the models.
func (p *Planner) targets() map[string]int {
	servers := len(p.staying())
	room := float64(servers) * p.Engine.MemoryMB
	target := make(map[string]int)
	for name, m := range p.Engine.Models {
		target[name] = 1
		room -= m.MB
	}
	for {
		best, score := "", 0.0
		for name, m := range p.Engine.Models {
			if target[name] >= servers || m.MB > room {
				continue
			}
			s := p.Work(name) / float64(target[name])
			if s > score || s == score && s > 0 && name < best {
				best, score = name, s
			}
		}
		if best == "" {
			return target
		}
		target[best]++
		room -= p.Engine.Models[best].MB
	}
}

// lacking returns the models with fewer copies than wanted, those without any
// first, then by the work that the next copy would take.
func (p *Planner) lacking(have, target map[string]int) []routes.Model {
	var list []routes.Model
	for name, m := range p.Engine.Models {
		if have[name] < target[name] {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b routes.Model) int {
		if none := cmp.Compare(min(have[a.Name], 1), min(have[b.Name], 1)); none != 0 {
			return none
		}
		if byWork := cmp.Compare(p.perCopy(b.Name, have[b.Name]+1), p.perCopy(a.Name, have[a.Name]+1)); byWork != 0 {
			return byWork
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}

func (p *Planner) perCopy(model string, copies int) float64 {
	return p.Work(model) / float64(max(copies, 1))
}

// option is a server that could take a model.
type option struct {
	step Step
	// victim is the model to unload first, "" for none.
	victim string
	far    int
	load   int
}

// place returns the next order towards one more copy of a model.
func (p *Planner) place(m routes.Model, have, target map[string]int, used map[*Server]bool) (Step, bool) {
	var options []option
	for _, s := range p.staying() {
		if used[s] || !s.Free(p.Now) || s.models[m.Name] != nil {
			continue
		}
		if o, ok := p.option(s, m, have, target); ok {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return Step{}, false
	}
	o := slices.MinFunc(options, compareOptions)
	if o.victim != "" {
		have[o.victim]--
		return Step{Server: o.step.Server, Unload: true, Model: p.Engine.Models[o.victim]}, true
	}
	if o.step.Store && !p.Store() {
		return Step{}, false
	}
	have[m.Name]++
	return o.step, true
}

func compareOptions(a, b option) int {
	return cmp.Or(
		cmp.Compare(len(a.victim), 0)-cmp.Compare(len(b.victim), 0),
		cmp.Compare(a.step.Time, b.step.Time),
		cmp.Compare(a.far, b.far),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.step.Server.entry.ID, b.step.Server.entry.ID),
	)
}

func (p *Planner) option(s *Server, m routes.Model, have, target map[string]int) (option, bool) {
	took, store := s.loadTime(m)
	o := option{step: Step{Server: s, Model: m, Store: store, Time: took}, far: p.copiesIn(s.entry.Domain, m.Name), load: p.Load(s.entry.ID)}
	if s.weight(p.Engine)+m.MB <= p.Engine.MemoryMB {
		return o, true
	}
	o.victim = p.victim(s, m, have, target)
	return o, o.victim != ""
}

// copiesIn counts the copies of a model in a failure domain: copies are spread,
// so that a domain that is cut off or lost takes few of them along.
func (p *Planner) copiesIn(domain, model string) int {
	n := 0
	for _, s := range p.Servers {
		if r := s.models[model]; r != nil && r.phase != leaving && s.entry.Domain == domain {
			n++
		}
	}
	return n
}

// victim returns the model at a server that can best spare its copy for m. The
// last copy of a model is never taken.
func (p *Planner) victim(s *Server, m routes.Model, have, target map[string]int) string {
	best, least := "", 0.0
	gain := p.perCopy(m.Name, have[m.Name]+1)
	for name, r := range s.models {
		if r.phase != held || have[name] <= max(target[name], 1) {
			continue
		}
		loss := p.perCopy(name, have[name]-1)
		if have[m.Name] > 0 && gain < moveMargin*loss {
			continue
		}
		if best == "" || loss < least || loss == least && name < best {
			best, least = name, loss
		}
	}
	return best
}
