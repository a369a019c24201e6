package naive

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
)

// Gate is the rule of admit.Gate written plainly: it looks at every waiting
// ticket for every decision.
type Gate struct {
	Limits  admit.Limits
	running int
	waiting []admit.Ticket
	count   uint64
	virtual float64
	tags    map[string]float64
	service time.Duration
	demand  admit.ArrivalRate
}

// Running returns how many requests are in progress.
func (g *Gate) Running() int { return g.running }

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Arrive takes in a request.
func (g *Gate) Arrive(now time.Time, t admit.Ticket) (admit.Verdict, *admit.Ticket) {
	g.count++
	g.demand.Observe(now)
	t = t.WithSequence(g.count)
	if g.running < g.Limits.Concurrency && len(g.waiting) == 0 {
		g.start(t)
		return admit.Admitted, nil
	}
	if g.hopeless(now, t) {
		return admit.DeadlineUnreachable, nil
	}
	if len(g.waiting) < g.Limits.Queue {
		g.waiting = append(g.waiting, t)
		return admit.Queued, nil
	}
	return g.displace(t)
}

func (g *Gate) hopeless(now time.Time, t admit.Ticket) bool {
	wait := g.Wait(t)
	if t.TargetMissed() || now.Add(wait).After(t.Target) {
		wait = time.Duration(float64(wait) / g.demand.FreeCapacity(now, g.service, g.Limits.Concurrency))
	}
	return now.Add(wait).Add(g.service).After(t.Deadline)
}

// Expire marks the waiting requests that have missed their targets and refuses
// those that can not be answered in time at all.
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
		if g.hopeless(now, t) {
			refused = append(refused, t)
			continue
		}
		g.waiting = append(g.waiting, t)
	}
	return refused
}

// displace refuses the ticket that goes last among those that wait and t: of
// the lowest rank, of the caller with the most tickets for its weight, the
// one that would be served last. A caller does not displace its own.
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
	victim := -1
	for i, w := range g.waiting {
		if w.Rank() == lowest && (victim < 0 || last(shares, w, g.waiting[victim])) {
			victim = i
		}
	}
	if victim < 0 || t.Rank() == lowest && !heavier(shares, g.waiting[victim].Caller, t.Caller) {
		return admit.QueueFull, nil
	}
	out := g.waiting[victim]
	g.waiting = append(slices.Delete(g.waiting, victim, victim+1), t)
	return admit.Queued, &out
}

// heavier reports whether caller a yields to caller b.
func heavier(shares map[string]float64, a, b string) bool {
	if shares[a] != shares[b] {
		return shares[a] > shares[b]
	}
	return a > b
}

func last(shares map[string]float64, a, b admit.Ticket) bool {
	if a.Caller != b.Caller {
		return heavier(shares, a.Caller, b.Caller)
	}
	return a.Compare(b) > 0
}

// Wait estimates how long t would wait.
func (g *Gate) Wait(t admit.Ticket) time.Duration {
	if g.running < g.Limits.Concurrency && len(g.waiting) == 0 {
		return 0
	}
	own, total := 0.0, 0.0
	others, weights := make(map[string]float64), make(map[string]float64)
	for _, w := range g.waiting {
		switch {
		case w.Rank() > t.Rank():
			total++
		case w.Rank() < t.Rank():
		case w.Caller == t.Caller:
			own++
		default:
			others[w.Caller]++
			weights[w.Caller] = float64(w.Weight)
		}
	}
	for caller, n := range others {
		total += min(n, (own+1)*weights[caller]/float64(max(t.Weight, 1)))
	}
	return time.Duration(float64(g.service) * (total + own + 1) / float64(max(g.Limits.Concurrency, 1)))
}

func (g *Gate) start(t admit.Ticket) {
	g.running++
	if g.tags == nil {
		g.tags = make(map[string]float64)
	}
	g.virtual = max(g.tags[t.Caller], g.virtual)
	g.tags[t.Caller] = g.virtual + 1/float64(t.Weight)
}

// Finish notes that a request has ended and returns those whose turn it is.
func (g *Gate) Finish(took time.Duration) []admit.Ticket {
	g.running--
	if g.service == 0 {
		g.service = took
	}
	g.service += time.Duration(admit.SmoothingFactor * float64(took-g.service))
	var started []admit.Ticket
	for g.running < g.Limits.Concurrency && len(g.waiting) > 0 {
		best := 0
		for i, w := range g.waiting {
			if g.before(w, g.waiting[best]) {
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

func (g *Gate) before(a, b admit.Ticket) bool {
	if a.Rank() != b.Rank() {
		return a.Rank() > b.Rank()
	}
	ta, tb := max(g.tags[a.Caller], g.virtual), max(g.tags[b.Caller], g.virtual)
	if a.Caller != b.Caller && ta != tb {
		return ta < tb
	}
	return a.Compare(b) < 0
}

// Abandon takes a waiting request out of the queue.
func (g *Gate) Abandon(id uint64) bool {
	i := slices.IndexFunc(g.waiting, func(t admit.Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}
