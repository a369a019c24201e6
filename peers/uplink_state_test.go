package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM that has linked to a hub and waits for the full state listed all servers from the store after half
// a second. With hundreds of VMs starting together the store was busy for minutes. It must wait for the
// hub, but not for good: a hub that never sends the state must not keep it from the store.
func TestVMWithLinkAwaitsState(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now, "a")
	require.False(t, p.AwaitsState(now), "no link")
	p.uplink = &uplink{openedAt: now}
	require.True(t, p.AwaitsState(now))
	require.False(t, p.AwaitsState(now.Add(maxStateWait)))
	p.Servers = &backs.View{}
	require.True(t, p.AwaitsState(now.Add(maxStateWait)), "a VM without a list receives no callers yet")
	require.False(t, p.AwaitsState(now.Add(maxFirstStateWait)))
	p.uplink.complete = true
	require.False(t, p.AwaitsState(now))
}

// When a whole fleet starts, each VM read the lease record with each attempt to link to a controller that
// had just begun, three times a second. Up to 100 VMs still do: a VM that learns of its hub later serves
// later. So does a strong VM while the lease is expired, because it may acquire it.
func TestLeaseReadsOfAFleetAreSpaced(t *testing.T) {
	for name, tc := range map[string]struct {
		vms     int
		delay   time.Duration
		expired bool
		want    time.Duration
	}{
		"small fleet":                         {9, 600 * time.Millisecond, true, 0},
		"87 VMs":                              {87, 600 * time.Millisecond, false, 0},
		"200 VMs":                             {200, 600 * time.Millisecond, false, 2 * leaseReadInterval},
		"strong VM of a fleet":                {1000, 30 * time.Millisecond, false, 3 * leaseReadInterval},
		"strong VM of a fleet, lease expired": {1000, 30 * time.Millisecond, true, 0},
		"weak VM of a fleet":                  {1000, 600 * time.Millisecond, false, 3 * leaseReadInterval},
		"weak VM of a fleet, lease expired":   {1000, 600 * time.Millisecond, true, 3 * leaseReadInterval},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newUnlinkedVM(&now, "a")
			p.vms, p.Lease.AcquireDelay = tc.vms, tc.delay
			require.Equal(t, tc.want, p.minLeaseReadInterval(tc.expired))
		})
	}
}

// A relay that loses the controller lists all servers from the store, in pages, before its data counts as
// current. With 4,000 servers that took longer than its VMs waited, and each of them listed all servers
// too. The wait must cover the list, and stay within the seconds in which a change must be in force.
func TestVMsWaitForTheListOfTheirRelay(t *testing.T) {
	const pageServers, pageTime = 200, 30 * time.Millisecond
	for _, servers := range []int{13, 144, 1000, 4000} {
		listTime := time.Duration((servers+pageServers-1)/pageServers) * pageTime
		require.Greater(t, relayExtraAge(servers), listTime, "%d servers", servers)
		require.LessOrEqual(t, maxHubDataAge+relayExtraAge(servers), 3*time.Second)
	}
	require.Less(t, relayExtraAge(144), 500*time.Millisecond)
}

// All VMs of a fleet restart, and the controller has a new key under its old address. VMs with the old lease
// record tried the old key until they read the record at their usual interval. A refused key must make
// them read it at once.
func TestRefusedKeyMakesVMReadTheLease(t *testing.T) {
	controller, vm := newVM(&stand.ObjectStore{}, "controller", "d", 1), newVM(&stand.ObjectStore{}, "vm", "d", 1)
	t.Cleanup(controller.server.Close)
	t.Cleanup(vm.server.Close)
	require.Equal(t, linkFailed, vm.followHub(t.Context(), controller.Address, controller.Address, "key"), "503: not the controller yet")
	require.Eventually(t, func() bool {
		controller.Lease.Step(t.Context())
		return controller.Leading()
	}, testTimeout, 10*time.Millisecond)
	require.Equal(t, linkDenied, vm.followHub(t.Context(), controller.Address, controller.Address, "old key"))
}

// A VM of this build is linked to a hub of the build before, which does not tell the software versions of servers.
// Guards against streams that can not go on there: the VM reads the store itself, and keeps what it has read.
func TestHubWithoutVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		version string
		fresh   bool
	}{"this build": {"v1", true}, "older build": {"", false}} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newUnlinkedVM(&now, "a")
			p.Servers = &backs.View{}
			p.Servers.Replace(now, []backs.Entry{{ID: "s1", Service: "s", SoftwareVersion: "v1"}})
			state := &wire.FleetState{Vms: 2, Full: true, Servers: []wire.ServerState{{Server: "s1", Service: "s", Address: "1.2.3.4:5", Version: tc.version}}}
			p.applyFleetState(t.Context(), &uplink{}, state)
			require.Equal(t, tc.fresh, p.HubDataFresh(now))
			e, known := p.Servers.Entry("s1")
			require.True(t, known)
			require.Equal(t, "1.2.3.4:5", e.Address)
			require.Equal(t, "v1", e.SoftwareVersion)
		})
	}
}
