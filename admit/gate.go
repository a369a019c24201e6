package admit

import (
	"cmp"
	"slices"
	"time"
)

// Gate is the admission controller of one profile. The zero value admits
// nothing until SetLimits is called. It is not safe for concurrent use.
//
// Waiting requests are served by rank, then fairly among callers by start-time
// fair queueing (Goyal, Vin and Cheng, 1996), then by deadline. The cost of
// each decision grows with the number of waiting callers, not of waiting
// requests: one caller may send tens of thousands at once.
type Gate struct {
	limits   Limits
	running  int
	waiting  int
	arrivals uint64
	// queuesByRank holds the waiting tickets of each rank.
	queuesByRank map[int]*rankQueues
	// waitingByID holds the waiting tickets by ID.
	waitingByID     map[uint64]Ticket
	virtualTime     float64
	finishTags      map[string]float64
	meanServiceTime time.Duration
	arrivalRate     ArrivalRate
}

// rankQueues holds the waiting tickets of one rank, by caller.
type rankQueues struct {
	waiting int
	queues  map[string]*callerQueue
}

// callerQueue holds the waiting tickets of one caller, in the order of
// service.
type callerQueue struct {
	weight  int
	tickets []Ticket
}

func (q *callerQueue) weightedLength() float64 { return float64(len(q.tickets)) / float64(q.weight) }

// insert adds a ticket in order. Deadlines mostly rise, so it usually appends.
func (q *callerQueue) insert(t Ticket) {
	i, _ := slices.BinarySearchFunc(q.tickets, t, Ticket.Compare)
	q.tickets = slices.Insert(q.tickets, i, t)
}

// SetLimits replaces the limits. Requests in progress are not affected.
func (g *Gate) SetLimits(l Limits) { g.limits = l }

// Running returns the number of requests in progress.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.waiting }

// MeanServiceTime returns the moving average of the time a request is in
// progress.
func (g *Gate) MeanServiceTime() time.Duration { return g.meanServiceTime }

// Arrive decides on a new request. If evicted is not nil, that waiting request
// is refused instead of t.
func (g *Gate) Arrive(now time.Time, t Ticket) (v Verdict, evicted *Ticket) {
	g.arrivals++
	g.arrivalRate.Observe(now)
	t = t.WithSequence(g.arrivals)
	if g.running < g.limits.Concurrency && g.waiting == 0 {
		g.start(t)
		return Admitted, nil
	}
	if g.missesDeadline(now, t) {
		return DeadlineUnreachable, nil
	}
	if g.waiting < g.limits.Queue {
		g.push(t)
		return Queued, nil
	}
	return g.evictFor(t)
}

// missesDeadline reports whether t cannot be answered before its deadline. It
// assumes that a ticket that will miss its target is served with the capacity
// that new arrivals leave free.
func (g *Gate) missesDeadline(now time.Time, t Ticket) bool {
	wait := g.EstimateWait(t)
	if t.targetMissed || now.Add(wait).After(t.Target) {
		wait = time.Duration(float64(wait) / g.arrivalRate.FreeCapacity(now, g.meanServiceTime, g.limits.Concurrency))
	}
	return now.Add(wait).Add(g.meanServiceTime).After(t.Deadline)
}

