package gauge_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/gauge"
)

// Guards against servers that get all requests, or none, by what they report: the reports are relative to the service, and the
// responses bound them.
func TestTrust(t *testing.T) {
	type server struct {
		// reported returns the pace in the i-th response, actual is how long work takes.
		reported func(i int, rng *rand.Rand) float64
		actual   float64
	}
	constant := func(pace float64) func(int, *rand.Rand) float64 {
		return func(int, *rand.Rand) float64 { return pace }
	}
	honest := server{reported: constant(1), actual: 1}
	for name, tc := range map[string]struct {
		liar     server
		others   server
		min, max float64
		// distrusted is set if the operator is told.
		distrusted bool
	}{
		"as usual":                          {honest, honest, 0.99, 1.01, false},
		"slow and says so":                  {server{constant(2), 2}, honest, 1.8, 2.05, false},
		"reports 1, takes four times":       {server{constant(1), 4}, honest, 1.8, 4, true},
		"reports a quarter, takes 4 times":  {server{constant(0.25), 4}, honest, 1.8, 4, true},
		"reports 100, as fast as others":    {server{constant(100), 1}, honest, 1, 2.05, true},
		"reports 4, as fast as others":      {server{constant(4), 1}, honest, 1, 2.05, true},
		"all report 2":                      {server{constant(2), 1}, server{constant(2), 1}, 0.99, 1.01, false},
		"all report 2, one takes twice":     {server{constant(2), 2}, server{constant(2), 1}, 0.99, 2.05, false},
		"constant, others report and vary":  {server{constant(1), 1}, server{func(i int, _ *rand.Rand) float64 { return 1 + 0.5*float64(i%2) }, 1.25}, 0.7, 1, false},
		"nonsense within the bounds":        {server{func(_ int, rng *rand.Rand) float64 { return 0.25 + 3.75*rng.Float64() }, 1}, honest, 0.5, 2.05, true},
		"not a number":                      {server{constant(math.NaN()), 1}, honest, 0.95, 1.05, false},
		"negative":                          {server{constant(-1), 1}, honest, 0.95, 1.05, false},
		"infinite":                          {server{constant(math.Inf(1)), 1}, honest, 0.95, 1.05, false},
		"nothing reported, takes 3 times":   {server{constant(0), 3}, honest, 2.6, 3.05, false},
		"no server reports, one takes more": {server{constant(0), 3}, server{constant(0), 1}, 1, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var told []gauge.Distrust
			g := &gauge.Gauge{OnDistrust: func(d gauge.Distrust) { told = append(told, d) }}
			servers := map[string]server{"liar": tc.liar, "o1": tc.others, "o2": tc.others, "o3": tc.others, "o4": tc.others}
			for i := range 200 {
				for _, id := range []string{"liar", "o1", "o2", "o3", "o4"} {
					g.Heard(at(float64(i)/5), id, gauge.Reading{Pace: servers[id].reported(i, rng)})
					g.Observed(at(float64(i)/5), id, servers[id].actual)
					g.Pace(at(float64(i)/5), id)
				}
			}
			// Later than any last reading counts.
			now := at(42)
			ratio := g.Pace(now, "liar") / g.Pace(now, "o1")
			require.GreaterOrEqual(t, ratio, tc.min)
			require.LessOrEqual(t, ratio, tc.max)
			if tc.distrusted {
				require.Len(t, told, 1)
				require.Equal(t, "liar", told[0].Server)
			} else {
				require.Empty(t, told)
			}
		})
	}
}

// Guards against a liar that looks fast to a VM because its last reading says so, when its steady pace is known to be long.
func TestLastReadingOfLiar(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 200 {
		for _, id := range []string{"a", "b", "c"} {
			g.Heard(at(float64(i)/5), id, gauge.Reading{Pace: 1})
			g.Observed(at(float64(i)/5), id, 1)
		}
		g.Heard(at(float64(i)/5), "liar", gauge.Reading{Pace: 0.25})
		g.Observed(at(float64(i)/5), "liar", 4)
	}
	require.Greater(t, g.Pace(at(39.8), "liar"), 1.4*g.Pace(at(39.8), "a"))
}

// Guards against a service whose paces are relative to the servers of another one.
func TestPacesRelativeToService(t *testing.T) {
	known := true
	g := &gauge.Gauge{Service: func(server string) string {
		if !known {
			return ""
		}
		return strings.Split(server, "-")[0]
	}}
	known = false
	for i := range 50 {
		for id, pace := range map[string]float64{"m-1": 2, "m-2": 2, "p-1": 0.5, "p-2": 0.5} {
			g.Heard(at(float64(i)/10), id, gauge.Reading{Pace: pace})
		}
	}
	require.Equal(t, 1.0, g.Pace(at(5), "m-1"), "not compared with servers of another service before the list is known")
	g.Merge(at(5), []gauge.Estimate{{Server: "m-1", Pace: 1.5}, {Server: "m-2", Pace: 1.5}})
	require.Equal(t, 1.5, g.Pace(at(5), "m-1"))
	g.Merge(at(5), []gauge.Estimate{{Server: "m-1", Pace: 0}, {Server: "m-2", Pace: 0}})
	known = true
	for _, id := range []string{"m-1", "m-2", "p-1", "p-2"} {
		require.InDelta(t, 1, g.Pace(at(5), id), 0.01, id)
	}
}

