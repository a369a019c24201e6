package peers

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// pathFleet is a fleet whose VMs can lose their path to the backend servers.
type pathFleet struct {
	vms  []*testVM
	lost []*atomic.Bool
}

// startPathFleet starts VMs, the last of which is of a build that does not serve as a proxy, and never the
// controller.
func startPathFleet(t *testing.T, count int) *pathFleet {
	t.Helper()
	f := &pathFleet{}
	f.vms = startFleetWith(t, count, func(i int, v *testVM) {
		lost := &atomic.Bool{}
		f.lost = append(f.lost, lost)
		if i == count-1 {
			v.Lease.AcquireDelay = testTimeout
			return
		}
		v.HasPath = func() bool { return !lost.Load() }
		v.Lease.HasPath = v.HasPath
	})
	require.Eventually(t, func() bool {
		linked := 0
		for _, v := range f.vms {
			v.mu.Lock()
			if v.uplink != nil && v.uplink.complete {
				linked++
			}
			v.mu.Unlock()
		}
		return linked == count-1
	}, testTimeout, 10*time.Millisecond)
	return f
}

func (f *pathFleet) setLost(i int, lost bool) {
	f.lost[i].Store(lost)
	f.vms[i].PathChanged()
}

func (f *pathFleet) vm(address string) int {
	return slices.IndexFunc(f.vms, func(v *testVM) bool { return v.Address == address })
}

// requireProxies requires that a VM without a path knows proxies, all of which have one, serve, and accept
// its key.
func (f *pathFleet) requireProxies(t *testing.T, i int) {
	t.Helper()
	require.Eventually(t, func() bool {
		proxies := f.vms[i].ProxyVMs()
		for _, address := range proxies {
			proxy := f.vm(address)
			if proxy == i || proxy == len(f.vms)-1 || f.lost[proxy].Load() || !f.vms[proxy].AcceptsProxyKey(f.vms[i].ProxyKey()) {
				return false
			}
		}
		return len(proxies) > 0
	}, testTimeout, 10*time.Millisecond)
}

// VMs lose their path to the backend servers, in a fleet whose links are a star and in one where they are a
// tree, the controller among them. Guards against VMs that know no other VM to send their requests through,
// or only such as have lost their path too.
func TestProxiesOfVMsWithoutPath(t *testing.T) {
	for name, count := range map[string]int{"star": 6, "tree": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			f := startPathFleet(t, count)
			require.Eventually(t, func() bool {
				controller, _, _ := topology(f.vms)
				if controller < 0 {
					return false
				}
				for i := range f.vms {
					f.lost[i].Store(i == controller || i%2 == 0 && i < count-2)
				}
				return true
			}, testTimeout, 10*time.Millisecond)
			for i := range f.vms {
				f.vms[i].PathChanged()
			}
			for i := range f.vms {
				if f.lost[i].Load() {
					f.requireProxies(t, i)
				}
			}
			for i := range f.vms {
				f.setLost(i, false)
			}
			require.Eventually(t, func() bool {
				return !slices.ContainsFunc(f.vms, func(v *testVM) bool {
					v.mu.Lock()
					defer v.mu.Unlock()
					return v.announcedProxies() != nil
				})
			}, testTimeout, 10*time.Millisecond, "proxies are still named")
		})
	}
}

// The controller and all relays of a tree lose their path, and most VMs below them do not. Guards against a fleet
// whose controller knows no VM that has a path, so that it names none to whole failure domains and keeps the lease.
func TestProxiesBelowRelaysWithoutPath(t *testing.T) {
	f := startPathFleet(t, minTreeVMs+4)
	var controller int
	var relays []int
	require.Eventually(t, func() bool {
		var settled bool
		controller, relays, settled = topology(f.vms)
		return settled
	}, testTimeout, 10*time.Millisecond)
	// All VMs of one domain, and of the other one the controller and the relays, which are its strongest.
	withoutPath := func(i int) bool {
		return i == controller || slices.Contains(relays, i) || f.vms[i].Domain == f.vms[relays[0]].Domain
	}
	for i := range f.vms {
		if withoutPath(i) {
			f.setLost(i, true)
		}
	}
	for i := range f.vms {
		if withoutPath(i) {
			f.requireProxies(t, i)
		}
	}
	require.Eventually(t, func() bool {
		next, _, _ := topology(f.vms)
		return next >= 0 && next != controller && !withoutPath(next)
	}, testTimeout, 10*time.Millisecond, "a VM with a path gives the orders")
}

// Guards against a proxy that refuses a VM which has not learned of the newest controller yet.
func TestProxyKeyOfPreviousTerm(t *testing.T) {
	l := &Lease{}
	for _, key := range []string{"first", "second", "third"} {
		record := l.record
		record.Key = key
		l.setRecord(record)
	}
	p := &Peers{Lease: l}
	for key, want := range map[string]bool{"third": true, "second": true, "first": false, "": false} {
		require.Equal(t, want, p.AcceptsProxyKey(key), key)
	}
	require.False(t, (&Peers{Lease: &Lease{}}).AcceptsProxyKey(""), "no key is known")
}

// The controller loses its path to the backend servers. Guards against a fleet in which no model is loaded
// until the path is back, although other VMs could give the orders.
func TestControllerWithoutPathReleasesLease(t *testing.T) {
	f := startPathFleet(t, 6)
	controller, _, _ := topology(f.vms)
	f.setLost(controller, true)
	require.Eventually(t, func() bool {
		next, _, _ := topology(f.vms)
		return next >= 0 && next != controller
	}, testTimeout, 10*time.Millisecond)
	next, _, _ := topology(f.vms)
	require.Eventually(t, func() bool {
		_, mayOrder := f.vms[next].Lease.FencingToken(clock.Now())
		return mayOrder && f.vms[next].linkCount() == len(f.vms)-1
	}, testTimeout, 10*time.Millisecond, "the new controller may give orders to servers and has all links")
}

// All VMs lose their path to the backend servers. Guards against a fleet without a controller, whose VMs
// would not share what they know.
func TestFleetWithoutPathKeepsController(t *testing.T) {
	f := startPathFleet(t, 4)
	for i := range f.vms {
		f.vms[i].HasPath = func() bool { return false }
		f.vms[i].Lease.HasPath = f.vms[i].HasPath
		f.vms[i].PathChanged()
	}
	controller, _, _ := topology(f.vms)
	f.vms[controller].crash()
	f.vms = slices.Delete(f.vms, controller, controller+1)
	require.Eventually(t, func() bool {
		next, _, _ := topology(f.vms)
		return next >= 0
	}, testTimeout, 10*time.Millisecond)
}
