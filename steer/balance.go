package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Load pattern: a few models have nearly all of the demand, and each server can hold
// several of them. A copy beside one that is busy already adds nothing, however much
// work its model has: what counts is how the work of all models can be divided among
// the servers that hold them. Requests go where the queue is shortest, so a balance is
// what the division comes to: each model fills its servers to a level, those of other
// models included.

// balanceRounds is how often each model's work is divided anew, given that of the
// others; each round takes the levels closer to each other.
const balanceRounds = 6

// copyOf is a copy of a model at a server, by the server's place in the list, and the
// part of the model's work that falls to it.
type copyOf struct {
	server int
	part   float64
}

// balance is the work of models divided among the servers. Work is in servers: 1 takes
// the whole time of one.
type balance struct {
	// util is the work at each server.
	util []float64
	// copies has those of each model, work what is asked for of it.
	copies map[string][]copyOf
	work   map[string]float64
}

// newBalance divides work among the copies.
func newBalance(servers int, copies map[string][]copyOf, work map[string]float64) *balance {
	b := &balance{util: make([]float64, servers), copies: copies, work: work}
	names := slices.Sorted(maps.Keys(copies))
	for _, name := range names {
		list := copies[name]
		for i := range list {
			list[i].part = work[name] / float64(len(list))
			b.util[list[i].server] += list[i].part
		}
	}
	for range balanceRounds {
		for _, name := range names {
			if len(copies[name]) > 1 && work[name] > 0 {
				b.divide(name)
			}
		}
	}
	return b
}

// divide fills the servers of a model level, given what the others have there.
func (b *balance) divide(name string) {
	list, work := b.copies[name], b.work[name]
	for i := range list {
		b.util[list[i].server] -= list[i].part
	}
	slices.SortFunc(list, func(x, y copyOf) int {
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
		list[i].part = max(level-b.util[list[i].server], 0)
		b.util[list[i].server] += list[i].part
	}
}

// level returns how far the servers that carry a model are filled, and how many they
// are.
func (b *balance) level(name string) (level float64, n int) {
	for _, c := range b.copies[name] {
		if c.part > 0 || n == 0 {
			level = max(level, b.util[c.server])
			n++
		}
	}
	return level, n
}

// gain is what a copy more spares at a server that is filled to util without it: the
// sum over the servers of the squares of their filling, as requests wait for those
// that are at the same server.
func (b *balance) gain(name string, util float64) float64 {
	level, n := b.level(name)
	if n == 0 || util >= level {
		return 0
	}
	share := float64(n) / float64(n+1)
	moved := min((level-util)*share, b.work[name]*share)
	return 2*moved*(level-util) - moved*moved/share
}

// loss is what a copy less costs, by the same measure, its server being relieved, and
// what that server is filled to then.
func (b *balance) loss(name string, server int) (loss, util float64) {
	others, level, part := 0, 0.0, 0.0
	for _, c := range b.copies[name] {
		if c.server == server {
			part = c.part
			continue
		}
		others++
		level = max(level, b.util[c.server])
	}
	util = b.util[server] - part
	if part == 0 || others == 0 {
		return 0, util
	}
	relieved := b.util[server]*b.util[server] - util*util
	return max(2*part*level+part*part/float64(others)-relieved, 0), util
}

// add takes in a copy more, remove a copy less.
func (b *balance) add(name string, server int) {
	b.copies[name] = append(b.copies[name], copyOf{server: server})
	b.divide(name)
}

func (b *balance) remove(name string, server int) {
	list := b.copies[name]
	i := slices.IndexFunc(list, func(c copyOf) bool { return c.server == server })
	if i < 0 {
		return
	}
	b.util[server] -= list[i].part
	b.copies[name] = slices.Delete(list, i, i+1)
	if len(b.copies[name]) > 0 {
		b.divide(name)
	}
}

// copiesOf lists the copies that stay: those held, on their way, and about to be
// ordered.
func copiesOf(e *routes.Engine, servers []stayer, now time.Time) map[string][]copyOf {
	copies := make(map[string][]copyOf, len(e.Models))
	for i, s := range servers {
		if m := s.Intent(now); m != "" {
			copies[m] = append(copies[m], copyOf{server: i})
		}
		for name, r := range s.models {
			if r.phase != leaving {
				copies[name] = append(copies[name], copyOf{server: i})
			}
		}
	}
	return copies
}

// heldOf lists the copies that are there.
func heldOf(e *routes.Engine, servers []stayer) map[string][]copyOf {
	copies := make(map[string][]copyOf, len(e.Models))
	for i, s := range servers {
		for name, r := range s.models {
			if r.phase == held {
				copies[name] = append(copies[name], copyOf{server: i})
			}
		}
	}
	return copies
}
