package steer

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// simPlacement places models at simulated servers by the planner. Servers accept all orders, and
// finish them after the time that the planner expects.
type simPlacement struct {
	engine  *routes.Engine
	servers []*Server
	demand  Demand
	now     time.Time
	// withoutTrend is set if the planner places by recent demand alone.
	withoutTrend bool
	// maxOrders bounds the orders in progress beyond which no load may begin, 0 for no bound.
	maxOrders int
	orders    []simOrder
	// loads is the number of loads ordered.
	loads int
}

type simOrder struct {
	server *Server
	model  string
	unload bool
	done   time.Time
}

// addServer adds a server that has models loaded.
func (f *simPlacement) addServer(id, domain string, models ...string) {
	e := backs.Entry{ID: id, Service: "s", Domain: domain}
	for _, m := range models {
		e.Models = append(e.Models, backs.LoadedModel{Model: m})
	}
	s := NewServer(f.now, e)
	s.ApplyReport(f.now, f.now, Report{Models: e.Models})
	f.servers = append(f.servers, s)
}

// finishOrders applies the orders that are done by now.
func (f *simPlacement) finishOrders() {
	remaining := f.orders[:0]
	for _, o := range f.orders {
		switch {
		case f.now.Before(o.done):
			remaining = append(remaining, o)
		case o.unload:
			o.server.removeModel(f.now, o.model)
		default:
			o.server.addModel(f.now, backs.LoadedModel{Model: o.model})
		}
	}
	f.orders = remaining
}

// place sends the next orders of the plan.
func (f *simPlacement) place() {
	for _, step := range f.planner().Steps() {
		o := simOrder{server: step.Server, model: step.Model.Name, unload: step.Unload, done: f.now.Add(step.LoadTime)}
		if step.Unload {
			o.done = f.now.Add(drainTime)
			step.Server.Reserve(f.now, step.ReplacedBy)
		} else {
			f.loads++
		}
		step.Server.ApplyResult(f.now, f.now, f.engine, Order{Unload: step.Unload, Model: o.model}, Accepted, o.done.Sub(f.now))
		f.orders = append(f.orders, o)
	}
}

func (f *simPlacement) planner() *Planner {
	age := meanAge(demandHalfLife)
	p := &Planner{
		Engine: f.engine, Servers: f.servers, Now: f.now,
		StartStoreLoad: func() *LoadStart {
			if f.maxOrders > 0 && len(f.orders) >= f.maxOrders {
				return nil
			}
			return &LoadStart{}
		},
		Work:   func(m string) float64 { return f.demand.Work(f.now, m) / age },
		StdErr: func(m string) float64 { return f.demand.StdErr(f.now, m) / age },
	}
	if !f.withoutTrend {
		p.Forecast = func(m string, horizon time.Duration) (float64, float64) {
			future, mean := f.demand.Forecast(f.now, m, horizon)
			return future / age, mean / age
		}
	}
	return p
}

// loadedReplicas returns the loaded replicas of each model.
func (f *simPlacement) loadedReplicas() map[string][]replica {
	var candidates []candidate
	for _, s := range f.servers {
		candidates = append(candidates, candidate{Server: s})
	}
	return loadedReplicas(f.engine, candidates)
}
