// Package admit decides which requests of a profile may be in progress at a
// VM, which wait and which are refused. It limits concurrency, queues a
// limited number of requests fairly among callers, and refuses early those
// that cannot be answered in time. It does no I/O and reads no clock.
package admit

import (
	"cmp"
	"math"
	"time"
)

// Verdict is the decision on an arriving request.
type Verdict int

const (
	// Admitted means that the request may start at once.
	Admitted Verdict = iota
	// Queued means that the request waits until Finish or Dispatch returns it.
	Queued
	// QueueFull means that the request is refused because the queue is full of
	// requests that are served first.
	QueueFull
	// DeadlineUnreachable means that the request is refused because it could not
	// be answered before its deadline.
	DeadlineUnreachable
)

// Ticket represents a request in a Gate.
type Ticket struct {
	// ID is unique among the tickets of a Gate.
	ID uint64
	// Caller and Weight determine the share of capacity. All tickets of a caller
	// have the same weight.
	Caller string
	Weight int
	// Priority takes precedence over fairness; 9 is the most urgent.
	Priority int
	// Target is the latest admission time that meets the profile's latency
	// targets; Deadline is when the response must be complete. Of two tickets of
	// one caller, the one with the earlier deadline has the earlier target.
	Target   time.Time
	Deadline time.Time

	sequence     uint64
	targetMissed bool
}

// Rank orders tickets: a higher rank is served first. Within a priority,
// tickets that can still meet their targets rank higher: under overload, a
// queue in order of arrival would serve each request just after its target.
func (t Ticket) Rank() int {
	if t.targetMissed {
		return 2 * t.Priority
	}
	return 2*t.Priority + 1
}

// TargetMissed reports whether the ticket has missed its target.
func (t Ticket) TargetMissed() bool { return t.targetMissed }

// WithTargetMissed returns the ticket marked as having missed its target.
func (t Ticket) WithTargetMissed() Ticket {
	t.targetMissed = true
	return t
}

// WithSequence returns the ticket with its number in the order of arrival and
// a weight of at least 1.
func (t Ticket) WithSequence(sequence uint64) Ticket {
	t.Weight = max(t.Weight, 1)
	t.sequence = sequence
	return t
}

// Compare orders the tickets of one caller: by deadline, then by arrival.
func (t Ticket) Compare(u Ticket) int {
	return cmp.Or(t.Deadline.Compare(u.Deadline), cmp.Compare(t.sequence, u.sequence))
}

// Limits are the limits of a Gate on requests in progress and waiting.
type Limits struct {
	Concurrency int
	Queue       int
}

// SmoothingFactor is the weight of the newest value in the moving average of
// service times.
const SmoothingFactor = 0.1

// ArrivalRate measures the rate of arrivals as a moving average with
// exponential decay. The rate determines the capacity left for requests that
// have missed their targets. The zero value has a rate of 0.
type ArrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

const (
	rateTimeConstant = time.Second
	// minFreeCapacity keeps estimated waits finite.
	minFreeCapacity = 0.02
)

// Observe records an arrival.
func (r *ArrivalRate) Observe(now time.Time) {
	r.perSecond = r.PerSecond(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// PerSecond returns the current rate in arrivals per second.
func (r *ArrivalRate) PerSecond(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// FreeCapacity returns the fraction of the capacity that new arrivals leave
// free.
func (r *ArrivalRate) FreeCapacity(now time.Time, service time.Duration, concurrency int) float64 {
	load := r.PerSecond(now) * service.Seconds() / float64(max(concurrency, 1))
	return max(1-load, minFreeCapacity)
}
