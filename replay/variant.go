package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// Variant selects how a replay differs from the real system: which policies are off, or which
// information is available that the real system cannot have. The zero value is the real system.
type Variant struct {
	// RandomServer sends each request to a random server that has loaded its model. FixedPlacement
	// keeps the initial placement of models. Both together are the simplest form of the system.
	RandomServer, FixedPlacement bool
	// ExactLoad gives each VM the exact load of all VMs without delay.
	ExactLoad bool
	// ForecastHorizon is how far in the future the demand is that is reported to the controller
	// instead of the observed demand; 0 reports the observed demand.
	ForecastHorizon time.Duration
	// UndividedLoad counts all prefill as one priority, so that no request is taken to overtake
	// others.
	UndividedLoad bool
	// TwoLevels divides the prefill only into that of the most urgent class and the rest.
	TwoLevels bool
	// NoYield lets urgent requests overtake others however rarely those are served.
	NoYield bool
	// UrgentQueueLimit is the queue up to which requests of the most urgent class are sent whatever
	// their objective; 0 is the limit of the real system.
	UrgentQueueLimit time.Duration
	// IgnorePauses hides from the VMs for how long a stream may pause, so that the choice of a server
	// does not count the risk.
	IgnorePauses bool
	// InstantLoads makes loads take instantLoadTime each, without a rate limit.
	InstantLoads bool
	// EqualCapacities hides the paces of the servers from the controller, and UnknownPaces is the share
	// of the servers whose pace is unknown.
	EqualCapacities bool
	UnknownPaces    float64
}

const (
	// instantLoadTime is the time of each load if InstantLoads is set.
	instantLoadTime = 50 * time.Millisecond
	// unlimited is a rate or number that no pattern reaches.
	unlimited = 1e6
	// forecastRequests is the reported number of requests. It is so high that statistical noise is
	// negligible.
	forecastRequests = 10_000
)

func (v Variant) apply(f *Fleet) {
	if !v.InstantLoads {
		return
	}
	f.StoreLoadsPerSecond, f.FullSpeedLoads = unlimited, unlimited
	f.Models = append([]Model(nil), f.Models...)
	for i := range f.Models {
		f.Models[i].LoadTime, f.Models[i].DiskLoadTime, f.Models[i].MemoryLoadTime = instantLoadTime, instantLoadTime, instantLoadTime
	}
}

// reportForecast reports the future demand to the controller in the form of a VM's report.
func (sim *simulation) reportForecast(v *vm) {
	at := sim.now + sim.variant.ForecastHorizon
	if at < 0 {
		return
	}
	interval := frameInterval(sim.hubLinks()).Seconds()
	work := make([]float64, len(sim.pattern.Fleet.Models))
	for i := range sim.pattern.Classes {
		class := &sim.pattern.Classes[i]
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
func (sim *simulation) meanWork(class *RequestClass, model int) pick.Work {
	work := sim.newWork(class, model)
	work.PromptTokens = int(class.UniqueTokens.Mean)
	for _, prompt := range class.SharedPrompts {
		work.PromptTokens += int(prompt.Tokens.Mean)
		work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(prompt.Tokens.Mean)})
	}
	work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(class.UniqueTokens.Mean)})
	return work
}
