package pick

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Load pattern: urgent requests with short prompts and less urgent ones with long prompts share
// servers, and demand exceeds their capacity. A server runs the urgent ones first. If the whole
// prefill of a server counts as the queue of each request, urgent requests wait in their VMs, or are
// refused, because of work that they would overtake.
//
// The prefill of a server is therefore divided by priority, and a request waits for the part that
// runs before it. A request that overtakes others delays them, so a share of the overtaken prefill
// counts as a cost of the server: an urgent request goes where it delays little, unless the queue
// before it is longer there.

// ServerPriorities is the number of priorities that servers distinguish; 0 is the most urgent.
const ServerPriorities = 10

// topServerPriority is the priority of the most urgent requests of a service with several; 0 is that of all requests
// of a service with one.
const topServerPriority = 1

const (
	// prefillInProgress is the prefill of less urgent requests that a server completes before it
	// turns to an urgent one: the chunk of the current step. Chunks of 1,024 tokens take 27 ms,
	// those of 2,048 tokens 54 ms, and half of a chunk is left on average.
	prefillInProgress = 30 * time.Millisecond
	// overtakenShare is the share of the overtaken prefill that counts as a cost in the choice of a
	// server. With less, urgent requests gather at servers with long prompts, of which fewer are then
	// in time (0.45 instead of 0.48 with a share of 0.25).
	overtakenShare = 1.0
)

// Prefill returns the prefill time of the requests with a server priority.
func (l Load) Prefill(priority int) time.Duration {
	if priority > 0 {
		return l.PrefillByPriority[priority]
	}
	first := l.PrefillTime
	for _, d := range l.PrefillByPriority[1:] {
		first -= d
	}
	return first
}

// withPrefill returns the load with the prefill of one more request.
func (l Load) withPrefill(priority int, prefill time.Duration) Load {
	l.PrefillTime += prefill
	if priority > 0 {
		l.PrefillByPriority[priority] += prefill
	}
	return l
}

// WithPrefill returns the load with its prefill time divided by priority, the most urgent first. What
// the parts do not add up to counts as priority 0. Parts that are negative, or add up to more than
// the prefill time, are invalid, and then all of it counts as priority 0.
func (l Load) WithPrefill(parts []time.Duration) Load {
	undivided := l
	undivided.PrefillByPriority = [ServerPriorities]time.Duration{}
	sum := time.Duration(0)
	for p, d := range parts[:min(len(parts), ServerPriorities)] {
		if sum += d; d < 0 || sum > l.PrefillTime {
			return undivided
		}
		if p > 0 {
			l.PrefillByPriority[p] = d
		}
	}
	return l
}

// after returns the load that is left of its prefill when the server has worked on it for a time,
// the most urgent first.
func (l Load) after(worked time.Duration) Load {
	rest := Load{Running: l.Running, KVTokens: l.KVTokens}
	worked = max(worked, 0)
	for p := range ServerPriorities {
		done := min(worked, l.Prefill(p))
		worked -= done
		rest = rest.withPrefill(p, l.Prefill(p)-done)
	}
	return rest
}

// queue returns the prefill that runs before a request with a priority: that of the same and more
// urgent priorities, and the part of the rest that is in progress. overtaken is what it overtakes.
func (l Load) queue(priority int) (before, overtaken time.Duration) {
	for p := priority + 1; p < ServerPriorities; p++ {
		overtaken += l.PrefillByPriority[p]
	}
	inProgress := min(overtaken, prefillInProgress)
	return l.PrefillTime - overtaken + inProgress, overtaken - inProgress
}

// serverPriority returns the priority of the work within the range that servers distinguish.
func (w Work) serverPriority() int { return min(max(w.Priority, 0), ServerPriorities-1) }

// queueTimes returns the time that a server needs for the pending prefill before a request, and for
// the pending prefill that the request overtakes. The servers have processed part of the load of the
// other VMs since it was reported.
func (b *Balancer) queueTimes(now time.Time, e backs.Entry, w Work) (before, overtaken time.Duration) {
	s := b.serverState(e.ID)
	before, overtaken = s.local.Add(s.remote.after(now.Sub(b.remoteLoadsAt))).queue(w.serverPriority())
	return before + time.Duration(s.local.Running+s.remote.Running)*runningRequestCost, overtaken
}

// overtakingCost returns the cost of overtaking other requests.
func overtakingCost(overtaken time.Duration) time.Duration {
	return time.Duration(overtakenShare * float64(overtaken))
}
