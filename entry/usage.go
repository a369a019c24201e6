package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// modelUsage measures the load that is offered for each model: the rate of
// arrivals times the time a server takes. Counting the requests in progress and
// waiting instead would take a queue for demand: it grows for as long as the
// servers are too few, and then asks for many more than are needed.
type modelUsage struct {
	mu     sync.Mutex
	models map[string]*offered
}

// offered is the load offered for one model.
type offered struct {
	arrivals admit.ArrivalRate
	service  time.Duration
}

// milli is the unit of the load in heartbeats: a thousandth of a request in
// progress.
const milli = 1000

func (u *modelUsage) model(name string) *offered {
	if u.models == nil {
		u.models = make(map[string]*offered)
	}
	o := u.models[name]
	if o == nil {
		o = &offered{}
		u.models[name] = o
	}
	return o
}

// arrived counts a request for a model.
func (u *modelUsage) arrived(now time.Time, model string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.model(model).arrivals.Observe(now)
}

// served takes in the time that a server took for a request.
func (u *modelUsage) served(model string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	o := u.model(model)
	if o.service == 0 {
		o.service = took
	}
	o.service += time.Duration(admit.SmoothingFactor * float64(took-o.service))
}

// demand returns the load offered for each model, in thousandths.
func (u *modelUsage) demand(now time.Time) []wire.ModelDemand {
	u.mu.Lock()
	defer u.mu.Unlock()
	demand := []wire.ModelDemand{}
	for name, o := range u.models {
		load := o.arrivals.PerSecond(now) * o.service.Seconds()
		if n := int(math.Round(load * milli)); n > 0 {
			demand = append(demand, wire.ModelDemand{Model: name, Load: n})
		}
	}
	return demand
}
