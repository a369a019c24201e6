package gauge_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/gauge"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// machine is a server whose pace changes between its steady one and one 2.5 times as long, for spells of 600 ms on average and 15%
// of the time.
type machine struct {
	steady float64
	slow   bool
	until  time.Time
}

func (m *machine) pace(now time.Time, rng *rand.Rand) float64 {
	for !m.until.After(now) {
		m.slow = !m.slow
		length := 0.6
		if !m.slow {
			length = 3.4
		}
		if m.until.IsZero() {
			m.until, m.slow = now, rng.Float64() < 0.15
		}
		m.until = m.until.Add(time.Duration(rng.ExpFloat64() * length * float64(time.Second)))
	}
	if m.slow {
		return 2.5 * m.steady
	}
	return m.steady
}

// fleet is a controller and the VMs that are linked to it, in front of servers a quarter of which are 2.2 times as fast as others.
type fleet struct {
	rng      *rand.Rand
	vms      []*gauge.Gauge
	machines map[string]*machine
	ids      []string
	// samples and estimates count what was sent over all links.
	samples, estimates int
}

func newFleet(seed uint64, vms, servers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), machines: map[string]*machine{}}
	for range vms {
		f.vms = append(f.vms, &gauge.Gauge{})
	}
	for i := range servers {
		id := fmt.Sprintf("s%04d", i)
		f.ids = append(f.ids, id)
		f.machines[id] = &machine{steady: 1.2}
		if i%4 == 0 {
			f.machines[id].steady = 0.55
		}
	}
	return f
}

// hear has each server report five times in each second, to a VM drawn at random, and show in its responses how long they took.
func (f *fleet) hear(now time.Time, step time.Duration) {
	for _, id := range f.ids {
		pace := f.machines[id].pace(now, f.rng)
		if f.rng.Float64() < 5*step.Seconds() {
			vm := f.vms[f.rng.IntN(len(f.vms))]
			vm.Heard(now, id, gauge.Reading{Pace: pace})
			vm.Observed(now, id, 1.3*pace*(0.7+0.6*f.rng.Float64()))
		}
	}
}

// exchange carries samples to the first VM, the controller, and its estimates to the others.
func (f *fleet) exchange(now time.Time) {
	for _, vm := range f.vms[1:] {
		samples := vm.TakeSamples(now)
		f.samples += len(samples)
		f.vms[0].AddSamples(now, samples)
	}
	changes := f.vms[0].TakeChanges(now)
	for _, vm := range f.vms[1:] {
		f.estimates += len(changes)
		vm.Merge(now, changes)
	}
}

func (f *fleet) run(from, to float64, linked bool) {
	const step = 50 * time.Millisecond
	for i, now := 0, at(from); now.Before(at(to)); i, now = i+1, now.Add(step) {
		f.hear(now, step)
		if linked && i%6 == 0 {
			f.exchange(now)
		}
	}
}

// meanError returns the mean over servers and VMs of the deviation of the paces from the steady ones relative to their mean, without
// the last readings.
func (f *fleet) meanError(now time.Time) float64 {
	mean := 0.0
	for _, m := range f.machines {
		mean += m.steady / float64(len(f.machines))
	}
	sum := 0.0
	for _, vm := range f.vms {
		estimates := map[string]float64{}
		for _, e := range vm.All(now) {
			estimates[e.Server] = e.Pace
		}
		for _, id := range f.ids {
			pace, ok := estimates[id]
			if !ok {
				pace = 1
			}
			sum += math.Abs(pace*mean/f.machines[id].steady - 1)
		}
	}
	return sum / float64(len(f.vms)*len(f.ids))
}

// Guards against estimates by the readings of one VM, which hears from a server once in ten seconds and can not tell slow servers
// from those in a spell, and against bytes that grow with the number of servers.
func TestEstimatesOfAllVMs(t *testing.T) {
	const vms, seconds = 66, 40
	alone, linked := newFleet(1, vms, 90), newFleet(1, vms, 90)
	alone.run(0, seconds, false)
	linked.run(0, seconds, true)
	aloneError, linkedError := alone.meanError(at(seconds)), linked.meanError(at(seconds))
	t.Logf("mean error of a pace: %.3f alone, %.3f linked; a VM sends %.1f samples and receives %.1f estimates a second",
		aloneError, linkedError, float64(linked.samples)/(vms-1)/seconds, float64(linked.estimates)/(vms-1)/seconds)
	require.Less(t, linkedError, 0.15)
	require.Greater(t, aloneError, 2*linkedError)
}

