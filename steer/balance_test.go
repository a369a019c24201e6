package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// replicasAt returns replicas of a model at servers, given by index.
func replicasAt(servers ...int) []replica {
	var list []replica
	for _, s := range servers {
		list = append(list, replica{server: s})
	}
	return list
}

func equalCapacities(n int) []float64 {
	return slices.Repeat([]float64{1}, n)
}

func squaredUtil(b *balance) float64 {
	sum := 0.0
	for _, u := range b.util {
		sum += u * u
	}
	return sum
}

func TestBalanceDividesWork(t *testing.T) {
	tests := map[string]struct {
		replicas map[string][]replica
		work     map[string]float64
		want     []float64
	}{
		"even split":                {map[string][]replica{"m": replicasAt(0, 1)}, map[string]float64{"m": 1}, []float64{0.5, 0.5, 0}},
		"other model on one server": {map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(0)}, map[string]float64{"m": 1, "n": 0.4}, []float64{0.7, 0.7, 0}},
		"full server gets no share": {map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(0)}, map[string]float64{"m": 0.5, "n": 2}, []float64{2, 0.5, 0}},
		"two models share a server": {map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(1, 2)}, map[string]float64{"m": 1.2, "n": 0.6}, []float64{0.6, 0.6, 0.6}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBalance(equalCapacities(3), tc.replicas, tc.work)
			require.InDeltaSlice(t, tc.want, b.util, 0.02)
		})
	}
}

// The planner compares gain and loss to decide on moves that take seconds. Both must equal the
// change of the sum of squared utilizations after the work is divided again.
func TestGainAndLossMatchBalance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		work := map[string]float64{"m": rng.Float64() * 3, "n": rng.Float64()}
		newTestBalance := func() *balance {
			return newBalance(equalCapacities(4), map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(2)}, work)
		}
		b := newTestBalance()
		gain := b.gain("m", 2, b.util[2])
		before := squaredUtil(b)
		b.add("m", 2)
		require.InDelta(t, before-squaredUtil(b), gain, 1e-6)
		b = newTestBalance()
		loss, util := b.loss("m", 1)
		before = squaredUtil(b)
		b.remove("m", 1)
		require.InDelta(t, squaredUtil(b)-before, loss, 1e-6)
		require.InDelta(t, b.util[1], util, 1e-9)
	}
}

