package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// unequalFleet simulates the placement for 32 servers of unequal paces with memory for three of 40
// models. Eight models at a time have the demand, a Poisson number of requests each tick, and within six seconds it moves on to two others every 15 s. Requests fill the servers of
// their model to equal utilization, whatever the placement assumes.
type unequalFleet struct {
	simPlacement
	rng   *rand.Rand
	paces []float64
	// backlog is the time that each server needs for the work that exceeds its capacity so far.
	backlog []float64
	// late is the work that meets a backlog above the objective, and work is all of it.
	late, work float64
}

const (
	unequalTick      = 200 * time.Millisecond
	unequalObjective = 0.4
	unequalRequest   = 0.04
)

func newUnequalFleet(seed uint64) *unequalFleet {
	const servers, models = 32, 40
	f := &unequalFleet{
		simPlacement: simPlacement{engine: &routes.Engine{WeightMemoryMB: 30, Models: make(map[string]routes.Model)}, now: time.Unix(1000, 0)},
		rng:          rand.New(rand.NewPCG(seed, 3)), backlog: make([]float64, servers),
	}
	for m := range models {
		f.engine.Models[scaledModel(m)] = routes.Model{Name: scaledModel(m), SizeMB: 10, LoadTime: 5 * time.Second}
	}
	for i := range servers {
		f.addServer(fmt.Sprintf("s%02d", i), fmt.Sprintf("d%d", i%3), scaledModel(i), scaledModel((i+8)%models), scaledModel((i+24)%models))
		f.paces = append(f.paces, []float64{0.55, 1.2, 1.2, 1.2}[i%4])
	}
	return f
}

// demandAt returns the work of each model per second, in units of a whole server's time.
func (f *unequalFleet) demandAt(at float64) map[string]float64 {
	const active, perShift, interval, ramp, total = 8, 2, 15.0, 6.0, 20.0
	demand := make(map[string]float64)
	shift := math.Floor(at / interval)
	progress := min(math.Mod(at, interval)/ramp, 1)
	for i := range active {
		share := total * math.Pow(float64(i+1), -0.43) / 4.96
		demand[scaledModel((int(shift)*perShift+i)%len(f.engine.Models))] += share * (1 - progress)
		demand[scaledModel((int(shift+1)*perShift+i)%len(f.engine.Models))] += share * progress
	}
	return demand
}

// poissonRequests draws a number of requests for an expected one.
func (f *unequalFleet) poissonRequests(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := f.rng.Float64(); p > limit; p *= f.rng.Float64() {
		n++
	}
	return n
}

// run simulates 90 s. The placement is told the paces that told returns, 0 for unknown.
func (f *unequalFleet) run(t *testing.T, told func(at float64, server int) float64) {
	t.Helper()
	start := f.now
	for ; f.now.Before(start.Add(90 * time.Second)); f.now = f.now.Add(unequalTick) {
		at := f.now.Sub(start).Seconds()
		for i, s := range f.servers {
			s.pace.update(f.now, told(at, i))
		}
		requested := f.demandAt(at)
		work := make(map[string]float64)
		for m := range len(f.engine.Models) {
			name := scaledModel(m)
			n := f.poissonRequests(requested[name] * unequalTick.Seconds() / unequalRequest)
			f.demand.Add(f.now, name, float64(n)*unequalRequest, n)
			work[name] = float64(n) * unequalRequest / unequalTick.Seconds()
		}
		f.finishOrders()
		f.place()
		f.serve(t, work)
	}
}

// serve divides the work among the loaded replicas and adds what is late.
func (f *unequalFleet) serve(t *testing.T, work map[string]float64) {
	t.Helper()
	capacity := make([]float64, len(f.servers))
	for i := range f.servers {
		capacity[i] = 1 / f.paces[i]
	}
	replicas := f.loadedReplicas()
	for m := range f.engine.Models {
		require.NotEmpty(t, replicas[m], "%s has no loaded replica", m)
	}
	for i, u := range newBalance(capacity, replicas, work).util {
		f.backlog[i] = max(f.backlog[i]+(u-1)*unequalTick.Seconds(), 0)
		f.work += u * capacity[i]
		if f.backlog[i] > unequalObjective {
			f.late += u * capacity[i]
		}
	}
}

// Guards against a placement that counts slow servers like fast ones: demand moves between models,
// and the replicas that are loaded for it are on slow servers as often as on fast ones. It must
// serve more in time if the paces are known, with at most 2% more loads, and be no worse than without
// them where they are missing, absurd or unsteady.
func TestPlacementFollowsDemandOnUnequalServers(t *testing.T) {
	const seeds = 6
	exact := []float64{0.55, 1.2, 1.2, 1.2}
	told := map[string]func(at float64, server int) float64{
		"none":  func(float64, int) float64 { return 1 },
		"known": func(_ float64, server int) float64 { return exact[server%4] },
		"missing or absurd": func(_ float64, server int) float64 {
			if server%3 == 0 {
				return []float64{-1, 0, 1e9, math.NaN()}[server/3%4]
			}
			return exact[server%4]
		},
		"with slowdowns": func(at float64, server int) float64 {
			if at > 20 && int(at/5)%4 == server%4 {
				return 2.5 * exact[server%4]
			}
			return exact[server%4]
		},
	}
	late, loads := make(map[string]float64), make(map[string]int)
	for name, pace := range told {
		for seed := range uint64(seeds) {
			f := newUnequalFleet(seed)
			f.run(t, pace)
			late[name] += f.late / f.work / seeds
			loads[name] += f.loads
		}
		t.Logf("%s: %.4f of the work late, %d loads", name, late[name], loads[name])
	}
	require.Less(t, late["known"], 0.95*late["none"])
	require.Less(t, late["missing or absurd"], late["none"])
	require.Less(t, late["with slowdowns"], late["none"])
	require.Less(t, loads["known"], loads["none"]*51/50)
	require.Equal(t, loads["known"], loads["with slowdowns"], "slowdowns cause no loads")
	require.Less(t, loads["missing or absurd"], loads["none"]*51/50)
}

// Guards against a shortlist of a large fleet that has only slow servers: among idle servers it was
// in the order of their names, and fast ones that come later were never compared.
func TestShortlistPrefersFastIdleServers(t *testing.T) {
	const servers, slow = 300, 270
	now := time.Unix(1000, 0)
	engine := &routes.Engine{WeightMemoryMB: 20, Models: map[string]routes.Model{"m": {Name: "m", SizeMB: 10, LoadTime: time.Second}}}
	var list []*Server
	for i := range servers {
		e := backs.Entry{ID: fmt.Sprintf("s%03d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3)}
		if i < 3 {
			e.Models = []backs.LoadedModel{{Model: "m"}}
		}
		s := NewServer(now, e)
		s.ApplyReport(now, now, Report{Models: e.Models})
		s.pace.update(now, 1.2)
		if i >= slow {
			s.pace = assumedPace{estimate: 0.55}
		}
		list = append(list, s)
	}
	p := &Planner{
		Engine: engine, Servers: list, Now: now.Add(time.Minute),
		Work: func(string) float64 { return 6 }, StartStoreLoad: func() *LoadStart { return &LoadStart{} },
	}
	steps := p.Steps()
	require.NotEmpty(t, steps)
	for _, s := range steps {
		require.GreaterOrEqual(t, s.Server.entry.ID, fmt.Sprintf("s%03d", slow))
	}
}
