package peers

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/gauge"
)

// The cost of the paces of servers on the links of the simulated control plane. The table in
// docs/design/server_state_links.md is from
//
//	go test ./peers -run TestPaceTraffic -v -sim.vms 66 -sim.domains 3 -sim.paces.servers 93
var (
	simPaceServers   = flag.Int("sim.paces.servers", 0, "servers of the measurement of paces; 0 for four for each VM")
	simPaceResponses = flag.Float64("sim.paces.responses", 9.3, "responses a second that each VM hears in the measurement of paces")
)

// simPaceTimes are the time until a measurement of paces begins, and how long it is.
type simPaceTimes struct{ warmup, measured time.Duration }

var (
	// simPaceTable are the times of the table, and simPaceChecked those of the test, in which the fleet has settled and the
	// steady paces change once.
	simPaceTable   = simPaceTimes{40 * time.Second, 30 * time.Second}
	simPaceChecked = simPaceTimes{22 * time.Second, 20 * time.Second}
)

const (
	// maxPaceBytes is how many bytes a second paces may add at a leaf: half of those for all control traffic.
	maxPaceBytes = 2000
	// maxUnchangedTold is how many estimates that do not change all VMs together may send in a second. Each is sent again
	// once a minute, by the controller and each relay.
	maxUnchangedTold = 20
)

// simPaces are the paces of the servers in a measurement, by the time since its start.
type simPaces func(server int, at time.Duration) float64

// unchangedPaces has a quarter of the servers at 2.2 times the others, for good.
func unchangedPaces(server int, _ time.Duration) float64 {
	if server%4 == 0 {
		return 2.2
	}
	return 1
}

// changingPaces has each server 2.5 times slower for 0.6 s in four, and its steady pace change by a factor of 2.2
// every 20 s.
func changingPaces(server int, at time.Duration) float64 {
	pace := unchangedPaces(server+int(at/(20*time.Second)), 0)
	if (at+time.Duration(server)*170*time.Millisecond)%(4*time.Second) < 600*time.Millisecond {
		pace *= 2.5
	}
	return pace
}

// hearPaces lets a VM hear responses of random servers until end is closed.
func (v *simVM) hearPaces(start time.Time, servers int, paces simPaces, end <-chan struct{}) {
	rng := rand.New(rand.NewPCG(1, uint64(v.index)))
	for {
		wait := time.Duration(rng.ExpFloat64() / *simPaceResponses * float64(time.Second))
		select {
		case <-end:
			return
		case <-time.After(wait):
		}
		i := rng.IntN(servers)
		now := time.Now()
		pace := paces(i, now.Sub(start))
		id := simEntry(i).ID
		v.Gauge.Heard(now, id, gauge.Reading{Running: 1, Slots: 32, Pace: pace})
		v.Gauge.Observed(now, id, pace*(0.7+0.6*rng.Float64()))
	}
}

// frameBytes returns the bytes of frames of a kind in a direction, of all VMs.
func (f *simFleet) frameBytes(name string) (sum int64) {
	for _, v := range f.vms {
		for _, role := range []string{"controller", "relay", "leaf"} {
			sum += v.Meter.CounterValue("peers." + role + "." + name + ".bytes")
		}
	}
	return sum
}

// simPaceTraffic is what a measurement of paces gave.
type simPaceTraffic struct {
	simTraffic
	// states and reports are the bytes of these frames that all VMs sent, told and collected the entries sent and the
	// samples that reached the controller, known the servers that each leaf has an estimate of.
	states, reports, told, collected int64
	known                            int
	times                            simPaceTimes
}

func (r simPaceTraffic) String() string {
	perSecond := func(n int64) float64 { return float64(n) / r.times.measured.Seconds() }
	var b strings.Builder
	fmt.Fprintf(&b, "%s; sent by all: fleet states %.1f, reports %.1f KB/s; entries told %.0f/s, samples collected %.0f/s; estimates at each leaf %d", r.perSecond(r.times.measured),
		perSecond(r.states)/1000, perSecond(r.reports)/1000, perSecond(r.told), perSecond(r.collected), r.known)
	return b.String()
}

// counters returns the sum of a counter of all VMs.
func (f *simFleet) counters(name string) (sum int64) {
	for _, v := range f.vms {
		sum += v.Meter.CounterValue(name)
	}
	return sum
}

// measurePaces measures the traffic of a fleet whose VMs hear of servers with paces, or of none if paces is nil.
func measurePaces(t *testing.T, vms, servers int, paces simPaces, times simPaceTimes) (r simPaceTraffic) {
	t.Helper()
	r.times = times
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(vms)
		f.entries = nil
		for i := range servers {
			f.entries = append(f.entries, simEntry(i))
		}
		f.start()
		end, start := make(chan struct{}), time.Now()
		if paces != nil {
			for _, v := range f.vms {
				v.run(func() { v.hearPaces(start, servers, paces, end) })
			}
		}
		time.Sleep(times.warmup)
		before := f.traffic()
		states, reports, told, collected := f.frameBytes("fleet_state.sent"), f.frameBytes("vm_report.sent"), f.counters("gauge.told"), f.counters("gauge.collected")
		time.Sleep(times.measured)
		r.simTraffic = f.trafficSince(before)
		r.states, r.reports = f.frameBytes("fleet_state.sent")-states, f.frameBytes("vm_report.sent")-reports
		r.told, r.collected = f.counters("gauge.told")-told, f.counters("gauge.collected")-collected
		r.known = f.pacesKnown()
		close(end)
		f.stop()
	})
	return r
}

// pacesKnown returns the number of servers that the leaf with the fewest has an estimate of.
func (f *simFleet) pacesKnown() int {
	now, least := time.Now(), -1
	for _, v := range f.vms {
		if n := len(v.Gauge.All(now)); !v.Leading() && !v.isRelaying() && (least < 0 || n < least) {
			least = n
		}
	}
	return least
}

// Guards against paces of servers that cost more on the links than the rest of what VMs exchange, and against ones
// that do not change and are told again and again.
func TestPaceTraffic(t *testing.T) {
	t.Parallel()
	vms, servers, times := *simVMs, *simPaceServers, simPaceTable
	checked := vms == 0
	if checked {
		vms, times = 66, simPaceChecked
	}
	if servers == 0 {
		servers = vms * simServersPerVM
		if checked {
			servers = 93
		}
	}
	leaf := make(map[string]int64)
	for _, m := range []struct {
		name  string
		paces simPaces
	}{{"none", nil}, {"unchanged", unchangedPaces}, {"changing", changingPaces}} {
		t.Run(m.name, func(t *testing.T) {
			r := measurePaces(t, vms, servers, m.paces, times)
			t.Logf("%d VMs, %d servers: %s", vms, servers, r)
			leaf[m.name] = r.middleLeaf
			if !checked || m.paces == nil {
				return
			}
			seconds := int64(times.measured.Seconds())
			require.Equal(t, servers, r.known)
			if none, measured := leaf["none"]; measured {
				require.LessOrEqual(t, r.middleLeaf-none, maxPaceBytes*seconds)
			}
			if m.name == "unchanged" {
				require.LessOrEqual(t, r.told, maxUnchangedTold*seconds)
			}
		})
	}
}