// Guards against a last reading that counts for longer than spells last, or not at all.
func TestLastReadingFades(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 100 {
		g.Heard(at(float64(i)/10), "a", gauge.Reading{Pace: 1})
		g.Heard(at(float64(i)/10), "b", gauge.Reading{Pace: 1})
	}
	g.Heard(at(10), "a", gauge.Reading{Pace: 2.5})
	require.Greater(t, g.Pace(at(10), "a"), 2.2)
	require.InDelta(t, 1.6, g.Pace(at(10.5), "a"), 0.15)
	require.InDelta(t, 1, g.Pace(at(12.1), "a"), 0.1)
	g.Heard(at(12.2), "a", gauge.Reading{Pace: 2.5})
	g.Heard(at(12.3), "a", gauge.Reading{Pace: 1})
	require.InDelta(t, 1, g.Pace(at(12.3), "a"), 0.1, "the newest reading counts")
}

// Guards against a steady pace that follows each spell of a server, and against one that is not that of the estimates.
func TestSteadyWithoutLastReading(t *testing.T) {
	g := &gauge.Gauge{}
	require.Equal(t, 1.0, g.Steady(at(0), "a"))
	g.Merge(at(0), []gauge.Estimate{{Server: "a", Pace: 1.5}, {Server: "b", Pace: 0.5}})
	require.Equal(t, 1.5, g.Steady(at(0), "a"))
	g.Heard(at(1), "a", gauge.Reading{Pace: 1.5})
	g.Heard(at(1), "b", gauge.Reading{Pace: 0.5})
	g.Heard(at(1), "a", gauge.Reading{Pace: 3.75})
	require.Greater(t, g.Pace(at(1), "a"), 2.2)
	require.InDelta(t, 1.5, g.Steady(at(1), "a"), 0.15)
	require.Equal(t, 1.0, g.Steady(at(60), "a"), "estimates have expired")
}

// Guards against single readings in a spell that pass for the steady pace, where a VM hears little and has no hub.
func TestFewReadings(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 10 {
		g.Heard(at(0), fmt.Sprint("s", i), gauge.Reading{Pace: 1})
	}
	g.Heard(at(0), "spell", gauge.Reading{Pace: 2.5})
	require.Less(t, g.Pace(at(3), "spell"), 1.8)
}

// Guards against changes that are sent again and again, out of order, or too many at a time.
func TestTakeChanges(t *testing.T) {
	g := &gauge.Gauge{}
	var hub []gauge.Estimate
	for i := range 400 {
		hub = append(hub, gauge.Estimate{Server: fmt.Sprintf("s%03d", i), Pace: 1 + float64(i)/400})
	}
	g.Merge(at(0), hub)
	first := g.TakeChanges(at(0))
	require.Len(t, first, gauge.MaxEstimates)
	require.Equal(t, "s399", first[0].Server, "the largest change first")
	for i, e := range first[1:] {
		require.LessOrEqual(t, e.Pace, first[i].Pace)
	}
	require.Empty(t, g.TakeChanges(at(0)), "the rest has to wait")
	rest := g.TakeChanges(at(20))
	require.NotEmpty(t, rest)
	require.Equal(t, "s143", rest[0].Server)
	for _, e := range rest {
		require.GreaterOrEqual(t, e.Pace, 1.1)
	}
	g.Merge(at(21), []gauge.Estimate{{Server: "s399", Pace: 2.1}, {Server: "s398", Pace: 3}})
	require.Equal(t, []gauge.Estimate{{Server: "s398", Pace: 3}}, g.TakeChanges(at(21)))
	require.Len(t, g.All(at(21)), 400)
}

// Guards against VMs that keep the pace of a server of which the controller no longer hears.
func TestWithdrawnEstimate(t *testing.T) {
	hub, vm := &gauge.Gauge{}, &gauge.Gauge{}
	for i := range 100 {
		hub.Heard(at(float64(i)/10), "a", gauge.Reading{Pace: 2})
		hub.Heard(at(float64(i)/10), "b", gauge.Reading{Pace: 1})
	}
	vm.Merge(at(10), hub.TakeChanges(at(10)))
	require.Greater(t, vm.Pace(at(10), "a"), 1.2)
	for i := range 400 {
		now := at(10 + float64(i)/10)
		hub.Heard(now, "b", gauge.Reading{Pace: 1})
		vm.Merge(now, hub.TakeChanges(now))
	}
	require.Equal(t, 1.0, vm.Pace(at(50), "a"))
}

