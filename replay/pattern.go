// Package replay runs load patterns through the policies of the system: server selection with
// the load information that each VM has at the time, admission, queue order, and model
// placement. It is a discrete-event simulation of the servers, in batch steps, and of the VMs,
// including the delay of the information that they receive. Half a minute of hundreds of VMs is
// simulated in seconds, and the same pattern and seed give the same results. The package
// evaluates policies; the programs themselves are tested elsewhere.
package replay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// Model is a model that servers can load.
type Model struct {
	SizeMB float64
	// LoadTime, DiskLoadTime and MemoryLoadTime are the load times from the weight store, the
	// server's disk and its host memory.
	LoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	// TokenTimeFactor is the time per token relative to that of the largest model.
	TokenTimeFactor float64
	// AdapterCount is the number of adapters of the model.
	AdapterCount int
}

// TokenDistribution is a lognormal distribution of a number of tokens. RelativeStdDev is the
// standard deviation divided by Mean, 0 for a constant; Max is the maximum, 0 for none.
type TokenDistribution struct{ Mean, RelativeStdDev, Max float64 }

func (s TokenDistribution) draw(rng *rand.Rand) int {
	if s.RelativeStdDev == 0 {
		return max(int(s.Mean), 1)
	}
	v := math.Log(1 + s.RelativeStdDev*s.RelativeStdDev)
	n := math.Exp(math.Log(s.Mean) - v/2 + math.Sqrt(v)*rng.NormFloat64())
	if s.Max > 0 {
		n = min(n, s.Max)
	}
	return max(int(n), 1)
}

// SharedPrompt is a prompt part that requests for a model share. Each request draws one of the
// variants.
type SharedPrompt struct {
	Tokens   TokenDistribution
	Variants int
}

// RequestClass is a class of requests.
type RequestClass struct {
	Name              string
	RequestsPerSecond float64
	// SharedPrompts are the prompt parts shared with other requests, and UniqueTokens is the length
	// of the rest.
	SharedPrompts []SharedPrompt
	UniqueTokens  TokenDistribution
	OutputTokens  TokenDistribution
	// Priority is the priority at a server, 0 being the most urgent.
	Priority int
	// Objective is the time to the first event, and MaxEventGap the longest pause between later
	// events, within which a response is worth Worth. Other complete responses are worth LateWorth.
	Objective, MaxEventGap time.Duration
	Worth, LateWorth       float64
	// CallerTimeout is the time after which a caller that has received no event disconnects.
	CallerTimeout time.Duration
	// FirstModel and EndModel are the bounds of the requested models in the fleet's list, EndModel
	// excluded. ActiveModels is the number of them in demand at a time, 0 for equal demand for all
	// of them.
	FirstModel, EndModel, ActiveModels int
	// AdapterShare is the share of requests with an adapter among those for models that have some.
	AdapterShare float64
}

// Fleet describes the simulated VMs, servers and models.
type Fleet struct {
	VMs, Domains, Servers int
	ServerSpec            batch.Spec
	// Paces are how long work takes at the servers, relative to ServerSpec, repeated in their order;
	// nil if all are equal.
	Paces  []float64
	Models []Model
	// WeightMemoryMB is a server's memory for weights, and HostCacheMB and DiskCacheMB are the
	// capacities of its caches of weights in host memory and on disk.
	WeightMemoryMB, HostCacheMB, DiskCacheMB float64
	// AdapterSlots is the maximum number of adapters on a server, AdapterSizeMB their size and
	// AdapterLoadTime their load time.
	AdapterSlots    int
	AdapterSizeMB   float64
	AdapterLoadTime time.Duration
	// StoreLoadsPerSecond is the rate limit of loads from the weight store, and FullSpeedLoads the
	// number of concurrent loads up to which each runs at full speed.
	StoreLoadsPerSecond float64
	FullSpeedLoads      int
	// CrossDomainLatency is the one-way latency between a VM and a server in another failure
	// domain, and IntraDomainLatency the one within a failure domain.
	CrossDomainLatency, IntraDomainLatency time.Duration
	// RetriesPerRequest and ExtraRetries set the retry budget: the retries allowed per request, and in
	// addition to these in each budget window, summed over all VMs.
	RetriesPerRequest, ExtraRetries float64
}

// DemandShift moves the demand by a number of models in the list, gradually from At on.
type DemandShift struct {
	At, Duration time.Duration
	ModelOffset  int
}

// Burst multiplies the request rate of a class, or of all classes if Class is "".
type Burst struct {
	At, Duration time.Duration
	Class        string
	RateFactor   float64
}

// Fault is a fault of a randomly chosen share of the servers.
type Fault struct {
	At, Duration time.Duration
	ServerShare  float64
	// Slowdown is the factor by which they are slower. If it is 0 they crash, and restart with
	// nothing but the contents of their disks.
	Slowdown float64
}

// Pattern is a load pattern.
type Pattern struct {
	Fleet   Fleet
	Classes []RequestClass
	// ZipfExponent is the exponent of the power law by which demand falls from one active model to the
	// next. TopModelFactor multiplies the demand for the first, unless it is 0.
	ZipfExponent, TopModelFactor float64
	// Warmup is how long before the traffic the VMs and the controller start.
	Warmup time.Duration
	Length time.Duration
	Shifts []DemandShift
	Bursts []Burst
	Faults []Fault
}

// topPriority returns the priority of the most urgent class.
func (p *Pattern) topPriority() int {
	top := p.Classes[0].Priority
	for _, class := range p.Classes {
		top = min(top, class.Priority)
	}
	return top
}

// demandShares returns the share of each model in the demand of a class at a time since the
// start of the traffic.
func (p *Pattern) demandShares(class *RequestClass, at time.Duration) []float64 {
	modelCount := class.EndModel - class.FirstModel
	shares := make([]float64, len(p.Fleet.Models))
	offset := 0
	p.addDemand(shares, class, offset, 1)
	for _, s := range p.Shifts {
		progress := min(max(float64(at-s.At)/float64(s.Duration), 0), 1)
		if progress == 0 {
			continue
		}
		for i := range shares {
			shares[i] *= 1 - progress
		}
		offset = (offset + s.ModelOffset) % modelCount
		p.addDemand(shares, class, offset, progress)
	}
	return shares
}

// addDemand adds a fraction of the demand of a class, with the active models starting at offset.
func (p *Pattern) addDemand(shares []float64, class *RequestClass, offset int, fraction float64) {
	modelCount := class.EndModel - class.FirstModel
	active := cmp.Or(class.ActiveModels, modelCount)
	total := 0.0
	for i := range active {
		total += p.modelWeight(class, i)
	}
	for i := range active {
		shares[class.FirstModel+(offset+i)%modelCount] += fraction * p.modelWeight(class, i) / total
	}
}

func (p *Pattern) modelWeight(class *RequestClass, i int) float64 {
	if class.ActiveModels == 0 {
		return 1
	}
	weight := math.Pow(float64(i+1), -p.ZipfExponent)
	if i == 0 && p.TopModelFactor > 0 {
		weight *= p.TopModelFactor
	}
	return weight
}

// requestRate returns the requests per second of a class at a time.
func (p *Pattern) requestRate(class *RequestClass, at time.Duration) float64 {
	rate := class.RequestsPerSecond
	for _, b := range p.Bursts {
		if (b.Class == "" || b.Class == class.Name) && at >= b.At && at < b.At+b.Duration {
			rate *= b.RateFactor
		}
	}
	return rate
}
