package pick

import (
	"maps"
	"slices"
	"time"
)

// Load is the load on a server from one or more VMs.
type Load struct {
	// Running is the number of requests sent and not finished, KVTokens the
	// KV cache tokens that they need.
	Running, KVTokens int
	// PrefillTime is the prefill time of the requests without a first event.
	PrefillTime time.Duration
	// Adapters lists the adapters in use, as MODEL/ADAPTER. Sums omit them.
	Adapters []string
}

// Add returns the sum of two loads, without adapters.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, PrefillTime: l.PrefillTime + o.PrefillTime, KVTokens: l.KVTokens + o.KVTokens}
}

// SubtractLoads subtracts one VM's part from sums. The two can be of slightly different
// age, so results below zero become zero.
func SubtractLoads(sums, part map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(sums))
	for id, s := range sums {
		p := part[id]
		rest[id] = Load{Running: max(s.Running-p.Running, 0), PrefillTime: max(s.PrefillTime-p.PrefillTime, 0), KVTokens: max(s.KVTokens-p.KVTokens, 0)}
	}
	return rest
}

// SetRemoteLoads replaces the load of the other VMs on each server, as reported at now.
func (b *Balancer) SetRemoteLoads(now time.Time, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoadsAt = now
	for id, s := range b.servers {
		s.remote = loads[id]
	}
	for id, l := range loads {
		b.serverState(id).remote = l
	}
}

// Running returns how many requests of all VMs run or wait at a server, as far as known.
func (b *Balancer) Running(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return 0
	}
	return s.local.Running + s.remote.Running
}

// LocalRunning returns how many requests of this VM run or wait at a server.
func (b *Balancer) LocalRunning(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return 0
	}
	return s.local.Running
}

// LocalLoads returns the load of this VM on each server.
func (b *Balancer) LocalLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	local := make(map[string]Load)
	for id, s := range b.servers {
		if s.local.Running > 0 {
			l := s.local
			l.Adapters = slices.Collect(maps.Keys(s.adapters))
			local[id] = l
		}
	}
	return local
}