// Expire lowers the rank of waiting requests that have missed their targets.
// It removes and returns those that cannot be answered before their deadlines
// either; they must be refused.
func (g *Gate) Expire(now time.Time) []Ticket {
	var missed, refused []Ticket
	for rank, atRank := range g.queuesByRank {
		if rank%2 == 0 {
			continue
		}
		for _, q := range atRank.queues {
			for len(q.tickets) > 0 && q.tickets[0].Target.Before(now) {
				missed = append(missed, q.tickets[0])
				g.remove(q.tickets[0], 0)
			}
		}
	}
	slices.SortFunc(missed, func(a, b Ticket) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, t := range missed {
		t = t.WithTargetMissed()
		if g.missesDeadline(now, t) {
			refused = append(refused, t)
			continue
		}
		g.push(t)
	}
	return refused
}

func (g *Gate) push(t Ticket) {
	if g.queuesByRank == nil {
		g.queuesByRank, g.waitingByID = make(map[int]*rankQueues), make(map[uint64]Ticket)
	}
	atRank := g.queuesByRank[t.Rank()]
	if atRank == nil {
		atRank = &rankQueues{queues: make(map[string]*callerQueue)}
		g.queuesByRank[t.Rank()] = atRank
	}
	q := atRank.queues[t.Caller]
	if q == nil {
		q = &callerQueue{weight: t.Weight}
		atRank.queues[t.Caller] = q
	}
	q.insert(t)
	atRank.waiting++
	g.waiting++
	g.waitingByID[t.ID] = t
}

// remove removes the ticket at index i of its caller's queue.
func (g *Gate) remove(t Ticket, i int) {
	atRank := g.queuesByRank[t.Rank()]
	q := atRank.queues[t.Caller]
	if i == 0 {
		q.tickets = q.tickets[1:]
	} else {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
	if len(q.tickets) == 0 {
		delete(atRank.queues, t.Caller)
	}
	atRank.waiting--
	if atRank.waiting == 0 {
		delete(g.queuesByRank, t.Rank())
	}
	g.waiting--
	delete(g.waitingByID, t.ID)
}

// evictFor evicts a ticket from a full queue in favor of t. In the lowest rank
// it evicts the last ticket of the caller with the most tickets relative to
// its weight, so a flood by one caller cannot displace the requests of
// others.
func (g *Gate) evictFor(t Ticket) (Verdict, *Ticket) {
	lowest := t.Rank()
	for rank := range g.queuesByRank {
		lowest = min(lowest, rank)
	}
	atRank := g.queuesByRank[lowest]
	if atRank == nil {
		return QueueFull, nil
	}
	addedLength := 0.0
	if lowest == t.Rank() {
		addedLength = 1 / float64(t.Weight)
	}
	caller, length := longestQueue(atRank, t.Caller, addedLength)
	if lowest == t.Rank() && !evictedBefore(caller, length, t.Caller, weightedLengthOf(atRank, t.Caller)+addedLength) {
		return QueueFull, nil
	}
	q := atRank.queues[caller]
	evicted := q.tickets[len(q.tickets)-1]
	g.remove(evicted, len(q.tickets)-1)
	g.push(t)
	return Queued, &evicted
}

func weightedLengthOf(atRank *rankQueues, caller string) float64 {
	if q := atRank.queues[caller]; q != nil {
		return q.weightedLength()
	}
	return 0
}

// evictedBefore reports whether a ticket of caller a is evicted before one of
// caller b.
func evictedBefore(a string, aLength float64, b string, bLength float64) bool {
	if aLength != bLength {
		return aLength > bLength
	}
	return a > b
}

// longestQueue returns the caller with the longest queue relative to its weight,
// and that length. The arriving caller's queue counts addedLength for its new
// ticket.
func longestQueue(atRank *rankQueues, arriving string, addedLength float64) (string, float64) {
	caller, length := "", -1.0
	for name, q := range atRank.queues {
		candidateLength := q.weightedLength()
		if name == arriving {
			candidateLength += addedLength
		}
		if length < 0 || evictedBefore(name, candidateLength, caller, length) {
			caller, length = name, candidateLength
		}
	}
	return caller, length
}

// EstimateWait estimates how long t would wait: the time to serve the requests
// ahead of it at the current average service time.
func (g *Gate) EstimateWait(t Ticket) time.Duration {
	if g.running < g.limits.Concurrency && g.waiting == 0 {
		return 0
	}
	ahead := g.ticketsAhead(t) + 1
	return time.Duration(float64(g.meanServiceTime) * ahead / float64(max(g.limits.Concurrency, 1)))
}

// ticketsAhead estimates how many waiting requests are served before t: all of
// a higher rank, all of its own caller, and of each other caller as many as
// its weight allows in the same time.
func (g *Gate) ticketsAhead(t Ticket) float64 {
	total := 0.0
	for rank, atRank := range g.queuesByRank {
		if rank > t.Rank() {
			total += float64(atRank.waiting)
		}
	}
	atRank := g.queuesByRank[t.Rank()]
	if atRank == nil {
		return total
	}
	own := 0.0
	if q := atRank.queues[t.Caller]; q != nil {
		own = float64(len(q.tickets))
	}
	for caller, q := range atRank.queues {
		if caller != t.Caller {
			total += min(float64(len(q.tickets)), (own+1)*float64(q.weight)/float64(max(t.Weight, 1)))
		}
	}
	return total + own
}

func (g *Gate) start(t Ticket) {
	g.running++
	if g.finishTags == nil {
		g.finishTags = make(map[string]float64)
	}
	g.virtualTime = max(g.finishTags[t.Caller], g.virtualTime)
	g.finishTags[t.Caller] = g.virtualTime + 1/float64(t.Weight)
	// A finish tag that the virtual time has passed has no effect. Dropping
	// these tags bounds the map by the recently served callers.
	if len(g.finishTags) > maxFinishTags {
		g.dropPassedTags()
	}
}

const maxFinishTags = 4096

func (g *Gate) dropPassedTags() {
	for caller, tag := range g.finishTags {
		if tag <= g.virtualTime {
			delete(g.finishTags, caller)
		}
	}
}

// Finish records the end of a request that was in progress for the given time.
// It returns the tickets that start now.
func (g *Gate) Finish(serviceTime time.Duration) []Ticket {
	g.running--
	if g.meanServiceTime == 0 {
		g.meanServiceTime = serviceTime
	}
	g.meanServiceTime += time.Duration(SmoothingFactor * float64(serviceTime-g.meanServiceTime))
	return g.Dispatch()
}

// Dispatch starts the waiting requests that the limits allow, for example
// after the limits were raised.
func (g *Gate) Dispatch() []Ticket {
	var started []Ticket
	for g.running < g.limits.Concurrency && g.waiting > 0 {
		t := g.next()
		g.remove(t, 0)
		g.start(t)
		started = append(started, t)
	}
	return started
}

// next returns the waiting request to serve next.
func (g *Gate) next() Ticket {
	first, highest := true, 0
	for rank := range g.queuesByRank {
		if first || rank > highest {
			first, highest = false, rank
		}
	}
	var best Ticket
	first = true
	for _, q := range g.queuesByRank[highest].queues {
		if t := q.tickets[0]; first || g.servedBefore(t, best) {
			first, best = false, t
		}
	}
	return best
}

// servedBefore reports whether ticket a is served before ticket b of another
// caller: the lower start tag is served first.
func (g *Gate) servedBefore(a, b Ticket) bool {
	tagA, tagB := max(g.finishTags[a.Caller], g.virtualTime), max(g.finishTags[b.Caller], g.virtualTime)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.Compare(b) < 0
}

// Abandon removes a waiting request and reports whether it was waiting.
func (g *Gate) Abandon(id uint64) bool {
	t, ok := g.waitingByID[id]
	if !ok {
		return false
	}
	i, _ := slices.BinarySearchFunc(g.queuesByRank[t.Rank()].queues[t.Caller].tickets, t, Ticket.Compare)
	g.remove(t, i)
	return true
}
