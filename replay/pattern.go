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
	MB float64
	// Load, Disk and Warm are the load times from the weight store, the server's disk and its
	// host memory.
	Load, Disk, Warm time.Duration
	// Pace is the time per token relative to that of the largest model.
	Pace float64
	// Adapters is the number of adapters of the model.
	Adapters int
}

// Size is a lognormal distribution of a number of tokens. Spread is the standard deviation
// divided by Mean, 0 for a constant; Most is the maximum, 0 for none.
type Size struct{ Mean, Spread, Most float64 }

func (s Size) draw(rng *rand.Rand) int {
	if s.Spread == 0 {
		return max(int(s.Mean), 1)
	}
	v := math.Log(1 + s.Spread*s.Spread)
	n := math.Exp(math.Log(s.Mean) - v/2 + math.Sqrt(v)*rng.NormFloat64())
	if s.Most > 0 {
		n = min(n, s.Most)
	}
	return max(int(n), 1)
}

// Shared is a prompt part that requests for a model share. Each request draws one of Things
// variants.
type Shared struct {
	Tokens Size
	Things int
}

// Kind is a class of requests.
type Kind struct {
	Name      string
	PerSecond float64
	// Shared are the prompt parts shared with other requests, and Own is the length of the rest.
	Shared []Shared
	Own    Size
	Output Size
	// Rank is the priority at a server, 0 being the most urgent.
	Rank int
	// Objective is the time to the first event, and Gap the longest pause between later events,
	// within which an answer is worth Worth. Other complete answers are worth Late.
	Objective, Gap time.Duration
	Worth, Late    float64
	// Leaves is the time after which a caller that has received no event disconnects.
	Leaves time.Duration
	// First and Last are the bounds of the requested models in the fleet's list, Last excluded.
	// Active is the number of them in demand at a time, 0 for equal demand for all of them.
	First, Last, Active int
	// Adapted is the share of requests with an adapter among those for models that have some.
	Adapted float64
}

// Fleet describes the simulated VMs, servers and models.
type Fleet struct {
	VMs, Domains, Servers int
	Server                batch.Spec
	Models                []Model
	// MemoryMB is a server's memory for weights, and HostMB and DiskMB are the capacities of its
	// caches of weights in host memory and on disk.
	MemoryMB, HostMB, DiskMB float64
	// AdapterSlots is the maximum number of adapters on a server, AdapterMB their size and
	// AdapterLoad their load time.
	AdapterSlots int
	AdapterMB    float64
	AdapterLoad  time.Duration
	// LoadsPerSecond is the rate limit of loads from the weight store, and AtOnce the number of
	// concurrent loads up to which each runs at full speed.
	LoadsPerSecond float64
	AtOnce         int
	// Way is the one-way latency between a VM and a server in another domain, and Near the one
	// within a domain.
	Way, Near time.Duration
	// RetryShare and RetryExtra set the retry budget: the retries allowed per request, and in
	// addition to these in each budget window, summed over all VMs.
	RetryShare, RetryExtra float64
}

// Shift moves the demand by a number of models in the list, gradually from At on.
type Shift struct {
	At, For time.Duration
	Places  int
}

// Burst multiplies the request rate of a class, or of all classes if Kind is "".
type Burst struct {
	At, For time.Duration
	Kind    string
	Times   float64
}

// Trouble is a fault of a randomly chosen share of the servers.
type Trouble struct {
	At, For time.Duration
	Share   float64
	// Times is the factor by which they are slower. If it is 0 they crash, and restart with
	// nothing but the contents of their disks.
	Times float64
}

// Pattern is a load pattern.
type Pattern struct {
	Fleet Fleet
	Kinds []Kind
	// Skew is the exponent of the power law by which demand falls from one active model to the
	// next. Head multiplies the demand for the first, unless it is 0.
	Skew, Head float64
	// Lead is how long before the traffic the VMs and the controller start.
	Lead     time.Duration
	Length   time.Duration
	Shifts   []Shift
	Bursts   []Burst
	Troubles []Trouble
}

// topPriority returns the priority of the most urgent class.
func (p *Pattern) topPriority() int {
	top := p.Kinds[0].Rank
	for _, class := range p.Kinds {
		top = min(top, class.Rank)
	}
	return top
}

// demandShares returns the share of each model in the demand of a class at a time since the
// start of the traffic.
func (p *Pattern) demandShares(class *Kind, at time.Duration) []float64 {
	modelCount := class.Last - class.First
	shares := make([]float64, len(p.Fleet.Models))
	offset := 0
	p.addDemand(shares, class, offset, 1)
	for _, s := range p.Shifts {
		progress := min(max(float64(at-s.At)/float64(s.For), 0), 1)
		if progress == 0 {
			continue
		}
		for i := range shares {
			shares[i] *= 1 - progress
		}
		offset = (offset + s.Places) % modelCount
		p.addDemand(shares, class, offset, progress)
	}
	return shares
}

// addDemand adds a fraction of the demand of a class, with the active models starting at offset.
func (p *Pattern) addDemand(shares []float64, class *Kind, offset int, fraction float64) {
	modelCount := class.Last - class.First
	active := cmp.Or(class.Active, modelCount)
	total := 0.0
	for i := range active {
		total += p.modelWeight(class, i)
	}
	for i := range active {
		shares[class.First+(offset+i)%modelCount] += fraction * p.modelWeight(class, i) / total
	}
}

func (p *Pattern) modelWeight(class *Kind, i int) float64 {
	if class.Active == 0 {
		return 1
	}
	weight := math.Pow(float64(i+1), -p.Skew)
	if i == 0 && p.Head > 0 {
		weight *= p.Head
	}
	return weight
}

// requestRate returns the requests per second of a class at a time.
func (p *Pattern) requestRate(class *Kind, at time.Duration) float64 {
	rate := class.PerSecond
	for _, b := range p.Bursts {
		if (b.Kind == "" || b.Kind == class.Name) && at >= b.At && at < b.At+b.For {
			rate *= b.Times
		}
	}
	return rate
}
