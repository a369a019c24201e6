package steer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/steer"
)

func TestDemandStdErr(t *testing.T) {
	var d steer.Demand
	require.Zero(t, d.StdErr(at(0), "m"))
	for range 100 {
		d.Add(at(0), "many", 10, 1)
	}
	d.Add(at(0), "together", 1000, 100)
	d.Add(at(0), "few", 10, 1)
	require.InDelta(t, 1000, d.Work(at(0), "many"), 1e-9)
	require.InDelta(t, d.StdErr(at(0), "many"), d.StdErr(at(0), "together"), 1e-9, "added one by one or together")
	require.InDelta(t, 100.5, d.StdErr(at(0), "many"), 0.01)
	require.Greater(t, d.StdErr(at(0), "few"), d.Work(at(0), "few"))
	require.InDelta(t, 10, d.StdErr(at(0), "never"), 1e-9, "a name without requests gets the mean request")
	require.InDelta(t, 500, d.Work(at(0.9), "many"), 1e-9)
}

// Traffic begins, spread evenly over four models with two replicas each. In the first tenths of a
// second one of them has a few requests by chance and another has none. Replicas moved for that
// reason cost loads and are moved back a second later. A model with ten times the requests of the
// others must get its replicas.
func TestChanceMovesNoReplicas(t *testing.T) {
	tests := map[string]struct {
		requests map[string]int
		moves    bool
	}{
		"few requests":           {map[string]int{"m1": 3, "m2": 1}, false},
		"most without requests":  {map[string]int{"m1": 2}, false},
		"ten times the requests": {map[string]int{"m1": 40, "m2": 4, "m3": 4, "m4": 4}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var d steer.Demand
			names := []string{"m1", "m2", "m3", "m4"}
			for m, n := range tc.requests {
				d.Add(at(1), m, 0.04*float64(n), n)
			}
			var servers []*steer.Server
			for _, id := range []string{"a", "b"} {
				servers = append(servers, reportedServer(at(0), id+"1", 0, "m1", "m2"), reportedServer(at(0), id+"2", 0, "m3", "m4"))
			}
			p := planner(at(1), engine(20, names...), nil, servers...)
			// The unit of work is the time of one server. The decayed sum covers 1.3 s.
			p.Work = func(m string) float64 { return d.Work(at(1), m) / 1.3 }
			p.StdErr = func(m string) float64 { return d.StdErr(at(1), m) / 1.3 }
			require.Equal(t, tc.moves, len(p.Steps()) > 0)
		})
	}
}

// Replicas must follow a shift of demand while the new demand is still growing: within a second of
// its full strength a model has replaced replicas of the models that lost theirs.
func TestReplicasFollowDemandShift(t *testing.T) {
	var d steer.Demand
	add := func(now time.Time, m string, perSecond float64) { d.Add(now, m, 0.004*perSecond, int(perSecond/10)) }
	for tick := range 30 {
		add(at(float64(tick)/10), "m1", 40)
	}
	var servers []*steer.Server
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, reportedServer(at(0), id, 0, "m1"))
	}
	servers = append(servers, reportedServer(at(0), "f", 0, "m2"))
	movedAfter := 0.0
	for tick := 30; tick < 80 && movedAfter == 0; tick++ {
		now := at(float64(tick) / 10)
		progress := min(float64(tick-30)/20, 1)
		add(now, "m1", 40*(1-progress))
		add(now, "m2", 40*progress)
		p := planner(now, engine(10, "m1", "m2"), nil, servers...)
		p.Work = func(m string) float64 { return d.Work(now, m) / 1.3 }
		p.StdErr = func(m string) float64 { return d.StdErr(now, m) / 1.3 }
		if len(p.Steps()) > 0 {
			movedAfter = float64(tick-30) / 10
		}
	}
	require.NotZero(t, movedAfter)
	require.Less(t, movedAfter, 3.0)
}

// demandOf returns the demand of random requests for some models, added every tenth of a second
// until a time. rate returns the requests per second of a model at a time.
func demandOf(until float64, models int, rate func(at float64, model int) float64) *steer.Demand {
	d := &steer.Demand{}
	rng := rand.New(rand.NewPCG(3, 3))
	for tick := range int(until * 10) {
		for m := range models {
			mean := rate(float64(tick)/10, m) / 10
			n := 0
			for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
				n++
			}
			d.Add(at(float64(tick)/10), fmt.Sprintf("m%03d", m), 0.05*float64(n), n)
		}
	}
	return d
}

// The requests for all models double at once for four seconds. Taken as a trend, this burst seems
// to need several times the replicas of each model by the time that they are loaded, when it is
// over. A shift of demand from one model to another lasts longer than a load and must show as a
// trend of both. Among hundreds of models some seem to rise by chance at any time, and hardly any
// of them may show a trend.
func TestForecastFollowsShiftsOnly(t *testing.T) {
	tests := map[string]struct {
		models int
		rate   func(at float64, model int) float64
		// least and most bound the forecast of the first model relative to its current demand.
		// others is how many of the other forecasts may differ from it by a third.
		least, most float64
		others      int
	}{
		"steady": {12, func(float64, int) float64 { return 40 }, 0.9, 1.1, 0},
		"burst of all models": {12, func(at float64, _ int) float64 {
			if at >= 9 {
				return 80
			}
			return 40
		}, 0.8, 1.25, 0},
		"shift of demand": {12, func(at float64, m int) float64 {
			progress := min(max(at-8, 0)/8, 1)
			return map[int]float64{0: 20 + 200*progress, 1: 220 - 200*progress}[m] + 10
		}, 1.5, 3.5, 1},
		"hundreds of rare models": {300, func(float64, int) float64 { return 4 }, 0.5, 1.5, 12},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := demandOf(10.5, tc.models, tc.rate), at(10.5)
			forecast := func(m int) float64 {
				future, _ := d.Forecast(now, fmt.Sprintf("m%03d", m), 5*time.Second)
				return future / d.Work(now, fmt.Sprintf("m%03d", m))
			}
			require.GreaterOrEqual(t, forecast(0), tc.least)
			require.LessOrEqual(t, forecast(0), tc.most)
			off := 0
			for m := 1; m < tc.models; m++ {
				if f := forecast(m); f < 0.67 || f > 1.33 {
					off++
				}
			}
			require.LessOrEqual(t, off, tc.others)
		})
	}
}
