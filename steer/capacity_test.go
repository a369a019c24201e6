package steer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Guards against work that is divided among unequal servers as among equal ones: the slow servers
// are overloaded while fast ones are half idle.
func TestBalanceFillsServersByCapacity(t *testing.T) {
	tests := map[string]struct {
		capacity []float64
		replicas map[string][]replica
		work     map[string]float64
		want     []float64
	}{
		"in proportion":                       {[]float64{1.5, 0.5}, map[string][]replica{"m": replicasAt(0, 1)}, map[string]float64{"m": 1}, []float64{0.5, 0.5}},
		"other model on the fast server":      {[]float64{1.5, 0.5}, map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(0)}, map[string]float64{"m": 0.9, "n": 0.3}, []float64{0.6, 0.6}},
		"slow server is full with another":    {[]float64{1.5, 0.5}, map[string][]replica{"m": replicasAt(0, 1), "n": replicasAt(1)}, map[string]float64{"m": 0.6, "n": 0.5}, []float64{0.4, 1}},
		"one replica each, utilization by it": {[]float64{1.6, 0.4}, map[string][]replica{"m": replicasAt(0), "n": replicasAt(1)}, map[string]float64{"m": 0.8, "n": 0.8}, []float64{0.5, 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBalance(tc.capacity, tc.replicas, tc.work)
			require.InDeltaSlice(t, tc.want, b.util, 1e-9)
		})
	}
}

// Guards against fast servers that placement takes for usual ones for as long as a later change has to last, and against a
// second change that is assumed as soon as the first.
func TestFirstChangeOfPaceAssumedSooner(t *testing.T) {
	start, p := time.Unix(1000, 0), assumedPace{}
	assumedAfter := func(from, until time.Duration, pace float64) time.Duration {
		for at := from; at < until; at += 100 * time.Millisecond {
			if p.update(start.Add(at), pace); p.value() == pace {
				return at - from
			}
		}
		return 0
	}
	require.Zero(t, assumedAfter(0, time.Second, 1))
	require.Equal(t, firstPaceHoldTime, assumedAfter(2*time.Second, 20*time.Second, 0.55))
	require.Equal(t, paceHoldTime, assumedAfter(20*time.Second, 40*time.Second, 1.25))
}

// Guards against formulas that differ from what a move changes: then a replica moves to a slow
// server that makes the balance worse, or back again.
func TestGainAndLossMatchBalanceOfUnequalServers(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		capacity := []float64{0.3 + rng.Float64()*2, 0.3 + rng.Float64()*2, 0.3 + rng.Float64()*2}
		level := 0.2 + rng.Float64()*2
		work := map[string]float64{"m": level * (capacity[0] + capacity[1]), "n": rng.Float64() * level * capacity[2]}
		requireGainAndLossOfMoves(t, capacity, work)
	}
}

// equalServersGain and equalServersLoss are the formulas for servers that all count as one unit.
func equalServersGain(b *balance, name string, util float64) float64 {
	level, n := 0.0, 0
	for _, r := range b.replicas[name] {
		if r.util > 0 || n == 0 {
			level = max(level, b.util[r.server])
			n++
		}
	}
	if n == 0 || util >= level {
		return 0
	}
	share := float64(n) / float64(n+1)
	moved := min((level-util)*share, b.work[name]*share)
	return 2*moved*(level-util) - moved*moved/share
}

func equalServersLoss(b *balance, name string, server int) float64 {
	others, level, share := 0, 0.0, 0.0
	for _, r := range b.replicas[name] {
		if r.server == server {
			share = r.util
			continue
		}
		others++
		level = max(level, b.util[r.server])
	}
	if share == 0 || others == 0 {
		return 0
	}
	util := b.util[server] - share
	relieved := b.util[server]*b.util[server] - util*util
	return max(2*share*level+share*share/float64(others)-relieved, 0)
}

// Guards against a change of decisions in services whose servers are equal: the formulas give
// exactly the values of those for servers of one unit.
func TestEqualCapacitiesGiveFormulasOfEqualServers(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		replicas, work := make(map[string][]replica), make(map[string]float64)
		for m := range 8 {
			name := fmt.Sprintf("m%d", m)
			replicas[name] = replicasAt(rng.Perm(12)[:1+rng.IntN(5)]...)
			work[name] = rng.ExpFloat64()
		}
		b := newBalance(equalCapacities(12), replicas, work)
		for name := range replicas {
			for server := range 12 {
				require.Equal(t, equalServersGain(b, name, b.util[server]), b.gain(name, server, b.util[server]))
				loss, _ := b.loss(name, server)
				require.Equal(t, equalServersLoss(b, name, server), loss)
			}
		}
	}
}

