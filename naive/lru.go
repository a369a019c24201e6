package naive

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/plan"
)

// Swap places models as a cache does: a failure domain whose callers ask for a
// model that none of its servers holds loads it, in the place of the models
// that have not been asked for there for the longest time. It never drops the
// last copy of a model. The zero value has seen nothing.
type Swap struct {
	used map[string]map[string]time.Time // by domain and model
}

// Use notes that a domain's callers are asking for models now.
func (s *Swap) Use(now time.Time, domain string, models []string) {
	if s.used == nil {
		s.used = make(map[string]map[string]time.Time)
	}
	if s.used[domain] == nil {
		s.used[domain] = make(map[string]time.Time)
	}
	for _, m := range models {
		s.used[domain][m] = now
	}
}

// recent is how long ago a use still counts as one.
const recent = 2 * time.Second

// Make returns the placement that follows from the uses.
func (s *Swap) Make(now time.Time, in plan.Input) plan.Output {
	first := plan.Make(plan.Input{Servers: in.Servers, Models: quiet(in.Models), Replicas: 1})
	holds := first.Placement
	for _, m := range in.Models {
		for domain, used := range s.used {
			if at, ok := used[m.Name]; ok && now.Sub(at) < recent {
				s.bring(m, domain, in, holds)
			}
		}
	}
	return plan.Output{Placement: holds, Unplaced: first.Unplaced}
}

// quiet returns the models without demand, so that each just gets its one copy.
func quiet(models []plan.Model) []plan.Model {
	all := slices.Clone(models)
	for i := range all {
		all[i].Demand = 0
	}
	return all
}

// bring loads a model into a domain that does not hold it.
func (s *Swap) bring(m plan.Model, domain string, in plan.Input, holds map[string][]string) {
	var best plan.Server
	var drop []string
	for _, server := range in.Servers {
		if server.Domain != domain || server.Pool != m.Pool {
			continue
		}
		if slices.Contains(holds[server.Name], m.Name) {
			return
		}
		victims, ok := s.victims(m, server, in, holds)
		if ok && (best.Name == "" || len(victims) < len(drop)) {
			best, drop = server, victims
		}
	}
	if best.Name == "" {
		return
	}
	holds[best.Name] = append(slices.DeleteFunc(slices.Clone(holds[best.Name]), func(n string) bool { return slices.Contains(drop, n) }), m.Name)
}

// victims returns the models to drop from a server, least recently used first.
func (s *Swap) victims(m plan.Model, server plan.Server, in plan.Input, holds map[string][]string) ([]string, bool) {
	sizes := make(map[string]int)
	for _, other := range in.Models {
		sizes[other.Name] = other.Bytes
	}
	free := server.MemoryBytes
	for _, name := range holds[server.Name] {
		free -= sizes[name]
	}
	candidates := slices.Clone(holds[server.Name])
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(s.used[server.Domain][a].Compare(s.used[server.Domain][b]), cmp.Compare(a, b))
	})
	var drop []string
	for _, name := range candidates {
		if free >= m.Bytes {
			break
		}
		if copiesOf(name, holds) < 2 {
			continue
		}
		drop = append(drop, name)
		free += sizes[name]
	}
	return drop, free >= m.Bytes
}

func copiesOf(model string, holds map[string][]string) int {
	n := 0
	for _, names := range holds {
		if slices.Contains(names, model) {
			n++
		}
	}
	return n
}
