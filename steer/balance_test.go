package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// at servers returns the copies of a model there.
func copiesAt(servers ...int) []copyOf {
	var list []copyOf
	for _, s := range servers {
		list = append(list, copyOf{server: s})
	}
	return list
}

func squares(b *balance) float64 {
	sum := 0.0
	for _, u := range b.util {
		sum += u * u
	}
	return sum
}

func TestBalanceDividesWork(t *testing.T) {
	tests := map[string]struct {
		copies map[string][]copyOf
		work   map[string]float64
		want   []float64
	}{
		"evenly":                    {map[string][]copyOf{"m": copiesAt(0, 1)}, map[string]float64{"m": 1}, []float64{0.5, 0.5, 0}},
		"around another model":      {map[string][]copyOf{"m": copiesAt(0, 1), "n": copiesAt(0)}, map[string]float64{"m": 1, "n": 0.4}, []float64{0.7, 0.7, 0}},
		"none where it is full":     {map[string][]copyOf{"m": copiesAt(0, 1), "n": copiesAt(0)}, map[string]float64{"m": 0.5, "n": 2}, []float64{2, 0.5, 0}},
		"two models share a server": {map[string][]copyOf{"m": copiesAt(0, 1), "n": copiesAt(1, 2)}, map[string]float64{"m": 1.2, "n": 0.6}, []float64{0.6, 0.6, 0.6}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBalance(3, tc.copies, tc.work)
			require.InDeltaSlice(t, tc.want, b.util, 0.02)
		})
	}
}

// What a copy is worth decides on moves that cost seconds, so it must be what it
// brings: the fall of the sum of squares when the work is divided anew.
func TestWorthOfACopyIsWhatItBrings(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		work := map[string]float64{"m": rng.Float64() * 3, "n": rng.Float64()}
		make3 := func() *balance {
			return newBalance(4, map[string][]copyOf{"m": copiesAt(0, 1), "n": copiesAt(2)}, work)
		}
		b := make3()
		gain := b.gain("m", b.util[2])
		before := squares(b)
		b.add("m", 2)
		require.InDelta(t, before-squares(b), gain, 1e-6)
		b = make3()
		loss, util := b.loss("m", 1)
		before = squares(b)
		b.remove("m", 1)
		require.InDelta(t, squares(b)-before, loss, 1e-6)
		require.InDelta(t, b.util[1], util, 1e-9)
	}
}

// shift replays a shift of demand as its servers see it: twelve servers with room for
// three of 21 models, four and eight copies of two models that have all of the demand,
// six servers' worth. Within six seconds the first falls silent, the second takes its
// place and a third the second's. Copies come from the weight store in 5.8 s; one that
// is in use takes two seconds to make way. It returns the work asked of servers beyond
// what they can do, in server seconds, and the loads.
func shift(t *testing.T, trend bool) (overload float64, loads int) {
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
			e.Models = append(e.Models, backs.Held{Model: m})
		}
		s := NewServer(start, e)
		s.Reported(start, start, Report{Models: e.Models})
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
	var under []order
	for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(tick) {
		moved := min(max(now.Sub(start).Seconds()-6, 0)/ramp, 1)
		asked := map[string]float64{"m00": 0.65 * (1 - moved), "m01": 0.35 + 0.3*moved, "m02": 0.35 * moved}
		for m, share := range asked {
			mean := share * total * tick.Seconds() / request
			n := int(mean)
			if rng.Float64() < mean-float64(n) {
				n++
			}
			demand.Add(now, m, request*float64(n), n)
		}
		kept := under[:0]
		for _, o := range under {
			if now.Before(o.done) {
				kept = append(kept, o)
				continue
			}
			if o.unload {
				o.server.drop(now, o.model)
			} else {
				o.server.add(now, backs.Held{Model: o.model})
			}
		}
		under = kept
		p := &Planner{
			Engine: engine, Servers: servers, Now: now, Store: func() *Begun {
				if len(under) < 9 {
					return &Begun{}
				}
				return nil
			},
			Work:   func(m string) float64 { return demand.Work(now, m) / memory(demandHalfLife) },
			Spread: func(m string) float64 { return demand.Spread(now, m) / memory(demandHalfLife) },
		}
		if trend {
			p.Ahead = func(m string, while time.Duration) (float64, float64) {
				then, mean := demand.Ahead(now, m, while)
				return then / memory(demandHalfLife), mean / memory(demandHalfLife)
			}
		}
		for _, step := range p.Steps() {
			o := order{server: step.Server, model: step.Model.Name, unload: step.Unload, done: now.Add(step.Time)}
			if step.Unload {
				o.done = now.Add(2 * time.Second)
				step.Server.Intend(now, step.For)
			} else {
				loads++
			}
			step.Server.Answered(now, now, engine, Order{Unload: step.Unload, Model: o.model}, Accepted, o.done.Sub(now))
			under = append(under, o)
		}
		copies := make(map[string][]copyOf)
		for i, s := range servers {
			for m, r := range s.models {
				if r.phase == held {
					copies[m] = append(copies[m], copyOf{server: i})
				}
			}
		}
		for m := range engine.Models {
			require.NotEmpty(t, copies[m], "%s is not reachable", m)
		}
		for m := range asked {
			asked[m] *= total
		}
		for _, u := range newBalance(len(servers), copies, asked).util {
			overload += max(u-1, 0) * tick.Seconds()
		}
	}
	return overload, loads
}

// Demand moves to other models within six seconds. The copies follow it by its trend:
// moved by what was asked for lately they come when it is over, and the one copy of the
// model that rises has several times what it can do for as long.
func TestCopiesFollowTheTrendOfAShift(t *testing.T) {
	before, _ := shift(t, false)
	after, loads := shift(t, true)
	require.Less(t, after, 0.9*before)
	require.Less(t, after, 4.0, "server seconds beyond what the servers can do")
	require.Less(t, loads, 25)
}

// Three servers crash, and the only copies of some rare models with them; they are back,
// with their weights on disk, within seconds. A busy model's copies are not given up for
// those at once, as all callers would feel it. A model that stays away for longer gets
// its place.
func TestRareModelsOfCrashedServersWait(t *testing.T) {
	engine := &routes.Engine{WeightMemoryMB: 20, Models: make(map[string]routes.Model)}
	for _, m := range []string{"busy", "rare", "other"} {
		engine.Models[m] = routes.Model{Name: m, SizeMB: 10, LoadTime: time.Second}
	}
	now := time.Unix(1000, 0)
	var servers []*Server
	for i, models := range [][]string{{"busy", "other"}, {"busy"}} {
		e := backs.Entry{ID: fmt.Sprint(i), Service: "s"}
		for _, m := range models {
			e.Models = append(e.Models, backs.Held{Model: m})
		}
		if i == 1 {
			e.Models = append(e.Models, backs.Held{Model: "filler"})
			engine.Models["filler"] = routes.Model{Name: "filler", SizeMB: 10, LoadTime: time.Second}
		}
		s := NewServer(now, e)
		s.Reported(now, now, Report{Models: e.Models})
		servers = append(servers, s)
	}
	plan := func(missing time.Duration) []Step {
		p := &Planner{
			Engine: engine, Servers: servers, Now: now, Store: func() *Begun { return &Begun{} },
			Work:    func(m string) float64 { return map[string]float64{"busy": 0.9}[m] },
			Missing: func(string) time.Duration { return missing },
		}
		return p.Steps()
	}
	require.Empty(t, plan(time.Second))
	steps := plan(time.Minute)
	require.Len(t, steps, 1)
	require.True(t, steps[0].Unload)
	require.Equal(t, "rare", steps[0].For)
}
