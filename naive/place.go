package naive

import (
	"cmp"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// PoolModel is a model with its adapters, and the pool whose servers can load it.
type PoolModel struct {
	Pool  string
	Model wire.Model
}

func (m PoolModel) totalBytes() int {
	total := m.Model.Bytes
	for _, a := range m.Model.Adapters {
		total += a.Bytes
	}
	return total
}

// Artifacts returns the model and its adapters.
func (m PoolModel) Artifacts() []ctrl.Artifact {
	all := []ctrl.Artifact{{Model: m.Model.Name, Version: m.Model.Version, Bytes: m.Model.Bytes}}
	for _, a := range m.Model.Adapters {
		all = append(all, ctrl.Artifact{Model: m.Model.Name, Adapter: a.Name, Version: a.Version, Bytes: a.Bytes})
	}
	return all
}

// Placement maps the name of a server to the models and adapters that it should load.
type Placement map[string][]ctrl.Artifact

// Place returns a static, even placement. The first round places one replica of each model, largest
// first, on the server with the most free memory. Further rounds add replicas up to the given
// number, and prefer failure domains with fewer replicas of the model. The second result lists the
// models that fit on no server.
func Place(servers []wire.Server, models []PoolModel, replicas int) (Placement, []PoolModel) {
	p := &placer{placement: make(Placement), freeBytes: make(map[string]int), domainReplicas: make(map[string]map[string]int)}
	for _, s := range servers {
		p.freeBytes[s.Name] = s.MemoryBytes
	}
	p.servers = slices.Clone(servers)
	slices.SortFunc(p.servers, func(a, b wire.Server) int { return cmp.Compare(a.Name, b.Name) })
	ordered := slices.Clone(models)
	slices.SortFunc(ordered, func(a, b PoolModel) int {
		return cmp.Or(cmp.Compare(b.totalBytes(), a.totalBytes()), cmp.Compare(a.Model.Name, b.Model.Name))
	})
	var unplaced []PoolModel
	for round := range replicas {
		for _, poolModel := range ordered {
			if !p.placeReplica(poolModel) && round == 0 {
				unplaced = append(unplaced, poolModel)
			}
		}
	}
	return p.placement, unplaced
}

// placer builds a Placement one replica at a time.
type placer struct {
	servers        []wire.Server
	placement      Placement
	freeBytes      map[string]int
	domainReplicas map[string]map[string]int
}

// placeReplica places one more replica of a model. It reports false if no server has capacity for it.
func (p *placer) placeReplica(poolModel PoolModel) bool {
	best := -1
	for i, s := range p.servers {
		if s.Pool != poolModel.Pool || p.freeBytes[s.Name] < poolModel.totalBytes() || p.isPlaced(s.Name, poolModel.Model.Name) {
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
	if p.domainReplicas[poolModel.Model.Name] == nil {
		p.domainReplicas[poolModel.Model.Name] = make(map[string]int)
	}
	p.domainReplicas[poolModel.Model.Name][s.FailureDomain]++
	return true
}

// preferred reports whether server a is preferred to b: its failure domain has fewer replicas of
// the model, or the same number and a has more free memory.
func (p *placer) preferred(poolModel PoolModel, a, b wire.Server) bool {
	replicas := p.domainReplicas[poolModel.Model.Name]
	if replicas[a.FailureDomain] != replicas[b.FailureDomain] {
		return replicas[a.FailureDomain] < replicas[b.FailureDomain]
	}
	return p.freeBytes[a.Name] > p.freeBytes[b.Name]
}

func (p *placer) isPlaced(server, model string) bool {
	return slices.ContainsFunc(p.placement[server], func(a ctrl.Artifact) bool { return a.Model == model })
}
