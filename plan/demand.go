package plan

import (
	"math"
	"time"
)

const (
	// riseTimeConstant and fallTimeConstant are the time constants of the demand
	// estimate. It rises fast, because a surge is served late until the estimate
	// shows it. It falls more slowly, so that a gap of one second does not end a
	// burst, but not much more slowly: demand that has ended would keep replicas
	// that current demand needs. Falling demand alone drops no replica; a replica
	// is dropped only when another model needs its memory.
	riseTimeConstant = time.Second
	fallTimeConstant = 2 * time.Second
	// minDemand is the estimate below which a model is removed.
	minDemand = 0.01
)

// Demand estimates the offered load of each model, in concurrent requests. The
// zero value has no observations.
type Demand struct {
	models map[string]estimate
}

type estimate struct {
	value     float64
	updatedAt time.Time
}

// Observe adds the offered load of each model at now; a model that is missing has
// none.
func (d *Demand) Observe(now time.Time, requests map[string]float64) {
	if d.models == nil {
		d.models = make(map[string]estimate)
	}
	for model := range requests {
		if _, known := d.models[model]; !known {
			d.models[model] = estimate{updatedAt: now.Add(-riseTimeConstant)}
		}
	}
	for model, e := range d.models {
		e.value += (requests[model] - e.value) * smoothingFactor(now.Sub(e.updatedAt), requests[model] > e.value)
		e.updatedAt = now
		d.models[model] = e
		if e.value < minDemand && requests[model] == 0 {
			delete(d.models, model)
		}
	}
}

func smoothingFactor(elapsed time.Duration, rising bool) float64 {
	timeConstant := fallTimeConstant
	if rising {
		timeConstant = riseTimeConstant
	}
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// Estimate returns the estimate for a model.
func (d *Demand) Estimate(model string) float64 { return d.models[model].value }