// seededFleet returns servers with two or three models each, some of them with weights on disk, and
// the work of the models.
func seededFleet(rng *rand.Rand, now time.Time) (*routes.Engine, []*Server, map[string]float64) {
	const models = 40
	engine := &routes.Engine{WeightMemoryMB: 30, Models: make(map[string]routes.Model)}
	work := make(map[string]float64)
	for m := range models {
		name := scaledModel(m)
		engine.Models[name] = routes.Model{Name: name, SizeMB: 10, LoadTime: 5 * time.Second, DiskLoadTime: time.Second}
		if rng.Float64() < 0.4 {
			work[name] = 2 * rng.ExpFloat64()
		}
	}
	var servers []*Server
	for i := range 10 + 30*rng.IntN(8) {
		e := backs.Entry{ID: fmt.Sprintf("s%03d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3)}
		drawn := rng.Perm(models)[:5]
		for _, m := range drawn[:2+rng.IntN(2)] {
			e.Models = append(e.Models, backs.LoadedModel{Model: scaledModel(m)})
		}
		s := NewServer(now, e)
		s.ApplyReport(now, now, Report{Models: e.Models, OnDisk: []string{scaledModel(drawn[4])}})
		servers = append(servers, s)
	}
	return engine, servers, work
}

// seededPlan returns the orders of a plan for a seeded fleet.
func seededPlan(seed uint64, pace func(rng *rand.Rand, server int) float64) []string {
	now := time.Unix(1000, 0)
	engine, servers, work := seededFleet(rand.New(rand.NewPCG(seed, 1)), now)
	rng := rand.New(rand.NewPCG(seed, 2))
	for i, s := range servers {
		if pace != nil {
			s.pace.update(now, pace(rng, i))
		}
	}
	p := &Planner{
		Engine: engine, Servers: servers, Now: now.Add(time.Minute), StartStoreLoad: func() *LoadStart { return &LoadStart{} },
		Work:   func(m string) float64 { return work[m] },
		StdErr: func(m string) float64 { return 0.1 * math.Sqrt(work[m]) },
	}
	var list []string
	for _, s := range p.Steps() {
		list = append(list, fmt.Sprintf("%v %s %s for %q", s.Unload, s.Model.Name, s.Server.entry.ID, s.ReplacedBy))
	}
	return list
}

// Guards against plans that change for services whose servers are equal, or of which nothing, or
// nothing valid, is known.
func TestEqualServersArePlannedAlike(t *testing.T) {
	const seeds = 6
	tests := map[string]func(rng *rand.Rand, server int) float64{
		"usual pace":             func(*rand.Rand, int) float64 { return 1 },
		"all of one pace":        func(*rand.Rand, int) float64 { return 1.7 },
		"all fast":               func(*rand.Rand, int) float64 { return 0.55 },
		"usual within a tenth":   func(rng *rand.Rand, _ int) float64 { return 0.9 + 0.2*rng.Float64() },
		"unknown":                func(*rand.Rand, int) float64 { return 0 },
		"unknown beside known":   func(_ *rand.Rand, server int) float64 { return []float64{0, 1.7}[server%2] },
		"negative":               func(*rand.Rand, int) float64 { return -3 },
		"not a number":           func(*rand.Rand, int) float64 { return math.NaN() },
		"huge":                   func(*rand.Rand, int) float64 { return 1e12 },
		"infinite":               func(*rand.Rand, int) float64 { return math.Inf(1) },
		"invalid beside usual":   func(_ *rand.Rand, server int) float64 { return []float64{-1, 1, 1e9}[server%3] },
		"beyond the upper bound": func(_ *rand.Rand, server int) float64 { return []float64{5, 50}[server%2] },
	}
	orders := 0
	for seed := range uint64(seeds) {
		want := seededPlan(seed, nil)
		orders += len(want)
		for name, pace := range tests {
			require.Equal(t, want, seededPlan(seed, pace), "%s, seed %d", name, seed)
		}
	}
	require.Greater(t, orders, 5*seeds, "the plans have orders")
}

// Guards against capacities that are zero, infinite or without the mean 1 if paces are missing or
// absurd: a plan would put all work on one server, or on none.
func TestCapacities(t *testing.T) {
	tests := map[string]struct{ paces, want []float64 }{
		"a quarter fast":     {[]float64{0.5, 1.25, 1.25, 1.25}, []float64{2 / 1.1, 0.8 / 1.1, 0.8 / 1.1, 0.8 / 1.1}},
		"one unknown":        {[]float64{0.5, 1.25, 1.25, 1.25, 0}, []float64{2 / 1.1, 0.8 / 1.1, 0.8 / 1.1, 0.8 / 1.1, 1}},
		"one negative":       {[]float64{0.5, 2, -1}, []float64{1.6, 0.4, 1}},
		"one huge":           {[]float64{0.5, 2, 1e300}, []float64{1.6, 0.4, 1}},
		"one infinite":       {[]float64{0.5, 2, math.Inf(1)}, []float64{1.6, 0.4, 1}},
		"one not a number":   {[]float64{0.5, 2, math.NaN()}, []float64{1.6, 0.4, 1}},
		"one nearly zero":    {[]float64{1e-9, 1}, []float64{1.6, 0.4}},
		"one above bound":    {[]float64{90, 1}, []float64{0.4, 1.6}},
		"only one is known":  {[]float64{0, 0.5, 0}, []float64{1, 1, 1}},
		"none is known":      {[]float64{0, 0}, []float64{1, 1}},
		"differ by a tenth":  {[]float64{0.95, 1.05, 1}, []float64{1, 1, 1}},
		"no servers at all":  {nil, []float64{}},
		"equal, not usual":   {[]float64{3, 3, 3}, []float64{1, 1, 1}},
		"all beyond a bound": {[]float64{7, 70}, []float64{1, 1}},
	}
	now := time.Unix(1000, 0)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Planner{Now: now}
			for i, pace := range tc.paces {
				s := NewServer(now, backs.Entry{ID: fmt.Sprint(i)})
				s.pace.update(now, pace)
				p.Servers = append(p.Servers, s)
				p.candidates = append(p.candidates, candidate{Server: s})
			}
			require.InDeltaSlice(t, tc.want, p.capacities(), 1e-9)
		})
	}
}

