package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Load pattern: dozens of VMs send to the same servers, and each receives the
// load of the others with a delay of some hundred milliseconds. If each chooses the server
// with the shortest queue, all choose the same one until the next load report, and
// half a second of prompts arrives there at once: a thundering herd.
//
// The work that arrives within the delay is therefore assumed to be distributed so
// that the queues of the candidates become equal, and each candidate gets a matching
// share of the requests: equal queues get equal shares, a longer one less, one above
// the level none (Dahlin, "Interpreting Stale Load Information", 1999). A weighted
// rendezvous hash of the shared prefix selects the server of a request, so that all
// VMs select the same one: the prefixes stay partitioned among the servers, and only
// as many of them move as the queues require.

const (
	// staleWork is the work, as prefill time, that arrives at each server within
	// the delay of the load reports, some 200 to 500 ms at half of the servers'
	// capacity. A lower value lets VMs overload one server, a higher one leaves
	// queues uneven.
	staleWork = 200 * time.Millisecond
	// minSharedPrefixTokens is the length of a shared prefix from which requests
	// are routed by it. The prefill of shorter ones takes 20 ms at most.
	minSharedPrefixTokens = 800
)

// candidate is a server that a request may be sent to.
type candidate struct {
	server backs.Entry
	// queueTime is the queue in front of the request plus the server's
	// penalties. pace is how long work takes there.
	queueTime time.Duration
	pace      float64
}

// weightedRendezvous returns the index of the candidate selected for a key.
func weightedRendezvous(candidates []candidate, key uint64) int {
	level := levelQueueTime(candidates)
	best, least := -1, math.Inf(1)
	for i, c := range candidates {
		// In the time up to the level, a server with a pace of 2 processes half as much.
		weight := (level - c.queueTime).Seconds() / c.pace
		if weight <= 0 {
			continue
		}
		// The smallest of exponentially distributed values with these rates: each
		// candidate is selected in proportion to its weight.
		if score := -math.Log(uniform(rendezvousHash(c.server.ID, key))) / weight; score < least {
			best, least = i, score
		}
	}
	return best
}

// uniform maps a hash to a number in the open interval from 0 to 1.
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// levelQueueTime returns the common length of the queues after the stale work has
// been added to the shorter ones.
func levelQueueTime(candidates []candidate) time.Duration {
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b candidate) int { return cmp.Compare(a.queueTime, b.queueTime) })
	work, speed := float64(staleWork)*float64(len(sorted)), 0.0
	for i, c := range sorted {
		work += float64(c.queueTime) / c.pace
		speed += 1 / c.pace
		level := time.Duration(work / speed)
		if i+1 == len(sorted) || level <= sorted[i+1].queueTime {
			return level
		}
	}
	return 0
}

// randomKey returns a key for a request without a shared prefix to route by.
// b.mu is held.
func (b *Balancer) randomKey() uint64 {
	b.randomKeys++
	return mixHash(b.Seed + b.randomKeys*0x9e3779b97f4a7c15)
}
