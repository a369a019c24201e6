package naive

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/plan"
)

// LRUPlacer places models like an LRU cache per failure domain. If callers in a domain request a
// model that none of its servers has loaded, one of the servers loads it and evicts the models that
// were least recently requested in that domain. The last replica of a model is never evicted. The zero
// value is ready to use and has no recorded requests.
type LRUPlacer struct {
	lastUsed map[string]map[string]time.Time // by failure domain and model
}

// RecordUse records that callers in a failure domain request models at time now.
func (p *LRUPlacer) RecordUse(now time.Time, domain string, models []string) {
	if p.lastUsed == nil {
		p.lastUsed = make(map[string]map[string]time.Time)
	}
	if p.lastUsed[domain] == nil {
		p.lastUsed[domain] = make(map[string]time.Time)
	}
	for _, m := range models {
		p.lastUsed[domain][m] = now
	}
}

// recentUseWindow is the maximum age of a request for a model that makes Place load it.
const recentUseWindow = 2 * time.Second

// Place returns the placement for the requests recorded by RecordUse.
func (p *LRUPlacer) Place(now time.Time, in plan.Input) plan.Output {
	singleReplicas := plan.Make(plan.Input{Servers: in.Servers, Models: withoutDemand(in.Models), Replicas: 1})
	placement := singleReplicas.Placement
	for _, m := range in.Models {
		for domain, models := range p.lastUsed {
			if lastUse, ok := models[m.Name]; ok && now.Sub(lastUse) < recentUseWindow {
				p.loadIntoDomain(m, domain, in, placement)
			}
		}
	}
	return plan.Output{Placement: placement, Unplaced: singleReplicas.Unplaced}
}

// withoutDemand returns the models with zero demand, so that plan.Make places one replica of each.
func withoutDemand(models []plan.Model) []plan.Model {
	all := slices.Clone(models)
	for i := range all {
		all[i].Demand = 0
	}
	return all
}

// loadIntoDomain adds a model to the server of a failure domain that needs the fewest evictions for it.
// It does nothing if the model is already placed on a server in the domain.
func (p *LRUPlacer) loadIntoDomain(m plan.Model, domain string, in plan.Input, placement map[string][]string) {
	var best plan.Server
	var evictions []string
	for _, server := range in.Servers {
		if server.Domain != domain || server.Pool != m.Pool {
			continue
		}
		if slices.Contains(placement[server.Name], m.Name) {
			return
		}
		serverEvictions, ok := p.selectEvictions(m, server, in, placement)
		if ok && (best.Name == "" || len(serverEvictions) < len(evictions)) {
			best, evictions = server, serverEvictions
		}
	}
	if best.Name == "" {
		return
	}
	placement[best.Name] = append(slices.DeleteFunc(slices.Clone(placement[best.Name]), func(n string) bool { return slices.Contains(evictions, n) }), m.Name)
}

// selectEvictions returns the models to evict from a server to free memory for m, least recently used
// first. It reports false if the evictions do not free enough memory.
func (p *LRUPlacer) selectEvictions(m plan.Model, server plan.Server, in plan.Input, placement map[string][]string) ([]string, bool) {
	sizeBytes := make(map[string]int)
	for _, other := range in.Models {
		sizeBytes[other.Name] = other.Bytes
	}
	freeBytes := server.MemoryBytes
	for _, name := range placement[server.Name] {
		freeBytes -= sizeBytes[name]
	}
	candidates := slices.Clone(placement[server.Name])
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(p.lastUsed[server.Domain][a].Compare(p.lastUsed[server.Domain][b]), cmp.Compare(a, b))
	})
	var evictions []string
	for _, name := range candidates {
		if freeBytes >= m.Bytes {
			break
		}
		if replicaCount(name, placement) < 2 {
			continue
		}
		evictions = append(evictions, name)
		freeBytes += sizeBytes[name]
	}
	return evictions, freeBytes >= m.Bytes
}

// replicaCount returns the number of servers on which a model is placed.
func replicaCount(model string, placement map[string][]string) int {
	n := 0
	for _, names := range placement {
		if slices.Contains(names, model) {
			n++
		}
	}
	return n
}
