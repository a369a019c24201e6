// Package route selects the server for a request among those that can serve it. The selection is a
// function of the candidates and of a random source passed by the caller.
package route

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/fleet"
)

// Defaults of a Policy.
const (
	// defaultSamples is the number of candidates compared. Two are enough to reduce the longest
	// queue from log n to log log n. Comparing all would make every VM send to the server with the
	// lowest load in an outdated report (Mitzenmacher, The Power of Two Choices, 2001).
	defaultSamples = 2
	// defaultMaxPrefixLoad is the maximum load, relative to the mean, at which the server that owns
	// a prompt prefix is preferred.
	defaultMaxPrefixLoad = 1.25
	// defaultSpillLoad is the load, relative to its slots, from which the least loaded server of a
	// failure domain counts as overloaded.
	defaultSpillLoad = 1.0
	defaultSlots     = 32
)

// Policy is the selection policy. The zero value uses the defaults.
type Policy struct {
	// Domain is the failure domain of the VM.
	Domain string
	// Samples, MaxPrefixLoad and SpillLoad override the defaults if not 0.
	Samples       int
	MaxPrefixLoad float64
	SpillLoad     float64
}

// Choose returns the server for a request with the given prompt prefix, and false if there are no
// candidates. Servers in tried are selected only if there is no other.
func (p Policy) Choose(rng *rand.Rand, candidates []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool) {
	preferred := untried(candidates, tried)
	if len(preferred) == 0 {
		preferred = candidates
	}
	if len(preferred) == 0 {
		return fleet.Candidate{}, false
	}
	pool := p.localPool(preferred)
	if c, ok := p.prefixOwner(pool, prefix); ok {
		return c, true
	}
	return p.sample(rng, pool), true
}

func untried(candidates []fleet.Candidate, tried []string) []fleet.Candidate {
	if len(tried) == 0 {
		return candidates
	}
	var untriedCandidates []fleet.Candidate
	for _, c := range candidates {
		if !slices.Contains(tried, c.Name) {
			untriedCandidates = append(untriedCandidates, c)
		}
	}
	return untriedCandidates
}

// localPool returns the candidates in the VM's own failure domain. It returns all candidates if
// there are none, or if all local ones are overloaded and a remote one is not.
func (p Policy) localPool(candidates []fleet.Candidate) []fleet.Candidate {
	var local []fleet.Candidate
	for _, c := range candidates {
		if c.Domain == p.Domain {
			local = append(local, c)
		}
	}
	if len(local) == 0 || p.overloaded(local) && !p.overloaded(candidates) {
		return candidates
	}
	return local
}

func (p Policy) overloaded(candidates []fleet.Candidate) bool {
	spillLoad := orDefault(p.SpillLoad, defaultSpillLoad)
	for _, c := range candidates {
		if relativeLoad(c) < spillLoad {
			return false
		}
	}
	return true
}

// relativeLoad returns the load of a server relative to its slots.
func relativeLoad(c fleet.Candidate) float64 {
	slots := c.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(c.Load) / float64(slots)
}

// prefixOwner returns the server that owns a prompt prefix, and false if its load is far above the
// mean. All VMs determine the same owner without communication, by rendezvous hashing (Thaler and
// Ravishankar, 1998) among the candidates. Servers that reported the prefix in their cache take
// precedence.
func (p Policy) prefixOwner(candidates []fleet.Candidate, prefix uint64) (fleet.Candidate, bool) {
	if prefix == 0 || len(candidates) < 2 {
		return fleet.Candidate{}, false
	}
	var owner fleet.Candidate
	var bestWeight uint64
	var meanLoad float64
	for _, c := range candidates {
		meanLoad += relativeLoad(c) / float64(len(candidates))
		weight := rendezvousWeight(c.Name, prefix)
		if c.PrefixCached {
			weight |= 1 << 63
		} else {
			weight >>= 1
		}
		if weight >= bestWeight {
			owner, bestWeight = c, weight
		}
	}
	maxLoad := orDefault(p.MaxPrefixLoad, defaultMaxPrefixLoad)
	oneRequest := 1 / float64(max(owner.Slots, 1))
	return owner, relativeLoad(owner) <= maxLoad*meanLoad+oneRequest
}

func rendezvousWeight(name string, prefix uint64) uint64 {
	h := xxhash.Sum64String(name) ^ prefix*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// sample draws random candidates and returns the least loaded of them.
func (p Policy) sample(rng *rand.Rand, candidates []fleet.Candidate) fleet.Candidate {
	samples := orDefault(p.Samples, defaultSamples)
	best := candidates[rng.IntN(len(candidates))]
	for range samples - 1 {
		c := candidates[rng.IntN(len(candidates))]
		if relativeLoad(c) < relativeLoad(best) {
			best = c
		}
	}
	return best
}

func orDefault[T int | float64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
