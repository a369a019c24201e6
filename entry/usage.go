package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// modelLoads measures the offered load of each model: the arrival rate times
// the service time. Counting the requests in progress and waiting instead would
// mistake a queue for demand: the queue grows as long as there are too few
// servers, and the count then asks for far more servers than are needed.
type modelLoads struct {
	mu    sync.Mutex
	loads map[string]*offeredLoad
}

// offeredLoad is the load offered for one model.
type offeredLoad struct {
	arrivals    admit.ArrivalRate
	serviceTime time.Duration
}

// loadScale is the scale of the load in heartbeats: thousandths of a request in
// progress.
const loadScale = 1000

func (u *modelLoads) load(name string) *offeredLoad {
	if u.loads == nil {
		u.loads = make(map[string]*offeredLoad)
	}
	o := u.loads[name]
	if o == nil {
		o = &offeredLoad{}
		u.loads[name] = o
	}
	return o
}

// recordArrival counts a request for a model.
func (u *modelLoads) recordArrival(now time.Time, model string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load(model).arrivals.Observe(now)
}

// recordServiceTime records the time that a server took for a request.
func (u *modelLoads) recordServiceTime(model string, duration time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	o := u.load(model)
	if o.serviceTime == 0 {
		o.serviceTime = duration
	}
	o.serviceTime += time.Duration(admit.SmoothingFactor * float64(duration-o.serviceTime))
}

// snapshot returns the offered load of each model, in thousandths.
func (u *modelLoads) snapshot(now time.Time) []wire.ModelDemand {
	u.mu.Lock()
	defer u.mu.Unlock()
	demand := []wire.ModelDemand{}
	for name, o := range u.loads {
		load := o.arrivals.PerSecond(now) * o.serviceTime.Seconds()
		if n := int(math.Round(load * loadScale)); n > 0 {
			demand = append(demand, wire.ModelDemand{Model: name, Load: n})
		}
	}
	return demand
}
