package plan

import (
	"cmp"
	"slices"
)

// relieveOverload adds replicas of busy models while that has a net benefit.
func (p *planner) relieveOverload() {
	for range len(p.servers) * 4 {
		if !p.relieveOneServer() {
			return
		}
	}
}

// Bounds of the search for a beneficial replica.
const (
	maxTriedServers = 6
	maxTriedModels  = 3
	maxTriedTargets = 3
)

// relieveOneServer tries the busiest models of the most overloaded servers until it has
// added a replica, and reports whether it has.
func (p *planner) relieveOneServer() bool {
	overloaded := slices.DeleteFunc(slices.Clone(p.servers), func(s *server) bool { return excessLoad(s) == 0 })
	slices.SortStableFunc(overloaded, func(a, b *server) int { return cmp.Compare(excessLoad(b), excessLoad(a)) })
	for _, s := range overloaded[:min(len(overloaded), maxTriedServers)] {
		models := slices.Clone(s.models)
		slices.SortFunc(models, func(a, b *model) int {
			return cmp.Or(cmp.Compare(demandPerReplica(b), demandPerReplica(a)), cmp.Compare(a.Name, b.Name))
		})
		for _, m := range models[:min(len(models), maxTriedModels)] {
			excluded := slices.Clone(m.replicas)
			for range maxTriedTargets {
				target := p.bestTarget(m, excluded, false)
				if target == nil {
					break
				}
				if p.tryReplica(m, target) {
					return true
				}
				excluded = append(excluded, target)
			}
		}
	}
	return false
}

// tryReplica adds a replica of a model and reverts it if it is not worth its moves, that is
// if the load beyond what servers serve in time falls by too little. Because that load falls
// with each replica that stays, two replicas can not evict each other alternately.
func (p *planner) tryReplica(m *model, target *server) bool {
	evicted := p.evictionCandidates(m, target)
	before := p.totalExcessLoad()
	for _, v := range evicted {
		p.remove(v, target)
	}
	p.place(m, target)
	p.distributeDemand()
	moves := 1 + len(evicted)
	relief := before - p.totalExcessLoad()
	if relief >= minRelief && m.AttainmentWeight*relief*p.in.Horizon > (1-m.AttainmentWeight)*float64(moves)*p.in.MoveCost {
		p.additions++
		p.evictions += len(evicted)
		return true
	}
	p.remove(m, target)
	for _, v := range evicted {
		p.place(v, target)
	}
	p.distributeDemand()
	return false
}

// minRelief is the load, in concurrent requests, below which no replica is worth a move:
// the demand estimates are no more accurate.
const minRelief = 0.5

// totalExcessLoad returns the load beyond what servers serve in time, over all servers.
func (p *planner) totalExcessLoad() float64 {
	total := 0.0
	for _, s := range p.servers {
		total += excessLoad(s)
	}
	return total
}

// bestTarget returns the least loaded server of the model's pool that has memory for it,
// including memory that evictions can free. With ignoreLoad it returns the one with the
// most free memory instead.
func (p *planner) bestTarget(m *model, excluded []*server, ignoreLoad bool) *server {
	var best *server
	for _, s := range p.servers {
		if s.Pool != m.Pool || slices.Contains(excluded, s) || slices.Contains(s.models, m) || !p.canFit(m, s) {
			continue
		}
		if best == nil || betterTarget(s, best, m, ignoreLoad) {
			best = s
		}
	}
	return best
}

func betterTarget(a, b *server, m *model, ignoreLoad bool) bool {
	if ignoreLoad {
		aFits, bFits := a.freeBytes >= m.Bytes, b.freeBytes >= m.Bytes
		if aFits != bFits {
			return aFits
		}
		return a.freeBytes > b.freeBytes
	}
	return a.load/float64(a.Slots) < b.load/float64(b.Slots)
}

func (p *planner) canFit(m *model, s *server) bool {
	if s.freeBytes >= m.Bytes {
		return true
	}
	freed := s.freeBytes
	for _, v := range p.evictionCandidates(m, s) {
		freed += v.Bytes
	}
	return freed >= m.Bytes
}

// evictionCandidates returns the models to drop from a server to free memory: replicas that
// another server has too, those with the least demand first. The caller decides whether the
// evictions are worth it.
func (p *planner) evictionCandidates(m *model, s *server) []*model {
	freeBytes := s.freeBytes
	if freeBytes >= m.Bytes {
		return nil
	}
	evictable := slices.DeleteFunc(slices.Clone(s.models), func(v *model) bool {
		return len(v.replicas) < 2 || slices.Contains(s.RecentlyLoaded, v.Name)
	})
	slices.SortFunc(evictable, func(a, b *model) int {
		return cmp.Or(cmp.Compare(demandPerReplica(a), demandPerReplica(b)), cmp.Compare(a.Name, b.Name))
	})
	var candidates []*model
	for _, v := range evictable {
		if freeBytes >= m.Bytes {
			break
		}
		freeBytes += v.Bytes
		candidates = append(candidates, v)
	}
	if freeBytes < m.Bytes {
		return nil
	}
	return candidates
}

func demandPerReplica(m *model) float64 { return m.Demand / float64(max(len(m.replicas), 1)) }

func (p *planner) evictFor(m *model, s *server) {
	for _, v := range p.evictionCandidates(m, s) {
		p.remove(v, s)
		p.evictions++
	}
}
