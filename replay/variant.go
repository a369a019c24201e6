package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// Variant selects how a replay differs from the real system: which policies are off, or which
// information is available that the real system cannot have. The zero value is the real system.
type Variant struct {
	// Random sends each request to a random server that has loaded its model. Still keeps the
	// initial placement of models. Both together are the simplest form of the system.
	Random, Still bool
	// Exact gives each VM the exact load of all VMs without delay.
	Exact bool
	// Foreseen reports to the controller the demand at that time in the future instead of the
	// observed demand, unless it is 0.
	Foreseen time.Duration
	// Instant makes loads take instantLoadTime each, without a rate limit.
	Instant bool
}

const (
	// instantLoadTime is the time of each load if Instant is set.
	instantLoadTime = 50 * time.Millisecond
	// unlimited is a rate or number that no pattern reaches.
	unlimited = 1e6
	// forecastRequests is the reported number of requests. It is so high that statistical noise is
	// negligible.
	forecastRequests = 10_000
)

func (v Variant) apply(f *Fleet) {
	if !v.Instant {
		return
	}
	f.LoadsPerSecond, f.AtOnce = unlimited, unlimited
	f.Models = append([]Model(nil), f.Models...)
	for i := range f.Models {
		f.Models[i].Load, f.Models[i].Disk, f.Models[i].Warm = instantLoadTime, instantLoadTime, instantLoadTime
	}
}

// reportForecast reports the future demand to the controller in the form of a VM's report.
func (sim *simulation) reportForecast(v *vm) {
	at := sim.now + sim.variant.Foreseen
	if at < 0 {
		return
	}
	interval := frameInterval(sim.hubLinks()).Seconds()
	work := make([]float64, len(sim.pattern.Fleet.Models))
	for i := range sim.pattern.Kinds {
		class := &sim.pattern.Kinds[i]
		rate := sim.pattern.requestRate(class, at)
		for m, share := range sim.pattern.demandShares(class, at) {
			if share > 0 {
				work[m] += rate * share * interval * v.balancer.Cost(sim.meanWork(class, m)).Seconds()
			}
		}
	}
	var demand []steer.ModelDemand
	for m, seconds := range work {
		if seconds > 0 {
			demand = append(demand, steer.ModelDemand{
				Service: serviceName, Model: modelName(m), Requests: forecastRequests, ServerTime: time.Duration(seconds * float64(time.Second)),
			})
		}
	}
	sim.controller.RecordVMReport(sim.currentTime(), v.name, nil, demand)
}

// meanWork returns the description of a request with the mean sizes of its class.
func (sim *simulation) meanWork(class *Kind, model int) pick.Work {
	work := sim.newWork(class, model)
	work.PromptTokens = int(class.Own.Mean)
	for _, prompt := range class.Shared {
		work.PromptTokens += int(prompt.Tokens.Mean)
		work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(prompt.Tokens.Mean)})
	}
	work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(class.Own.Mean)})
	return work
}
