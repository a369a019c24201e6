package naive

import (
	"cmp"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// PoolModel is a model with its adapters, and the pool whose servers hold it.
type PoolModel struct {
	Pool  string
	Model wire.Model
}

func (d PoolModel) totalBytes() int {
	total := d.Model.Bytes
	for _, a := range d.Model.Adapters {
		total += a.Bytes
	}
	return total
}

// Artifacts returns the model and its adapters.
func (d PoolModel) Artifacts() []ctrl.Artifact {
	all := []ctrl.Artifact{{Model: d.Model.Name, Version: d.Model.Version, Bytes: d.Model.Bytes}}
	for _, a := range d.Model.Adapters {
		all = append(all, ctrl.Artifact{Model: d.Model.Name, Adapter: a.Name, Version: a.Version, Bytes: a.Bytes})
	}
	return all
}

// Placement maps the name of a server to the models and adapters that it should hold.
type Placement map[string][]ctrl.Artifact

// Place returns a static, even placement. The first round places one copy of each model, largest first,
// on the server with the most free memory. Further rounds add copies up to the given number, and prefer
// failure domains with fewer copies of the model. The second result lists the models that fit on no
// server.
func Place(servers []wire.Server, demands []PoolModel, copies int) (Placement, []PoolModel) {
	p := &placer{placement: make(Placement), freeBytes: make(map[string]int), domainCopies: make(map[string]map[string]int)}
	for _, s := range servers {
		p.freeBytes[s.Name] = s.MemoryBytes
	}
	p.servers = slices.Clone(servers)
	slices.SortFunc(p.servers, func(a, b wire.Server) int { return cmp.Compare(a.Name, b.Name) })
	ordered := slices.Clone(demands)
	slices.SortFunc(ordered, func(a, b PoolModel) int {
		return cmp.Or(cmp.Compare(b.totalBytes(), a.totalBytes()), cmp.Compare(a.Model.Name, b.Model.Name))
	})
	var unplaced []PoolModel
	for round := range copies {
		for _, poolModel := range ordered {
			if !p.placeCopy(poolModel) && round == 0 {
				unplaced = append(unplaced, poolModel)
			}
		}
	}
	return p.placement, unplaced
}

// placer builds a Placement one copy at a time.
type placer struct {
	servers      []wire.Server
	placement    Placement
	freeBytes    map[string]int
	domainCopies map[string]map[string]int
}

// placeCopy places one more copy of a model. It reports false if no server has capacity for it.
func (p *placer) placeCopy(poolModel PoolModel) bool {
	best := -1
	for i, s := range p.servers {
		if s.Pool != poolModel.Pool || p.freeBytes[s.Name] < poolModel.totalBytes() || p.holds(s.Name, poolModel.Model.Name) {
			continue
		}
		if best < 0 || p.preferred(poolModel, s, p.servers[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	s := p.servers[best]
	p.placement[s.Name] = append(p.placement[s.Name], poolModel.Artifacts()...)
	p.freeBytes[s.Name] -= poolModel.totalBytes()
	if p.domainCopies[poolModel.Model.Name] == nil {
		p.domainCopies[poolModel.Model.Name] = make(map[string]int)
	}
	p.domainCopies[poolModel.Model.Name][s.FailureDomain]++
	return true
}

// preferred reports whether server a is preferred to b: its failure domain has fewer copies of the
// model, or the same number and a has more free memory.
func (p *placer) preferred(poolModel PoolModel, a, b wire.Server) bool {
	copies := p.domainCopies[poolModel.Model.Name]
	if copies[a.FailureDomain] != copies[b.FailureDomain] {
		return copies[a.FailureDomain] < copies[b.FailureDomain]
	}
	return p.freeBytes[a.Name] > p.freeBytes[b.Name]
}

func (p *placer) holds(server, model string) bool {
	return slices.ContainsFunc(p.placement[server], func(a ctrl.Artifact) bool { return a.Model == model })
}
