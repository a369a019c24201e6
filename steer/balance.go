package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Load pattern: a few models have nearly all of the demand, and each server has memory for several
// of them. A further replica on a server that is already busy adds no capacity, however much work
// its model has. What matters is how the work of all models can be divided among the servers that
// have them loaded. Requests go to the shortest queue, so the balance assumes the resulting
// division: each model fills its servers to an equal level, which includes the work of other
// models.

// balanceRounds is how often the work of each model is divided again, given the work of the
// others. The levels converge from round to round.
const balanceRounds = 6

// replica is one replica of a model: the index of its server, and its share of the model's work.
type replica struct {
	server int
	share  float64
}

// balance is the work of the models divided among the servers. The unit of work is the whole time
// of one server.
type balance struct {
	// util is the work of each server.
	util []float64
	// replicas has the replicas of each model, work the demand for it.
	replicas map[string][]replica
	work     map[string]float64
}

// newBalance divides the work of the models among their replicas.
func newBalance(servers int, replicas map[string][]replica, work map[string]float64) *balance {
	b := &balance{util: make([]float64, servers), replicas: replicas, work: work}
	names := slices.Sorted(maps.Keys(replicas))
	for _, name := range names {
		list := replicas[name]
		for i := range list {
			list[i].share = work[name] / float64(len(list))
			b.util[list[i].server] += list[i].share
		}
	}
	for range balanceRounds {
		for _, name := range names {
			if len(replicas[name]) > 1 && work[name] > 0 {
				b.divide(name)
			}
		}
	}
	return b
}

// divide fills the servers of a model to an equal level, given the work of other models there.
func (b *balance) divide(name string) {
	list, work := b.replicas[name], b.work[name]
	for i := range list {
		b.util[list[i].server] -= list[i].share
	}
	slices.SortFunc(list, func(x, y replica) int {
		return cmp.Or(cmp.Compare(b.util[x.server], b.util[y.server]), cmp.Compare(x.server, y.server))
	})
	sum, level := work, 0.0
	for i := range list {
		sum += b.util[list[i].server]
		level = sum / float64(i+1)
		if i+1 == len(list) || level <= b.util[list[i+1].server] {
			break
		}
	}
	for i := range list {
		list[i].share = max(level-b.util[list[i].server], 0)
		b.util[list[i].server] += list[i].share
	}
}

// level returns the utilization of the servers that get work of a model, and their number.
func (b *balance) level(name string) (level float64, n int) {
	for _, r := range b.replicas[name] {
		if r.share > 0 || n == 0 {
			level = max(level, b.util[r.server])
			n++
		}
	}
	return level, n
}

// gain returns the benefit of one more replica at a server whose utilization is util without it:
// the decrease of the sum of the servers' squared utilization. The square reflects that a request
// waits for the others at its server.
func (b *balance) gain(name string, util float64) float64 {
	level, n := b.level(name)
	if n == 0 || util >= level {
		return 0
	}
	share := float64(n) / float64(n+1)
	moved := min((level-util)*share, b.work[name]*share)
	return 2*moved*(level-util) - moved*moved/share
}

// loss returns the cost of removing a replica by the same measure, and the utilization of its
// server afterwards. The relief of that server reduces the cost.
func (b *balance) loss(name string, server int) (loss, util float64) {
	otherReplicas, level, share := 0, 0.0, 0.0
	for _, r := range b.replicas[name] {
		if r.server == server {
			share = r.share
			continue
		}
		otherReplicas++
		level = max(level, b.util[r.server])
	}
	util = b.util[server] - share
	if share == 0 || otherReplicas == 0 {
		return 0, util
	}
	relieved := b.util[server]*b.util[server] - util*util
	return max(2*share*level+share*share/float64(otherReplicas)-relieved, 0), util
}

// add adds a replica and remove removes one. Both divide the model's work again.
func (b *balance) add(name string, server int) {
	b.replicas[name] = append(b.replicas[name], replica{server: server})
	b.divide(name)
}

func (b *balance) remove(name string, server int) {
	list := b.replicas[name]
	i := slices.IndexFunc(list, func(r replica) bool { return r.server == server })
	if i < 0 {
		return
	}
	b.util[server] -= list[i].share
	b.replicas[name] = slices.Delete(list, i, i+1)
	if len(b.replicas[name]) > 0 {
		b.divide(name)
	}
}

// plannedReplicas returns the replicas that are loaded, loading, or reserved for a load. It leaves
// out those that are unloading.
func plannedReplicas(e *routes.Engine, servers []candidate, now time.Time) map[string][]replica {
	replicas := make(map[string][]replica, len(e.Models))
	for i, s := range servers {
		if m := s.ReservedFor(now); m != "" {
			replicas[m] = append(replicas[m], replica{server: i})
		}
		for name, r := range s.models {
			if r.phase != unloading {
				replicas[name] = append(replicas[name], replica{server: i})
			}
		}
	}
	return replicas
}

// loadedReplicas returns the replicas that are loaded.
func loadedReplicas(e *routes.Engine, servers []candidate) map[string][]replica {
	replicas := make(map[string][]replica, len(e.Models))
	for i, s := range servers {
		for name, r := range s.models {
			if r.phase == loaded {
				replicas[name] = append(replicas[name], replica{server: i})
			}
		}
	}
	return replicas
}
