package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Load pattern: dozens of VMs send to the same servers, and each knows what the
// others have sent with a delay of some hundred milliseconds. If each chooses the
// server with the shortest queue, all choose the same one until they are told of
// each other, and half a second of prompts arrives there at once: a herd.
//
// The work that arrives within the delay is therefore taken to be spread such that
// the queues of the candidates grow level, and each candidate gets the part of the
// requests that this takes: of equal queues equal parts, of a longer one less, of
// one beyond the level none (Dahlin, "Interpreting Stale Load Information", 1999).
// Which request goes where is settled by a weighted rendezvous of its shared prefix,
// on which all VMs agree: the prefixes stay divided among the servers, and only as
// many of them move as the queues make necessary.

const (
	// spreadSlack is the work, in time to read it, that arrives at each server
	// within the delay of the others' load, some 200 to 500 ms at half of the
	// servers' capacity. Less lets VMs crowd, more leaves queues uneven.
	spreadSlack = 200 * time.Millisecond
	// prefixFrom is the length of a shared prefix, in tokens, from which it is
	// worth to keep it at one server: reading less takes 20 ms at most.
	prefixFrom = 800
)

// option is a candidate for one request.
type option struct {
	entry backs.Entry
	// queue is what lies before the request there, and what speaks against the
	// server.
	queue time.Duration
}

// spread returns the index of the option that a key falls to.
func spread(options []option, key uint64) int {
	level := levelOf(options)
	best, least := -1, math.Inf(1)
	for i, o := range options {
		weight := (level - o.queue).Seconds()
		if weight <= 0 {
			continue
		}
		// The smallest of exponentially distributed values with these rates: each
		// option wins in proportion to its weight.
		if score := -math.Log(uniform(rendezvous(o.entry.ID, key))) / weight; score < least {
			best, least = i, score
		}
	}
	return best
}

// uniform maps a hash to a number between 0 and 1, both left out.
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// levelOf returns how long all queues are when the work that is on its way has
// been added to the shorter ones.
func levelOf(options []option) time.Duration {
	queues := make([]time.Duration, len(options))
	for i, o := range options {
		queues[i] = o.queue
	}
	slices.SortFunc(queues, cmp.Compare)
	sum := spreadSlack * time.Duration(len(queues))
	for i, q := range queues {
		sum += q
		level := sum / time.Duration(i+1)
		if i+1 == len(queues) || level <= queues[i+1] {
			return level
		}
	}
	return 0
}

// chance returns a key for a request that has no prefix worth keeping together.
// b.mu is held.
func (b *Book) chance() uint64 {
	b.turn++
	return mix(b.Seed + b.turn*0x9e3779b97f4a7c15)
}
