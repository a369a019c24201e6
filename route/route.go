// Package route chooses the server for a request among those that can serve
// it. The choice is a function of the candidates and of a random source that
// the caller hands in.
package route

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/fleet"
)

// Defaults of a Policy.
const (
	// defaultSamples is the number of candidates compared. Two are enough to
	// bring the longest queue from log n to log log n, and comparing all would
	// send every VM to the one server whose stale report is lowest
	// (Mitzenmacher, The Power of Two Choices, 2001).
	defaultSamples = 2
	// defaultPrefixBound is the load, relative to the mean, up to which the
	// server of a prompt's prefix is preferred.
	defaultPrefixBound = 1.25
	// defaultSpill is the share of its slots above which a domain's best
	// server counts as overfull.
	defaultSpill = 1.0
	defaultSlots = 32
)

// Policy is how servers are chosen. The zero value works.
type Policy struct {
	// Domain is the failure domain of the VM.
	Domain string
	// Samples, PrefixBound and Spill replace the defaults when not 0.
	Samples     int
	PrefixBound float64
	Spill       float64
}

// Choose returns the server for a request with the given prefix, and whether
// there is one. Servers in tried are taken only when no other is left.
func (p Policy) Choose(rng *rand.Rand, candidates []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool) {
	fresh := untried(candidates, tried)
	if len(fresh) == 0 {
		fresh = candidates
	}
	if len(fresh) == 0 {
		return fleet.Candidate{}, false
	}
	pool := p.domainPool(fresh)
	if c, ok := p.prefixOwner(pool, prefix); ok {
		return c, true
	}
	return p.sample(rng, pool), true
}

func untried(candidates []fleet.Candidate, tried []string) []fleet.Candidate {
	if len(tried) == 0 {
		return candidates
	}
	var fresh []fleet.Candidate
	for _, c := range candidates {
		if !slices.Contains(tried, c.Name) {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// domainPool keeps to the VM's own failure domain, unless it has no copy or
// all of its servers are overfull while another's are not.
func (p Policy) domainPool(candidates []fleet.Candidate) []fleet.Candidate {
	var local []fleet.Candidate
	for _, c := range candidates {
		if c.Domain == p.Domain {
			local = append(local, c)
		}
	}
	if len(local) == 0 || p.overfull(local) && !p.overfull(candidates) {
		return candidates
	}
	return local
}

func (p Policy) overfull(candidates []fleet.Candidate) bool {
	spill := orDefault(p.Spill, defaultSpill)
	for _, c := range candidates {
		if fill(c) < spill {
			return false
		}
	}
	return true
}

// fill is a server's load relative to its slots.
func fill(c fleet.Candidate) float64 {
	slots := c.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(c.Load) / float64(slots)
}

// prefixOwner returns the server that a prompt's prefix belongs to, when it is
// not much fuller than the others. All VMs agree on it without talking:
// rendezvous hashing (Thaler and Ravishankar, 1998) among the candidates. A
// server that reported the prefix in its cache goes first.
func (p Policy) prefixOwner(candidates []fleet.Candidate, prefix uint64) (fleet.Candidate, bool) {
	if prefix == 0 || len(candidates) < 2 {
		return fleet.Candidate{}, false
	}
	var owner fleet.Candidate
	var best uint64
	var mean float64
	for _, c := range candidates {
		mean += fill(c) / float64(len(candidates))
		weight := rendezvous(c.Name, prefix)
		if c.PrefixCached {
			weight |= 1 << 63
		} else {
			weight >>= 1
		}
		if weight >= best {
			owner, best = c, weight
		}
	}
	bound := orDefault(p.PrefixBound, defaultPrefixBound)
	one := 1 / float64(max(owner.Slots, 1))
	return owner, fill(owner) <= bound*mean+one
}

func rendezvous(name string, prefix uint64) uint64 {
	h := xxhash.Sum64String(name) ^ prefix*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// sample draws a few candidates and returns the least loaded of them.
func (p Policy) sample(rng *rand.Rand, candidates []fleet.Candidate) fleet.Candidate {
	samples := orDefault(p.Samples, defaultSamples)
	best := candidates[rng.IntN(len(candidates))]
	for range samples - 1 {
		c := candidates[rng.IntN(len(candidates))]
		if fill(c) < fill(best) {
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
