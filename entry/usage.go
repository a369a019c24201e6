package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// offeredLoads measures the offered load of each model: the arrival rate times
// the service time. Counting the requests in progress and waiting instead would
// mistake a queue for demand: the queue grows as long as there are too few
// servers, and the count then asks for far more servers than are needed.
type offeredLoads struct {
	mu    sync.Mutex
	loads map[string]*modelLoad
}

// modelLoad is the offered load of one model.
type modelLoad struct {
	arrivals    admit.ArrivalRate
	serviceTime time.Duration
}

// loadScale is the scale of the load in heartbeats: thousandths of a request in
// progress.
const loadScale = 1000

func (l *offeredLoads) forModel(name string) *modelLoad {
	if l.loads == nil {
		l.loads = make(map[string]*modelLoad)
	}
	m := l.loads[name]
	if m == nil {
		m = &modelLoad{}
		l.loads[name] = m
	}
	return m
}

// recordArrival counts a request for a model.
func (l *offeredLoads) recordArrival(now time.Time, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forModel(model).arrivals.Observe(now)
}

// recordServiceTime records the time that a server took for a request.
func (l *offeredLoads) recordServiceTime(model string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.forModel(model)
	if m.serviceTime == 0 {
		m.serviceTime = duration
	}
	m.serviceTime += time.Duration(admit.SmoothingFactor * float64(duration-m.serviceTime))
}

// snapshot returns the offered load of each model, in thousandths.
func (l *offeredLoads) snapshot(now time.Time) []wire.ModelDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := []wire.ModelDemand{}
	for name, m := range l.loads {
		load := m.arrivals.PerSecond(now) * m.serviceTime.Seconds()
		if n := int(math.Round(load * loadScale)); n > 0 {
			demand = append(demand, wire.ModelDemand{Model: name, Load: n})
		}
	}
	return demand
}
