package naive

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
)

// Gate implements the rules of admit.Gate in the simplest form: it scans all waiting tickets for each
// decision.
type Gate struct {
	Limits       admit.Limits
	running      int
	waiting      []admit.Ticket
	arrivalCount uint64
	virtualTime  float64
	finishTags   map[string]float64
	serviceTime  time.Duration
	demand       admit.ArrivalRate
}

// Running returns the number of requests in progress.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Arrive admits, queues or refuses a request. The returned ticket, if any, is a queued request that was
// evicted and refused instead.
func (g *Gate) Arrive(now time.Time, t admit.Ticket) (admit.Verdict, *admit.Ticket) {
	g.arrivalCount++
	g.demand.Observe(now)
	t = t.WithSequence(g.arrivalCount)
	if g.running < g.Limits.Concurrency && len(g.waiting) == 0 {
		g.start(t)
		return admit.Admitted, nil
	}
	if g.cannotMeetDeadline(now, t) {
		return admit.DeadlineUnreachable, nil
	}
	if len(g.waiting) < g.Limits.Queue {
		g.waiting = append(g.waiting, t)
		return admit.Queued, nil
	}
	return g.displace(t)
}

// cannotMeetDeadline reports whether t is expected to end after its deadline.
func (g *Gate) cannotMeetDeadline(now time.Time, t admit.Ticket) bool {
	wait := g.Wait(t)
	if t.TargetMissed() || now.Add(wait).After(t.Target) {
		wait = time.Duration(float64(wait) / g.demand.FreeCapacity(now, g.serviceTime, g.Limits.Concurrency))
	}
	return now.Add(wait).Add(g.serviceTime).After(t.Deadline)
}

// Expire marks the waiting requests that have missed their targets. It refuses and returns those of
// them that cannot meet their deadlines.
func (g *Gate) Expire(now time.Time) []admit.Ticket {
	var missed, kept, refused []admit.Ticket
	for _, t := range g.waiting {
		if !t.TargetMissed() && t.Target.Before(now) {
			missed = append(missed, t)
			continue
		}
		kept = append(kept, t)
	}
	g.waiting = kept
	for _, t := range missed {
		t = t.WithTargetMissed()
		if g.cannotMeetDeadline(now, t) {
			refused = append(refused, t)
			continue
		}
		g.waiting = append(g.waiting, t)
	}
	return refused
}

// displace refuses one ticket among t and the waiting tickets: in the lowest rank, of the caller with
// the most tickets relative to its weight, the ticket that would be served last. A ticket never
// displaces another ticket of the same caller and rank.
func (g *Gate) displace(t admit.Ticket) (admit.Verdict, *admit.Ticket) {
	lowest := t.Rank()
	for _, w := range g.waiting {
		lowest = min(lowest, w.Rank())
	}
	shares := make(map[string]float64)
	for _, w := range append(slices.Clone(g.waiting), t) {
		if w.Rank() == lowest {
			shares[w.Caller] += 1 / float64(w.Weight)
		}
	}
	evictedIndex := -1
	for i, w := range g.waiting {
		if w.Rank() == lowest && (evictedIndex < 0 || servedLater(shares, w, g.waiting[evictedIndex])) {
			evictedIndex = i
		}
	}
	if evictedIndex < 0 || t.Rank() == lowest && !largerShare(shares, g.waiting[evictedIndex].Caller, t.Caller) {
		return admit.QueueFull, nil
	}
	evicted := g.waiting[evictedIndex]
	g.waiting = append(slices.Delete(g.waiting, evictedIndex, evictedIndex+1), t)
	return admit.Queued, &evicted
}

// largerShare reports whether caller a has a larger share of the tickets than caller b. Ties are broken
// by name.
func largerShare(shares map[string]float64, a, b string) bool {
	if shares[a] != shares[b] {
		return shares[a] > shares[b]
	}
	return a > b
}

// servedLater reports whether a is to be evicted before b.
func servedLater(shares map[string]float64, a, b admit.Ticket) bool {
	if a.Caller != b.Caller {
		return largerShare(shares, a.Caller, b.Caller)
	}
	return a.Compare(b) > 0
}

// Wait estimates the queueing time of t.
func (g *Gate) Wait(t admit.Ticket) time.Duration {
	if g.running < g.Limits.Concurrency && len(g.waiting) == 0 {
		return 0
	}
	ownCount, ahead := 0.0, 0.0
	countByCaller, weights := make(map[string]float64), make(map[string]float64)
	for _, w := range g.waiting {
		switch {
		case w.Rank() > t.Rank():
			ahead++
		case w.Rank() < t.Rank():
		case w.Caller == t.Caller:
			ownCount++
		default:
			countByCaller[w.Caller]++
			weights[w.Caller] = float64(w.Weight)
		}
	}
	for caller, n := range countByCaller {
		ahead += min(n, (ownCount+1)*weights[caller]/float64(max(t.Weight, 1)))
	}
	return time.Duration(float64(g.serviceTime) * (ahead + ownCount + 1) / float64(max(g.Limits.Concurrency, 1)))
}

func (g *Gate) start(t admit.Ticket) {
	g.running++
	if g.finishTags == nil {
		g.finishTags = make(map[string]float64)
	}
	g.virtualTime = max(g.finishTags[t.Caller], g.virtualTime)
	g.finishTags[t.Caller] = g.virtualTime + 1/float64(t.Weight)
}

// Finish records that a request has ended after a duration, and returns the queued requests that start
// now.
func (g *Gate) Finish(duration time.Duration) []admit.Ticket {
	g.running--
	if g.serviceTime == 0 {
		g.serviceTime = duration
	}
	g.serviceTime += time.Duration(admit.SmoothingFactor * float64(duration-g.serviceTime))
	var started []admit.Ticket
	for g.running < g.Limits.Concurrency && len(g.waiting) > 0 {
		best := 0
		for i, w := range g.waiting {
			if g.servedBefore(w, g.waiting[best]) {
				best = i
			}
		}
		t := g.waiting[best]
		g.waiting = slices.Delete(g.waiting, best, best+1)
		g.start(t)
		started = append(started, t)
	}
	return started
}

// servedBefore reports whether a starts before b: by rank, then by the caller's virtual start time,
// then in ticket order.
func (g *Gate) servedBefore(a, b admit.Ticket) bool {
	if a.Rank() != b.Rank() {
		return a.Rank() > b.Rank()
	}
	startA, startB := max(g.finishTags[a.Caller], g.virtualTime), max(g.finishTags[b.Caller], g.virtualTime)
	if a.Caller != b.Caller && startA != startB {
		return startA < startB
	}
	return a.Compare(b) < 0
}

// Abandon removes a request from the queue. It reports whether the request was queued.
func (g *Gate) Abandon(id uint64) bool {
	i := slices.IndexFunc(g.waiting, func(t admit.Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}
