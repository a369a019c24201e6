package steer

import (
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// moveMargin is the factor by which the gain of a replica must exceed the loss of the replica
	// that it replaces.
	moveMargin = 1.5
	// minGain is the least gain for which a replica is loaded, in squared servers: the gain of
	// levelling two servers whose utilization differs by 0.3.
	minGain = 0.05
	// maxForecast is the longest horizon of a forecast, about as long as the period that the trend
	// is derived from.
	maxForecast = 6 * time.Second
	// urgencyDecay is the time constant of a replica's urgency: a load that takes this long has
	// about a third of the urgency of an immediate one. Most surges and shifts of demand need the
	// replica within some seconds.
	urgencyDecay = 4 * time.Second
	// demandDuration is about how long demand stays with a model: the time between two shifts of
	// demand.
	demandDuration = 14 * time.Second
	// drainTime is how long the unloading of a replica in use takes, idleDrainTime that of an idle
	// replica. A model counts as idle if its work is below idleWork.
	drainTime     = 2 * time.Second
	idleDrainTime = 300 * time.Millisecond
	idleWork      = 0.02
	// domainWeight weighs a model's first replica in a failure domain against the work of the
	// callers in that domain: they have no other replica when the failure domain is partitioned.
	domainWeight = 0.5
	// firstReplicaBaseWorth is the worth of a model's only replica in addition to its work. It grows
	// by this amount for each second without a replica, as the model's requests wait or are
	// refused. Initially it is too low to replace a replica of a busy model: a crashed server is
	// usually back within two or three seconds, with its models' weights on its disk.
	firstReplicaBaseWorth = 0.04
	// lastReplicaIdleTime is how long a model must not have been requested before its only replica is
	// replaced, and minResidence how long that replica must have been loaded: the requests that
	// waited for it need some time to arrive.
	lastReplicaIdleTime = 3 * time.Second
	minResidence        = 4 * time.Second
	// requestWaitTime is about how long requests wait for a model to be loaded. If the last request
	// for a model is older, nobody waits for it any more.
	requestWaitTime = 5 * time.Second
	// lastReplicaWorth is the worth of an only replica that was requested just now. It is above the
	// worth of a model with little demand that lost its replica within the last second.
	lastReplicaWorth = 4.0
	// firstReplicaWorkWeight weighs the model's work in the worth of its only replica.
	firstReplicaWorkWeight = 4.0
)

// estimate is the low, mean and high estimate of the work requested of a model until a replica
// loaded now would be ready.
type estimate struct{ low, mean, high float64 }

// estimate returns the work requested of a model, recently or by the time that a replica loaded now
// would be ready.
func (p *Planner) estimate(m routes.Model) estimate {
	work, stdErr := p.Work(m.Name), 0.0
	if p.StdErr != nil {
		stdErr = p.StdErr(m.Name)
	}
	e := estimate{low: max(work-stdErr, 0), mean: work, high: work + stdErr}
	if p.Forecast == nil {
		return e
	}
	future, mean := p.Forecast(m.Name, min(m.LoadTime, maxForecast))
	if future < work {
		return estimate{low: min(e.low, future), mean: mean, high: mean + stdErr}
	}
	e.low = max(e.low, future-forecastErrorRatio*stdErr)
	e.mean = max(e.mean, (e.low+future)/2)
	e.high = max(e.high, future)
	return e
}

// lastReplicaLoss returns the loss if the only replica of a model is replaced by a first replica of
// another one. It returns false if that is not allowed.
func (p *Planner) lastReplicaLoss(victim string, r *modelState, replacement string) (float64, bool) {
	if p.SinceRequested == nil || len(p.planned.replicas[replacement]) > 0 || p.Now.Sub(r.since) < minResidence {
		return 0, false
	}
	if waiting, requested := p.SinceRequested(replacement); !requested || waiting >= requestWaitTime {
		return 0, false
	}
	idle, requested := p.SinceRequested(victim)
	if !requested {
		return math.SmallestNonzeroFloat64, true
	}
	return lastReplicaWorth / (1 + idle.Seconds()), idle >= lastReplicaIdleTime
}

// recoupsLoss reports whether the gain of a replica outweighs the loss of its victim. The loss
// applies at once, the gain only when the replica is ready.
func recoupsLoss(gain, loss float64, readyIn time.Duration) bool {
	return gain*math.Exp(-readyIn.Seconds()/demandDuration.Seconds()) > loss
}

// firstReplicaWorth returns the worth of a model's only replica. It grows with the time that the
// model has been without a replica.
func (p *Planner) firstReplicaWorth(model string) float64 {
	worth := firstReplicaBaseWorth + firstReplicaWorkWeight*p.work[model].mean
	if p.TimeWithoutReplica != nil {
		worth *= 1 + p.TimeWithoutReplica(model).Seconds()
	}
	return worth
}

// domainWorth returns the worth of a model's first replica in a failure domain.
func (p *Planner) domainWorth(work float64) float64 {
	if p.domains < 2 {
		return 0
	}
	return domainWeight * square(work/float64(p.domains))
}

func square(x float64) float64 { return x * x }
