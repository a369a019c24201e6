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
	// PrefillTime is the prefill time of the requests without a first event, of all priorities
	// together.
	PrefillTime time.Duration
	// PrefillByPriority is the part of PrefillTime of each server priority from 1 on. The entry of
	// priority 0 is not used: it has what the others leave of PrefillTime. A load that nobody
	// divided thus counts as priority 0, and no request is taken to overtake it.
	PrefillByPriority [ServerPriorities]time.Duration
	// Adapters lists the adapters in use, as MODEL/ADAPTER. Sums omit them.
	Adapters []string
}

// Add returns the sum of two loads, without adapters.
func (l Load) Add(o Load) Load {
	sum := Load{Running: l.Running + o.Running, PrefillTime: l.PrefillTime + o.PrefillTime, KVTokens: l.KVTokens + o.KVTokens}
	for p := range sum.PrefillByPriority {
		sum.PrefillByPriority[p] = l.PrefillByPriority[p] + o.PrefillByPriority[p]
	}
	return sum
}

// Sub returns the load without a part of it, without adapters. The two can be of slightly different
// age, so results below zero become zero. If an older build has summed up the load, the part is
// divided by priority and the sum is not; the prefill of all priorities together is right even then.
func (l Load) Sub(part Load) Load {
	rest := Load{
		Running: max(l.Running-part.Running, 0), PrefillTime: max(l.PrefillTime-part.PrefillTime, 0),
		KVTokens: max(l.KVTokens-part.KVTokens, 0),
	}
	undivided := rest.PrefillTime
	for p := 1; p < ServerPriorities; p++ {
		rest.PrefillByPriority[p] = min(max(l.PrefillByPriority[p]-part.PrefillByPriority[p], 0), undivided)
		undivided -= rest.PrefillByPriority[p]
	}
	return rest
}

// SubtractLoads subtracts one VM's part from sums.
func SubtractLoads(sums, part map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(sums))
	for id, s := range sums {
		rest[id] = s.Sub(part[id])
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