// Guards against samples that are lost or counted twice on their way through a relay.
func TestSamplesAddUp(t *testing.T) {
	leaf1, leaf2, relay := &gauge.Gauge{}, &gauge.Gauge{}, &gauge.Gauge{}
	// The service is known to report paces, or its responses would not be told.
	leaf2.Merge(at(0), []gauge.Estimate{{Server: "b", Pace: 1}})
	total := gauge.Sample{Server: "a"}
	for i := range 60 {
		now := at(float64(i) / 10)
		leaf1.Heard(now, "a", gauge.Reading{Pace: 1})
		leaf2.Observed(now, "a", 2)
		if i%3 == 2 {
			relay.AddSamples(now, leaf1.TakeSamples(now))
			relay.AddSamples(now, leaf2.TakeSamples(now))
		}
		if i%6 == 5 {
			for _, s := range relay.TakeSamples(now) {
				total.Readings += s.Readings
				total.PaceSum += s.PaceSum
				total.Responses += s.Responses
				total.RatioSum += s.RatioSum
			}
		}
	}
	require.Equal(t, gauge.Sample{Server: "a", Readings: 60, PaceSum: 60, Responses: 60, RatioSum: 120}, total)
	require.Empty(t, relay.TakeSamples(at(7)))
}

// Guards against a VM that was the controller and then tells its hub of the past minutes as of now.
func TestOldSamplesDiscarded(t *testing.T) {
	g := &gauge.Gauge{}
	g.Heard(at(0), "a", gauge.Reading{Pace: 3})
	require.Empty(t, g.TakeSamples(at(31)))
	g.Heard(at(40), "a", gauge.Reading{Pace: 1})
	require.Equal(t, []gauge.Sample{{Server: "a", Readings: 1, PaceSum: 1}}, g.TakeSamples(at(40)))
}

// Guards against a faulty linked VM whose frames hold nonsense.
func TestInvalidFrames(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 50 {
		for _, id := range []string{"a", "b", "c"} {
			g.Heard(at(float64(i)/10), id, gauge.Reading{Pace: 1})
		}
	}
	g.AddSamples(at(5), []gauge.Sample{
		{Server: "a", Readings: -5, PaceSum: -5}, {Server: "a", Readings: 1, PaceSum: math.NaN()}, {Server: "a", Readings: 1, PaceSum: math.Inf(1)},
		{Server: "a", Responses: 1, RatioSum: math.NaN()}, {Server: "a"},
	})
	g.Merge(at(5), []gauge.Estimate{{Server: "b", Pace: math.NaN()}, {Server: "c", Pace: -1}, {Server: "c", Pace: math.Inf(1)}})
	for _, id := range []string{"a", "b", "c"} {
		pace := g.Pace(at(8), id)
		require.GreaterOrEqual(t, pace, 0.25, id)
		require.LessOrEqual(t, pace, 4.0, id)
	}
}

// Guards against data races between the request path and the links.
func TestConcurrentUse(t *testing.T) {
	g := &gauge.Gauge{Service: func(string) string { return "s" }, OnDistrust: func(gauge.Distrust) {}, OnTold: func(int) {}}
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 200 {
				now, id := start.Add(time.Duration(i)*50*time.Millisecond), fmt.Sprint("s", (i+worker)%7)
				g.Heard(now, id, gauge.Reading{Pace: float64(1 + i%3)})
				g.Observed(now, id, 1)
				g.Pace(now, id)
				g.AddSamples(now, g.TakeSamples(now))
				g.Merge(now, g.TakeChanges(now))
				g.All(now)
				g.Retain(func(server string) bool { return server != "s0" })
			}
		})
	}
	wg.Wait()
}

// Guards against control traffic in deployments whose servers report no pace.
func TestNothingToldWithoutReports(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 100 {
		g.Observed(at(float64(i)/10), "a", 3)
		g.Heard(at(float64(i)/10), "b", gauge.Reading{Running: 3, Slots: 8})
	}
	require.Empty(t, g.TakeSamples(at(10)))
	require.Empty(t, g.TakeChanges(at(10)))
	require.Empty(t, g.All(at(10)))
	require.Equal(t, 1.0, g.Pace(at(10), "a"))
}

// BenchmarkPace measures the paces of ninety servers, which the choice for one request looks at.
func BenchmarkPace(b *testing.B) {
	g := &gauge.Gauge{Service: func(string) string { return "s" }}
	var ids []string
	for i := range 90 {
		ids = append(ids, fmt.Sprint("s", i))
		g.Heard(at(0), ids[i], gauge.Reading{Pace: 1})
		g.Merge(at(0), []gauge.Estimate{{Server: ids[i], Pace: 1.2}})
	}
	for i := 0; b.Loop(); i++ {
		now := at(0.01 * float64(i%100))
		for _, id := range ids {
			g.Pace(now, id)
		}
	}
}