// Guards against a placement that follows each movement of the estimates: replicas are loaded for a
// slowdown that is over before they are ready, and unloaded again.
func TestAssumedPaceFollowsLastingChanges(t *testing.T) {
	const usual = 1.0
	constant := func(pace float64) func(at float64) float64 { return func(float64) float64 { return pace } }
	from := func(at, pace float64) func(at float64) float64 {
		return func(now float64) float64 {
			if now < at {
				return usual
			}
			return pace
		}
	}
	jumping := func(period, low, high float64) func(at float64) float64 {
		return func(now float64) float64 {
			if math.Mod(now, 2*period) < period {
				return low
			}
			return high
		}
	}
	tests := map[string]struct {
		pace func(at float64) float64
		// changes are the assumed paces in their order within a minute.
		changes []float64
	}{
		"constant":                        {constant(1.2), []float64{1.2}},
		"slower by less than a quarter":   {from(20, 1.24), []float64{1}},
		"faster by less than a quarter":   {from(20, 0.76), []float64{1}},
		"slower by a quarter":             {from(20, 1.25), []float64{1, 1.25}},
		"faster by a quarter":             {from(20, 0.75), []float64{1, 0.75}},
		"jumps each second":               {jumping(1, 0.55, 1.2), []float64{0.55}},
		"jumps every five seconds":        {jumping(5, 1.2, 0.55), []float64{1.2}},
		"jumps between known and unknown": {jumping(5, 1.2, 0), []float64{1.2}},
		"slowdown of twelve seconds": {func(at float64) float64 {
			return usual + 1.5*max(0, min(1, math.Floor(at/20)))*max(0, 1-math.Floor(at/25))
		}, []float64{1}},
		"lasting, with slowdowns beside it": {func(at float64) float64 { return from(20, 1.5)(at) * jumping(3, 1, 2.5)(at) }, []float64{1, 1.5}},
		"swings by a tenth":                 {func(at float64) float64 { return 1.5 * (1 + 0.1*math.Sin(at)) }, []float64{1.5}},
		"lost for good":                     {from(20, 0), []float64{1, 0}},
		"absurd from now on":                {from(20, -5), []float64{1, 0}},
		"known late":                        {func(at float64) float64 { return math.Floor(at/30) * 2 }, []float64{0, 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			start, p := time.Unix(1000, 0), assumedPace{}
			var changes []float64
			for at := 0.0; at < 59; at += 0.1 {
				p.update(start.Add(time.Duration(at*float64(time.Second))), tc.pace(at))
				changes = append(changes, p.value())
			}
			changes = slices.Compact(changes)
			require.Len(t, changes, len(tc.changes), "%v", changes)
			require.InDeltaSlice(t, tc.changes, changes, 1e-9)
		})
	}
}

// pacedFleet is a controller whose servers carry out each order at once, with constant demand.
type pacedFleet struct {
	controller *Controller
	now        time.Time
	// pace is the estimate for a server.
	pace func(server string) float64
	// orders counts the model orders.
	orders int
	calls  []func()
}

