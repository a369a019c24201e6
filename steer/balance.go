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
// division: each model fills its servers to an equal utilization, which includes the work of other
// models.
//
// Load pattern: three quarters of the servers take 2.2 times as long as the others for the same
// work. Counted as equal, slow servers got as many replicas as fast ones and were overloaded first.
// The work of a server is therefore divided by its capacity.
//
// Gain and loss are changes of the sum of w*u over all servers, where w is a server's work, c its
// capacity and u = w/c its utilization. A queue that builds up for a time t at u > 1 takes (u-1)*t,
// whatever the capacity, so waiting is taken to be proportional to u, and w is the work that meets
// it. The sum is that of c*u*u, and it is least where the utilizations are equal. Work m that moves
// from servers with the capacity C at the level L to a server with c at u lowers it by
// C*L*L - C*(L-m/C)*(L-m/C) + c*u*u - c*(u+m/c)*(u+m/c) = 2*m*(L-u) - m*m*(1/C+1/c).

// balanceRounds is how often the work of each model is divided again, given the work of the
// others. The levels converge from round to round.
const balanceRounds = 6

// replica is one replica of a model: the index of its server, and what its part of the model's work
// adds to the utilization of the server.
type replica struct {
	server int
	util   float64
}

// balance is the work of the models divided among the servers. The unit of work is the whole time
// of one server of mean capacity.
type balance struct {
	// util is the work of each server divided by its capacity. The mean capacity is 1.
	util, capacity []float64
	// replicas has the replicas of each model, work the demand for it.
	replicas map[string][]replica
	work     map[string]float64
}

// newBalance divides the work of the models among their replicas at servers of the given capacities.
func newBalance(capacity []float64, replicas map[string][]replica, work map[string]float64) *balance {
	b := &balance{util: make([]float64, len(capacity)), capacity: capacity, replicas: replicas, work: work}
	names := slices.Sorted(maps.Keys(replicas))
	for _, name := range names {
		list := replicas[name]
		for i := range list {
			list[i].util = work[name] / float64(len(list)) / capacity[list[i].server]
			b.util[list[i].server] += list[i].util
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

// divide fills the servers of a model to an equal utilization, given the work of other models there.
func (b *balance) divide(name string) {
	list, work := b.replicas[name], b.work[name]
	for i := range list {
		b.util[list[i].server] -= list[i].util
	}
	slices.SortFunc(list, func(x, y replica) int {
		return cmp.Or(cmp.Compare(b.util[x.server], b.util[y.server]), cmp.Compare(x.server, y.server))
	})
	sum, capacity, level := work, 0.0, 0.0
	for i := range list {
		c := b.capacity[list[i].server]
		sum += b.util[list[i].server] * c
		capacity += c
		level = sum / capacity
		if i+1 == len(list) || level <= b.util[list[i+1].server] {
			break
		}
	}
	for i := range list {
		list[i].util = max(level-b.util[list[i].server], 0)
		b.util[list[i].server] += list[i].util
	}
}

// level returns the utilization of the servers that get work of a model, and their total capacity.
func (b *balance) level(name string) (level, capacity float64) {
	for _, r := range b.replicas[name] {
		if r.util > 0 || capacity == 0 {
			level = max(level, b.util[r.server])
			capacity += b.capacity[r.server]
		}
	}
	return level, capacity
}

// gain returns the benefit of one more replica at a server whose utilization is util without it:
// the decrease of the waiting, weighted by the work that meets it.
func (b *balance) gain(name string, server int, util float64) float64 {
	level, others := b.level(name)
	if others == 0 || util >= level {
		return 0
	}
	own := b.capacity[server]
	// At most the larger part moves, as the present servers keep some of the model's work.
	largerPart := max(others, own) / (others + own)
	// combined is 1/(1/C+1/c).
	combined := own * others / (others + own)
	moved := min((level-util)*combined, b.work[name]*largerPart)
	return 2*moved*(level-util) - moved*moved/combined
}

// loss returns the cost of removing a replica by the same measure, and the utilization of its
// server afterwards. The relief of that server reduces the cost.
func (b *balance) loss(name string, server int) (loss, util float64) {
	others, level, own := 0.0, 0.0, 0.0
	for _, r := range b.replicas[name] {
		if r.server == server {
			own = r.util
			continue
		}
		others += b.capacity[r.server]
		level = max(level, b.util[r.server])
	}
	util = b.util[server] - own
	if own == 0 || others == 0 {
		return 0, util
	}
	share := own * b.capacity[server]
	relieved := b.capacity[server] * (b.util[server]*b.util[server] - util*util)
	return max(2*share*level+share*share/others-relieved, 0), util
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
	b.util[server] -= list[i].util
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