// Guards against control traffic that grows with the number of servers: a relay hears from all of them, and each changes.
func TestTrafficBound(t *testing.T) {
	rates := map[int][2]float64{}
	for _, servers := range []int{90, 1500} {
		f := newFleet(2, 2, servers)
		const seconds = 20
		f.run(0, seconds, true)
		rates[servers] = [2]float64{float64(f.samples) / seconds, float64(f.estimates) / seconds}
	}
	t.Logf("samples and estimates a second: %v", rates)
	for servers, rate := range rates {
		require.LessOrEqual(t, rate[0], 8+64.0/20, servers)
		require.LessOrEqual(t, rate[1], 12+256.0/20, servers)
	}
}

// Guards against a VM that decides by estimates of a hub that is gone, or forgets them at once, or has none of its own.
func TestHubLost(t *testing.T) {
	vm := &gauge.Gauge{}
	vm.Merge(at(0), []gauge.Estimate{{Server: "slow", Pace: 1.5}, {Server: "fast", Pace: 0.5}})
	require.Equal(t, 1.5, vm.Pace(at(29), "slow"))
	for i := range 60 {
		vm.Heard(at(29+float64(i)/10), "slow", gauge.Reading{Pace: 1.2})
		vm.Heard(at(29+float64(i)/10), "fast", gauge.Reading{Pace: 0.4})
	}
	require.InDelta(t, 3.0, vm.Pace(at(35), "slow")/vm.Pace(at(35), "fast"), 0.3)
	require.Equal(t, 1.0, vm.Pace(at(70), "slow"), "readings expire as well")
	lone := &gauge.Gauge{}
	lone.Merge(at(0), []gauge.Estimate{{Server: "slow", Pace: 1.5}})
	require.Equal(t, 1.0, lone.Pace(at(30), "slow"))
	lone.Merge(at(31), []gauge.Estimate{{Server: "fast", Pace: 0.5}})
	require.Equal(t, 1.0, lone.Pace(at(31), "slow"), "a new hub does not revive what has expired")
}

// Guards against a VM that forgets estimates because they have not changed, so that its hub does not repeat them.
func TestUnchangedEstimatesStay(t *testing.T) {
	hub, vm := &gauge.Gauge{}, &gauge.Gauge{}
	for i := range 1200 {
		now := at(float64(i) / 10)
		hub.Heard(now, "slow", gauge.Reading{Pace: 1.2})
		hub.Heard(now, "fast", gauge.Reading{Pace: 0.4})
		if i%3 == 0 {
			if changes := hub.TakeChanges(now); len(changes) > 0 {
				vm.Merge(now, changes)
			}
		}
	}
	require.InDelta(t, 1.5, vm.Pace(at(120), "slow"), 0.15)
	require.InDelta(t, 0.5, vm.Pace(at(120), "fast"), 0.05)
}

// Guards against a fleet that has to learn all paces anew whenever the controller ends.
func TestNewController(t *testing.T) {
	f := newFleet(3, 8, 20)
	f.run(0, 30, true)
	before := f.meanError(at(30))
	f.vms = f.vms[1:]
	worst := 0.0
	for i := range 20 {
		f.run(30+float64(i), 31+float64(i), true)
		worst = max(worst, f.meanError(at(31+float64(i))))
	}
	t.Logf("mean error of a pace: %.3f before, %.3f at worst after", before, worst)
	require.Less(t, worst, before+0.08)
}

// Guards against paces of an earlier process of a server, whose machine may be another one.
func TestRestartedServer(t *testing.T) {
	g := &gauge.Gauge{}
	for i := range 30 {
		g.Heard(at(float64(i)/10), "a@1", gauge.Reading{Pace: 3})
		g.Heard(at(float64(i)/10), "b@1", gauge.Reading{Pace: 1})
	}
	require.Greater(t, g.Pace(at(3), "a@1"), 1.3)
	require.Equal(t, 1.0, g.Pace(at(3), "a@2"))
	g.Retain(func(id string) bool { return id != "a@1" })
	require.Equal(t, 1.0, g.Pace(at(3), "a@1"))
	require.Len(t, g.All(at(3)), 1)
}
