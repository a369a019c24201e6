package peers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/gauge"
)

const (
	// simPacedServers keeps frames, and with them the time of the test, small.
	simPacedServers = 24
	// simPacedVMs are enough for further relays in each of three failure domains, also after some VMs have ended.
	simPacedVMs = 3 * (minDividedVMs + 4)
)

// hears records a response of a server at a VM, which took as long as its reading says.
func (v *simVM) hears(server string, pace float64) {
	now := time.Now()
	v.Gauge.Heard(now, server, gauge.Reading{Running: 1, Slots: 32, Pace: pace})
	v.Gauge.Observed(now, server, pace)
}

// hear lets some VMs hear the first two servers each second: one that takes pace, and a usual one.
func (f *simFleet) hear(vms []*simVM, pace float64, seconds int) {
	servers := f.servers()
	for range seconds {
		for _, v := range vms {
			v.hears(servers[0].ID, pace)
			v.hears(servers[1].ID, 1)
		}
		time.Sleep(time.Second)
	}
}

// relaysOf returns the number of relays between a VM and the controller.
func (f *simFleet) relaysOf(v *simVM) int {
	v.mu.Lock()
	up := v.uplink
	v.mu.Unlock()
	for _, hub := range f.vms {
		if up != nil && hub.Address == up.address && !hub.Leading() {
			return 1 + f.relaysOf(hub)
		}
	}
	return 0
}

// requirePaces requires that each VM takes the first server for slower than the second by a factor.
func (f *simFleet) requirePaces(t *testing.T, factor float64) {
	t.Helper()
	now, servers := time.Now(), f.servers()
	for _, v := range f.vms {
		got := v.Gauge.Pace(now, servers[0].ID) / v.Gauge.Pace(now, servers[1].ID)
		require.InDelta(t, factor, got, 0.15*factor, "%s behind %d relays", v.Name, f.relaysOf(v))
	}
}

// relay returns a relay that is linked to the controller and has further relays.
func (f *simFleet) relay() *simVM {
	return f.vms[slices.IndexFunc(f.vms, func(v *simVM) bool { return v.isRelaying() && f.relaysOf(v) == 0 })]
}

// remove kills a VM for good.
func (f *simFleet) remove(killed *simVM) {
	killed.kill()
	f.vms = slices.DeleteFunc(f.vms, func(v *simVM) bool { return v == killed })
}

// Guards against samples that are lost or counted twice on the way through relays of several failure domains, against
// VMs behind two relays that learn nothing, against unchanged estimates that expire or are sent again and again, and
// against VMs that know nothing after a relay or the controller has ended.
func TestPacesOfFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(simPacedVMs)
		f.idle = true
		f.entries = f.entries[:simPacedServers]
		f.start()
		defer f.stop()
		time.Sleep(simSettleTime)
		c := f.controller()
		require.NotNil(t, c)
		deepest := 0
		for _, v := range f.vms {
			deepest = max(deepest, f.relaysOf(v))
		}
		require.Equal(t, 2, deepest)

		const seconds = 10
		f.hear(f.vms, 2.2, seconds)
		time.Sleep(4 * maxSampleWait)
		others := len(f.vms) - 1
		require.EqualValues(t, others*seconds*4, c.Meter.CounterValue("gauge.collected"), "two readings and two responses of each other VM in a second")
		f.requirePaces(t, 2.2)

		// Only one VM hears the servers from now on.
		told := c.Meter.CounterValue("gauge.told")
		f.hear([]*simVM{c}, 2.2, 35)
		f.requirePaces(t, 2.2)
		require.LessOrEqual(t, c.Meter.CounterValue("gauge.told")-told, int64(15), "an entry in five seconds and some more say that the others still apply")

		f.remove(f.relay())
		f.hear([]*simVM{c}, 2.2, 10)
		f.requirePaces(t, 2.2)

		f.remove(c)
		time.Sleep(10 * time.Second)
		next := f.controller()
		require.NotNil(t, next)
		f.requirePaces(t, 2.2)
		f.hear([]*simVM{next}, 2.2, 32)
		f.requirePaces(t, 2.2)
	})
}

// Guards against estimates that VMs keep although no VM has heard of the servers for long.
func TestPacesExpireWithoutReadings(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(minTreeVMs)
		f.idle = true
		f.entries = f.entries[:simPacedServers]
		f.start()
		defer f.stop()
		time.Sleep(simSettleTime)
		f.hear(f.vms[:10], 2.2, 20)
		f.requirePaces(t, 2.2)
		time.Sleep(2*sampleLifetime + 10*time.Second)
		f.requirePaces(t, 1)
	})
}