func newPacedFleet(pace func(server string) float64) *pacedFleet {
	const servers, models = 24, 30
	f := &pacedFleet{controller: scaledController(servers, models), pace: pace}
	c := f.controller
	f.now = c.Now().Add(2 * time.Minute)
	c.Now = func() time.Time { return f.now }
	c.Pace = func(_ time.Time, server string) float64 { return f.pace(server) }
	c.Spawn = func(call func()) { f.calls = append(f.calls, call) }
	c.ServerCalls.Send = func(_ context.Context, _ backs.Entry, o Order) (OrderResult, backs.Notice, error) {
		if o.Adapter == "" {
			f.orders++
		}
		return Done, backs.Notice{}, nil
	}
	clear(c.orderInFlight)
	return f
}

// run runs steps for a time and returns the number of model orders.
func (f *pacedFleet) run(length time.Duration) int {
	const models, work = 30, 20.0
	before := f.orders
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		f.controller.modelDemand["s"] = &Demand{}
		for m := range models {
			f.controller.demand("s").Add(f.now, scaledModel(m), work*math.Exp2(-float64(m)/3)*meanAge(demandHalfLife)/4, 1000)
		}
		for _, s := range f.controller.servers {
			s.failedReports = 0
		}
		f.controller.Step(context.Background(), f.now)
		calls := f.calls
		f.calls = nil
		for _, call := range calls {
			call()
		}
	}
	return f.orders - before
}

// quarterFast is the pace of a server in a fleet in which a quarter of the servers is 2.2 times as
// fast as the others.
func quarterFast(server string) float64 {
	if (server[len(server)-1]-'0')%4 == 0 {
		return 0.55
	}
	return 1.2
}

// Guards against loads and unloads that follow the movements of estimated paces, although neither
// demand nor any server has changed for good.
func TestPlacementRestsWhilePacesSwing(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	var f *pacedFleet
	seconds := func() int { return int(f.now.Unix()) }
	tests := map[string]func(server string) float64{
		"by less than a quarter": func(server string) float64 { return quarterFast(server) * (0.76 + 0.48*rng.Float64()) },
		"between two values":     func(server string) float64 { return []float64{quarterFast(server), 1.2}[seconds()/4%2] },
		"in a short slowdown": func(server string) float64 {
			if seconds()%12 < 5 && server[len(server)-1]%3 == 0 {
				return 2.5 * quarterFast(server)
			}
			return quarterFast(server)
		},
		"with gaps": func(server string) float64 {
			if rng.IntN(3) == 0 {
				return 0
			}
			return quarterFast(server)
		},
	}
	for name, pace := range tests {
		t.Run(name, func(t *testing.T) {
			f = newPacedFleet(quarterFast)
			require.NotZero(t, f.run(15*time.Second))
			require.Zero(t, f.run(5*time.Second), "the placement has settled")
			f.pace = pace
			require.Zero(t, f.run(25*time.Second))
		})
	}
	f = newPacedFleet(quarterFast)
	f.run(20 * time.Second)
	f.pace = func(server string) float64 { return 1.75 - quarterFast(server) }
	require.NotZero(t, f.run(25*time.Second), "fast and slow servers have changed places for good")
	require.Positive(t, f.controller.Meter.CounterValue("steer.pace_changes"))
}

// Guards against a restarted server that keeps the pace of its former process: the machine may be
// another one. Its entry has a new ID, and its pace is unknown until it is estimated.
func TestRestartedServerHasUnknownPace(t *testing.T) {
	f := newPacedFleet(quarterFast)
	f.run(time.Second)
	c := f.controller
	require.InDelta(t, 0.55, c.servers["i0000"].pace.value(), 0)
	var entries []backs.Entry
	for _, s := range c.serversOf("s") {
		entries = append(entries, s.entry)
	}
	entries[0].ID = "i0000-2"
	c.Servers.Replace(f.now, entries)
	f.pace = func(server string) float64 {
		if server == "i0000-2" {
			return 0
		}
		return quarterFast(server)
	}
	f.run(stepInterval)
	require.NotContains(t, c.servers, "i0000")
	p := &Planner{Servers: c.serversOf("s"), Now: f.now}
	p.candidates = []candidate{{Server: c.servers["i0000-2"]}}
	require.Equal(t, []float64{1}, p.capacities())
	f.pace = func(server string) float64 { return quarterFast(server[:5]) }
	f.run(stepInterval)
	require.InDelta(t, 0.55, c.servers["i0000-2"].pace.value(), 0)
}
