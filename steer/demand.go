package steer

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of past demand: a shift of demand to other models takes some
	// seconds, and the placement has to follow within that time.
	demandHalfLife = 900 * time.Millisecond
	// trendHalfLife is the half-life of the slow sum, which the trend is derived from.
	trendHalfLife = 3 * demandHalfLife
	// forecastErrorRatio is the standard error of a forecast relative to that of the current
	// demand: by the weights of the two sums, 2.4 for six seconds ahead.
	forecastErrorRatio = 2.4
	// riseErrorRatio is the standard error of the difference between the fast and the slow sum
	// relative to that of the fast one: for mean ages m and 3m it is the square root of
	// (1/2 + 1/6 - 2/4) / (1/2).
	riseErrorRatio = 0.577
)

// meanAge returns the mean age of the contributions to an exponentially decaying sum.
func meanAge(halfLife time.Duration) float64 { return halfLife.Seconds() / math.Ln2 }

// Demand is an exponentially decaying sum of requested work for each name. The zero value is ready
// to use.
type Demand struct {
	entries map[string]*demandEntry
	all     demandEntry
}

// demandEntry holds decaying sums of work, of requests, and of the squared work of each request,
// which decays twice as fast.
type demandEntry struct {
	work, requests, squares float64
	// slowWork is the sum of work that decays with trendHalfLife.
	slowWork float64

	updatedAt   time.Time
	lastRequest time.Time
}

// Add adds the work of a batch of requests.
func (d *Demand) Add(now time.Time, name string, work float64, requests int) {
	if requests <= 0 {
		return
	}
	if d.entries == nil {
		d.entries = make(map[string]*demandEntry)
	}
	e := d.entries[name]
	if e == nil {
		e = &demandEntry{}
		d.entries[name] = e
	}
	e.add(now, work, float64(requests))
	d.all.add(now, work, float64(requests))
}

func (e *demandEntry) add(now time.Time, work, requests float64) {
	f := e.decay(now)
	e.work = e.work*f + work
	e.requests = e.requests*f + requests
	e.squares = e.squares*f*f + work*work/requests
	e.slowWork = e.slowWork*decayFactor(now.Sub(e.updatedAt), trendHalfLife) + work
	e.updatedAt, e.lastRequest = now, now
}

// decay returns the factor by which the sums have decayed since the last update.
func (e *demandEntry) decay(now time.Time) float64 {
	return decayFactor(now.Sub(e.updatedAt), demandHalfLife)
}

func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Work returns the decayed sum of requested work.
func (d *Demand) Work(now time.Time, name string) float64 {
	if e := d.entries[name]; e != nil {
		return e.work * e.decay(now)
	}
	return 0
}

// Total returns the decayed sum of requested work over all names.
func (d *Demand) Total(now time.Time) float64 { return d.all.work * d.all.decay(now) }

// Forecast returns the expected value of Work at the horizon if its trend continues, and its mean
// until then.
func (d *Demand) Forecast(now time.Time, name string, horizon time.Duration) (future, mean float64) {
	e := d.entries[name]
	if e == nil {
		return 0, 0
	}
	work, trend := d.trend(now, e)
	future = work + trend*horizon.Seconds()
	if future >= 0 {
		return future, (work + future) / 2
	}
	// The demand reaches zero before the horizon.
	return 0, work * work / (-2 * trend * horizon.Seconds())
}

// Load pattern: demand shifts between the models within some seconds, and bursts of all models
// begin and end in less time than a load takes. Both raise the requested work of a model steeply,
// but only a shift raises its share of all work. Among hundreds of models some also seem to rise by
// chance at any time. Replicas loaded because of a burst or of chance replaced replicas of models
// with ongoing demand, and were removed again as soon as they were ready.
//
// The trend is therefore that of a model's share of all work. It counts only by as much as it
// exceeds the largest rise that chance produces among so many names.

// trend returns the currently requested work and its change per second. The share in the slow sum
// lags behind that in the fast sum by the trend times the difference of their mean ages.
func (d *Demand) trend(now time.Time, e *demandEntry) (work, trend float64) {
	recent, all := e.work*e.decay(now), d.Total(now)
	slowWork, slowTotal := e.slowSum(now), d.all.slowSum(now)
	if all <= 0 || slowTotal <= 0 {
		return recent, 0
	}
	fastAge, slowAge := meanAge(demandHalfLife), meanAge(trendHalfLife)
	rise := recent/all - slowWork/slowTotal
	stdErr := riseErrorRatio * math.Sqrt(e.squares) * e.decay(now) / all
	trend = rise / (slowAge - fastAge) * d.significance(rise, stdErr)
	return max(recent+trend*fastAge*all, 0), trend * all
}

// slowSum returns the decayed value of the slow sum.
func (e *demandEntry) slowSum(now time.Time) float64 {
	return e.slowWork * decayFactor(now.Sub(e.updatedAt), trendHalfLife)
}

// significance returns the fraction of a rise or fall that counts, from 0 to 1, given its standard
// error: the largest of n random errors is about the square root of 2 ln n standard errors
// (James-Stein shrinkage).
func (d *Demand) significance(rise, stdErr float64) float64 {
	if rise == 0 {
		return 0
	}
	bound := stdErr * math.Sqrt(2*math.Log(float64(max(len(d.entries), 2))))
	return max(1-square(bound/rise), 0)
}

// StdErr returns the standard error of Work as an estimate of the mean demand: requests arrive at
// random, and a few of them are a poor estimate. It is at least the work of one request, so that a
// name without requests so far does not count as certain to have none.
func (d *Demand) StdErr(now time.Time, name string) float64 {
	meanRequest := 0.0
	if d.all.requests > 0 {
		meanRequest = d.all.work / d.all.requests
	}
	e := d.entries[name]
	if e == nil {
		return meanRequest
	}
	f := e.decay(now)
	return math.Sqrt(e.squares*f*f + meanRequest*meanRequest)
}

// Last returns the time of the last request, the zero time for none.
func (d *Demand) Last(name string) time.Time {
	if e := d.entries[name]; e != nil {
		return e.lastRequest
	}
	return time.Time{}
}