// simulateShift simulates a shift of demand at twelve servers with memory for three of 21 models.
// Two models, with eight and four replicas, have all of the demand, the work of six servers. Within
// six seconds the demand for the first ends, the second gets the first one's share and a third
// model the second one's. Loads from the weight store take 5.8 s; unloading a replica in use takes
// two seconds. It returns the work beyond the capacity of the servers, in server seconds, and the
// number of loads.
func simulateShift(t *testing.T, trend bool) (overload float64, loads int) {
	t.Helper()
	const (
		tick    = 100 * time.Millisecond
		total   = 6.0
		request = 0.03
		ramp    = 6.0
	)
	engine := &routes.Engine{WeightMemoryMB: 30, Models: make(map[string]routes.Model)}
	for i := range 21 {
		name := fmt.Sprintf("m%02d", i)
		engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: 5800 * time.Millisecond}
	}
	start := time.Unix(1000, 0)
	var servers []*Server
	for i := range 12 {
		models := []string{"m00"}
		if i >= 8 {
			models = []string{"m01"}
		}
		models = append(models, fmt.Sprintf("m%02d", 2+i))
		if i < 7 {
			models = append(models, fmt.Sprintf("m%02d", 14+i))
		}
		e := backs.Entry{ID: fmt.Sprintf("s%02d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3)}
		for _, m := range models {
			e.Models = append(e.Models, backs.LoadedModel{Model: m})
		}
		s := NewServer(start, e)
		s.ApplyReport(start, start, Report{Models: e.Models})
		servers = append(servers, s)
	}
	demand := &Demand{}
	rng := rand.New(rand.NewPCG(7, 7))
	type order struct {
		server *Server
		model  string
		unload bool
		done   time.Time
	}
	var inProgress []order
	for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(tick) {
		progress := min(max(now.Sub(start).Seconds()-6, 0)/ramp, 1)
		requested := map[string]float64{"m00": 0.65 * (1 - progress), "m01": 0.35 + 0.3*progress, "m02": 0.35 * progress}
		for m, share := range requested {
			mean := share * total * tick.Seconds() / request
			n := int(mean)
			if rng.Float64() < mean-float64(n) {
				n++
			}
			demand.Add(now, m, request*float64(n), n)
		}
		remaining := inProgress[:0]
		for _, o := range inProgress {
			if now.Before(o.done) {
				remaining = append(remaining, o)
				continue
			}
			if o.unload {
				o.server.removeModel(now, o.model)
			} else {
				o.server.addModel(now, backs.LoadedModel{Model: o.model})
			}
		}
		inProgress = remaining
		p := &Planner{
			Engine: engine, Servers: servers, Now: now, StartStoreLoad: func() *LoadStart {
				if len(inProgress) < 9 {
					return &LoadStart{}
				}
				return nil
			},
			Work:   func(m string) float64 { return demand.Work(now, m) / meanAge(demandHalfLife) },
			StdErr: func(m string) float64 { return demand.StdErr(now, m) / meanAge(demandHalfLife) },
		}
		if trend {
			p.Forecast = func(m string, horizon time.Duration) (float64, float64) {
				future, mean := demand.Forecast(now, m, horizon)
				return future / meanAge(demandHalfLife), mean / meanAge(demandHalfLife)
			}
		}
		for _, step := range p.Steps() {
			o := order{server: step.Server, model: step.Model.Name, unload: step.Unload, done: now.Add(step.LoadTime)}
			if step.Unload {
				o.done = now.Add(2 * time.Second)
				step.Server.Reserve(now, step.ReplacedBy)
			} else {
				loads++
			}
			step.Server.ApplyResult(now, now, engine, Order{Unload: step.Unload, Model: o.model}, Accepted, o.done.Sub(now))
			inProgress = append(inProgress, o)
		}
		replicas := make(map[string][]replica)
		for i, s := range servers {
			for m, r := range s.models {
				if r.phase == loaded {
					replicas[m] = append(replicas[m], replica{server: i})
				}
			}
		}
		for m := range engine.Models {
			require.NotEmpty(t, replicas[m], "%s has no loaded replica", m)
		}
		for m := range requested {
			requested[m] *= total
		}
		for _, u := range newBalance(equalCapacities(len(servers)), replicas, requested).util {
			overload += max(u-1, 0) * tick.Seconds()
		}
	}
	return overload, loads
}

// Demand shifts to other models within six seconds. Placed by recent demand, the replicas are ready
// only when the shift is over, and until then the only replica of the model with rising demand is
// overloaded several times. Placed by trend, they are ready earlier.
func TestReplicasFollowDemandTrend(t *testing.T) {
	before, _ := simulateShift(t, false)
	after, loads := simulateShift(t, true)
	require.Less(t, after, 0.9*before)
	require.Less(t, after, 4.0, "work beyond the capacity of the servers, in server seconds")
	require.Less(t, loads, 25)
}

// Three servers crash and with them the only replicas of some rare models. They are back within
// seconds, with their weights on disk. A busy model's replica must not be replaced at once for a
// rare model, which would affect all callers, but only when the rare model stays missing for
// longer.
func TestRareModelsWaitAfterCrash(t *testing.T) {
	engine := &routes.Engine{WeightMemoryMB: 20, Models: make(map[string]routes.Model)}
	for _, m := range []string{"busy", "rare", "other"} {
		engine.Models[m] = routes.Model{Name: m, SizeMB: 10, LoadTime: time.Second}
	}
	now := time.Unix(1000, 0)
	var servers []*Server
	for i, models := range [][]string{{"busy", "other"}, {"busy"}} {
		e := backs.Entry{ID: fmt.Sprint(i), Service: "s"}
		for _, m := range models {
			e.Models = append(e.Models, backs.LoadedModel{Model: m})
		}
		if i == 1 {
			e.Models = append(e.Models, backs.LoadedModel{Model: "filler"})
			engine.Models["filler"] = routes.Model{Name: "filler", SizeMB: 10, LoadTime: time.Second}
		}
		s := NewServer(now, e)
		s.ApplyReport(now, now, Report{Models: e.Models})
		servers = append(servers, s)
	}
	plan := func(missing time.Duration) []Step {
		p := &Planner{
			Engine: engine, Servers: servers, Now: now, StartStoreLoad: func() *LoadStart { return &LoadStart{} },
			Work:               func(m string) float64 { return map[string]float64{"busy": 0.9}[m] },
			TimeWithoutReplica: func(string) time.Duration { return missing },
		}
		return p.Steps()
	}
	require.Empty(t, plan(time.Second))
	steps := plan(time.Minute)
	require.Len(t, steps, 1)
	require.True(t, steps[0].Unload)
	require.Equal(t, "rare", steps[0].ReplacedBy)
}
