package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Load pattern: demand moves to other models in a fleet of thousands of servers. A plan that compares each
// server, with each replica that could be replaced there, for each model that wants a replica, and
// again for each replica it gets, takes seconds to minutes, in which nothing is loaded and the controller
// answers no VM. Nearly all of these servers are equally good or clearly worse.
//
// With many servers, a plan therefore compares only a few in each failure domain: those with memory to
// spare and the least utilization, those whose least useful replica costs least, and those that have the
// weights in a cache. The lists are sorted once for each plan.

const (
	// maxComparedServers is the number of servers up to which a plan compares all of them.
	maxComparedServers = 200
	// shortlistLength is how many servers of each kind and failure domain are compared otherwise. A
	// plan sends at most one order to each server, and a model rarely gets more than a few replicas.
	shortlistLength = 8
)

// shortlist has the candidates of one failure domain in the order in which they are compared, as
// indices in Planner.candidates.
type shortlist struct {
	// byWork is ordered by the utilization of the servers, least first, and servers of equal
	// utilization by capacity, largest first. bySpare is ordered by the loss of the
	// replica that costs least, among those of models with other replicas, and byIdle by the
	// time since the model of a last replica was requested, longest first.
	byWork, bySpare, byIdle []int
}

// comparedCandidates returns the candidates that are compared for one more replica of a model.
func (p *Planner) comparedCandidates(m routes.Model) []int {
	if len(p.candidates) <= maxComparedServers {
		return p.allCandidates
	}
	if p.shortlists == nil {
		p.buildShortlists()
	}
	compared := make(map[int]bool)
	free := func(i int) bool { return p.candidates[i].usedMemoryMB+m.SizeMB <= p.Engine.WeightMemoryMB }
	first := len(p.planned.replicas[m.Name]) == 0
	for _, list := range p.shortlists {
		p.addCompared(compared, list.byWork, m, free)
		p.addCompared(compared, list.bySpare, m, nil)
		if first {
			p.addCompared(compared, list.byIdle, m, nil)
		}
	}
	for _, i := range p.cachedAt[m.Name] {
		compared[i] = true
	}
	return slices.Sorted(maps.Keys(compared))
}

// addCompared adds the first candidates of a list that may get the model; accept is a further
// condition, nil for none.
func (p *Planner) addCompared(compared map[int]bool, list []int, m routes.Model, accept func(i int) bool) {
	n := 0
	for _, i := range list {
		if n == shortlistLength {
			return
		}
		if p.ordered[p.candidates[i].Server] || p.candidates[i].models[m.Name] != nil || accept != nil && !accept(i) {
			continue
		}
		compared[i] = true
		n++
	}
}

// buildShortlists sorts the candidates that accept orders for each failure domain, and lists those that
// have weights in a cache.
func (p *Planner) buildShortlists() {
	p.shortlists, p.cachedAt = make(map[string]*shortlist), make(map[string][]int)
	spareLoss, idleTime := make([]float64, len(p.candidates)), make([]float64, len(p.candidates))
	for i, s := range p.candidates {
		if !s.acceptsOrders || s.ReservedFor(p.Now) != "" {
			continue
		}
		list := p.shortlists[s.entry.Domain]
		if list == nil {
			list = &shortlist{}
			p.shortlists[s.entry.Domain] = list
		}
		list.byWork = append(list.byWork, i)
		if spareLoss[i] = p.leastSpareLoss(i); !math.IsInf(spareLoss[i], 1) {
			list.bySpare = append(list.bySpare, i)
		}
		if idleTime[i] = p.longestIdleTime(i); idleTime[i] > 0 {
			list.byIdle = append(list.byIdle, i)
		}
		p.addCached(i)
	}
	for _, list := range p.shortlists {
		sortBy(list.byWork, func(i int) float64 { return -p.planned.capacity[i] })
		slices.SortStableFunc(list.byWork, func(a, b int) int { return cmp.Compare(p.planned.util[a], p.planned.util[b]) })
		sortBy(list.bySpare, func(i int) float64 { return spareLoss[i] })
		sortBy(list.byIdle, func(i int) float64 { return -idleTime[i] })
	}
}

// sortBy sorts indices by a key, and equal ones by index.
func sortBy(list []int, key func(i int) float64) {
	slices.SortFunc(list, func(a, b int) int { return cmp.Or(cmp.Compare(key(a), key(b)), cmp.Compare(a, b)) })
}

// leastSpareLoss returns the loss of the replica at a candidate that costs least, of those whose models
// have other replicas; infinity if there is none.
func (p *Planner) leastSpareLoss(i int) float64 {
	least := math.Inf(1)
	for name, r := range p.candidates[i].models {
		if r.phase == loaded && len(p.current.replicas[name]) > 1 {
			loss, _ := p.planned.loss(name, i)
			least = min(least, loss)
		}
	}
	return least
}

// longestIdleTime returns the longest time in seconds for which the model of a last replica at a
// candidate has not been requested; 0 if there is no last replica.
func (p *Planner) longestIdleTime(i int) float64 {
	longest := 0.0
	for name, r := range p.candidates[i].models {
		if r.phase != loaded || len(p.current.replicas[name]) != 1 || p.SinceRequested == nil {
			continue
		}
		idle, requested := p.SinceRequested(name)
		if !requested {
			return math.Inf(1)
		}
		longest = max(longest, idle.Seconds())
	}
	return longest
}

// addCached lists a candidate for each model whose weights it has in a cache, up to shortlistLength
// candidates for each model.
func (p *Planner) addCached(i int) {
	cache := p.candidates[i].cache
	for _, names := range [][]string{cache.memory, cache.disk} {
		for _, name := range names {
			if len(p.cachedAt[name]) < shortlistLength {
				p.cachedAt[name] = append(p.cachedAt[name], i)
			}
		}
	}
}
