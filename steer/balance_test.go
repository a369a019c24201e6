package steer

import (
	"fmt"
	"maps"
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

// weightedUtil returns the measure that gain and loss are changes of: the sum of squared utilizations, each
// counted by the capacity of its server.
func weightedUtil(b *balance) float64 {
	sum := 0.0
	for i, u := range b.util {
		sum += b.capacity[i] * u * u
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
		requireGainAndLossOfMoves(t, equalCapacities(4), map[string]float64{"m": rng.Float64() * 3, "n": rng.Float64()})
	}
}

// requireGainAndLossOfMoves requires that the gain of a replica of m at server 2, which has one of n, and the
// loss of the one at server 1 equal the changes of weightedUtil that these moves make, and that loss returns
// the utilization that is left.
func requireGainAndLossOfMoves(t *testing.T, capacity []float64, work map[string]float64) {
	t.Helper()
	newTestBalance := func() *balance {
		return newBalance(capacity, map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(2)}, work)
	}
	b := newTestBalance()
	gain := b.gain("m", 2, b.util[2])
	before := weightedUtil(b)
	b.add("m", 2)
	require.InDelta(t, before-weightedUtil(b), gain, 1e-6)
	b = newTestBalance()
	loss, util := b.loss("m", 1)
	before = weightedUtil(b)
	b.remove("m", 1)
	require.InDelta(t, weightedUtil(b)-before, loss, 1e-6)
	require.InDelta(t, b.util[1], util, 1e-9)
}

// shiftTotal is the work of all requests of simulateShift, in servers.
const shiftTotal = 6.0

// newShiftFleet returns twelve servers with memory for three of 21 models. m00 has eight replicas, m01 four and
// the others one.
func newShiftFleet() *simPlacement {
	f := &simPlacement{
		engine: &routes.Engine{WeightMemoryMB: 30, Models: make(map[string]routes.Model)},
		now:    time.Unix(1000, 0), maxOrders: 9,
	}
	for i := range 21 {
		name := fmt.Sprintf("m%02d", i)
		f.engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: 5800 * time.Millisecond}
	}
	for i := range 12 {
		models := []string{"m00"}
		if i >= 8 {
			models = []string{"m01"}
		}
		models = append(models, fmt.Sprintf("m%02d", 2+i))
		if i < 7 {
			models = append(models, fmt.Sprintf("m%02d", 14+i))
		}
		f.addServer(fmt.Sprintf("s%02d", i), fmt.Sprintf("d%d", i%3), models...)
	}
	return f
}

// simulateShift simulates a shift of demand at the servers of newShiftFleet. m00 and m01 have all of
// the demand. From the sixth second on, within six seconds, the demand for the first ends, the second
// gets the first one's share and a third model the second one's. Loads from the weight store take
// 5.8 s; unloading a replica in use takes two seconds. It returns the work beyond the capacity of the
// servers, in server seconds, and the number of loads.
func simulateShift(t *testing.T, trend bool) (overload float64, loads int) {
	t.Helper()
	const (
		tick    = 100 * time.Millisecond
		request = 0.03
		ramp    = 6.0
	)
	f := newShiftFleet()
	f.withoutTrend = !trend
	rng := rand.New(rand.NewPCG(7, 7))
	start := f.now
	for ; f.now.Before(start.Add(25 * time.Second)); f.now = f.now.Add(tick) {
		progress := min(max(f.now.Sub(start).Seconds()-6, 0)/ramp, 1)
		work := map[string]float64{"m00": shiftTotal * 0.65 * (1 - progress), "m01": shiftTotal * (0.35 + 0.3*progress), "m02": shiftTotal * 0.35 * progress}
		for _, m := range slices.Sorted(maps.Keys(work)) {
			mean := work[m] * tick.Seconds() / request
			n := int(mean)
			if rng.Float64() < mean-float64(n) {
				n++
			}
			f.demand.Add(f.now, m, request*float64(n), n)
		}
		f.finishOrders()
		f.place()
		replicas := f.loadedReplicas()
		for m := range f.engine.Models {
			require.NotEmpty(t, replicas[m], "%s has no loaded replica", m)
		}
		for _, u := range newBalance(equalCapacities(len(f.servers)), replicas, work).util {
			overload += max(u-1, 0) * tick.Seconds()
		}
	}
	return overload, f.loads
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
