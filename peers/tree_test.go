package peers

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// testTimeout bounds waits for conditions that usually hold after 1 to 2 s.
const testTimeout = 60 * time.Second

// testVM is one VM of a test fleet. Its view lists one server, and it serves no requests.
type testVM struct {
	*Peers
	cancel context.CancelFunc
	server *httptest.Server
	// storePartitionedAt is when the VM was partitioned from the store, or nil if it is not.
	storePartitionedAt atomic.Pointer[time.Time]
}

var errStorePartitioned = errors.New("store unreachable")

// storeClient returns a store client whose reads and writes fail after partitionFromStore.
func (v *testVM) storeClient(o *stand.ObjectStore) store.Objects {
	client := o.Client()
	get, put := client.Get, client.Put
	client.Get = func(ctx context.Context, kind, name string) (store.Object, error) {
		if v.storePartitionedAt.Load() != nil {
			return store.Object{}, errStorePartitioned
		}
		return get(ctx, kind, name)
	}
	client.Put = func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
		if v.storePartitionedAt.Load() != nil {
			return 0, errStorePartitioned
		}
		return put(ctx, kind, name, ifVersion, value)
	}
	return client
}

// confirmedAt returns when the store last confirmed the VM's data.
func (v *testVM) confirmedAt() time.Time {
	if at := v.storePartitionedAt.Load(); at != nil {
		return *at
	}
	return clock.Now()
}

// partitionFromStore partitions the VM from the store.
func (v *testVM) partitionFromStore() {
	now := clock.Now()
	v.storePartitionedAt.Store(&now)
}

func newVM(o *stand.ObjectStore, name, domain string, cores float64) *testVM {
	v := &testVM{}
	view := &backs.View{}
	view.Replace(clock.Now(), []backs.Entry{{ID: "s1", Service: "s", Domain: domain, SoftwareVersion: "v1"}})
	lease := &Lease{Name: name, Objects: v.storeClient(o), Duration: 1200 * time.Millisecond, Now: clock.Now, Log: zerolog.Nop()}
	v.Peers = &Peers{
		Gauge: &gauge.Gauge{}, Poison: &poison.Tracker{}, Limits: &limit.Limits{}, Quotas: &limit.Quotas{},
		Name: name, Domain: domain, Boot: name, Cores: cores, Lease: lease, Servers: view, Balancer: &pick.Balancer{Domain: domain},
		Controller: &steer.Controller{
			Name: name, Servers: view, Table: func() *routes.Table { return nil }, FencingToken: lease.FencingToken,
			Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
		},
		Config: func() (int, []byte) { return 0, nil }, ConfigChanged: func() <-chan struct{} { return nil },
		ApplyConfig: func(int, []byte) {}, ConfirmedAt: v.confirmedAt, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
	}
	v.Quotas.OnTight = v.SignalTight
	v.server = httptest.NewServer(v.Handler())
	v.Address = strings.TrimPrefix(v.server.URL, "http://")
	lease.Address = v.Address
	return v
}

func (v *testVM) start(ctx context.Context) {
	ctx, v.cancel = context.WithCancel(ctx)
	go v.Run(ctx)
}

func (v *testVM) crash() {
	v.cancel()
	v.closeLinks()
	v.mu.Lock()
	if v.uplink != nil {
		v.uplink.conn.Close()
	}
	v.mu.Unlock()
	v.server.Close()
}

// startFleet starts VMs in two failure domains, two of them strong in each domain.
func startFleet(t *testing.T, count int) []*testVM {
	t.Helper()
	return startFleetWith(t, count, func(int, *testVM) {})
}

// startFleetWith is startFleet with a function that changes each VM before it starts.
func startFleetWith(t *testing.T, count int, change func(i int, v *testVM)) []*testVM {
	t.Helper()
	o := &stand.ObjectStore{}
	var vms []*testVM
	for i := range count {
		cores := 0.2
		if i < 4 {
			cores = 0.8
		}
		v := newVM(o, fmt.Sprintf("vm-%02d", i), fmt.Sprintf("d%d", i%2), cores)
		change(i, v)
		v.start(t.Context())
		t.Cleanup(v.crash)
		vms = append(vms, v)
	}
	return vms
}

// topology returns the indices of the controller and the relays. settled reports whether there are a
// controller and two relays, the relays are linked to the controller, and all other VMs to a relay.
func topology(vms []*testVM) (controller int, relays []int, settled bool) {
	controller, settled = -1, true
	for i, v := range vms {
		if v.Leading() {
			controller = i
		}
		if v.isRelaying() {
			relays = append(relays, i)
		}
	}
	for i, v := range vms {
		v.mu.Lock()
		linked := v.uplink != nil && v.uplink.direct == slices.Contains(relays, i)
		v.mu.Unlock()
		settled = settled && (i == controller || linked)
	}
	return controller, relays, settled && controller >= 0 && len(relays) == 2
}

// Dozens of VMs start and form a tree through the strongest VM of each domain. If each were linked to
// the controller, its traffic would grow with the number of VMs times the number of servers, and all
// VMs would read the store when the controller fails. The controller receives the load of all VMs
// through two links, and each VM that of all others. The tree must form again after the controller
// crashes.
func TestLinkTree(t *testing.T) {
	vms := startFleet(t, minTreeVMs+4)
	require.Eventually(t, func() bool { _, _, settled := topology(vms); return settled }, testTimeout, 10*time.Millisecond)
	controller, _, _ := topology(vms)
	require.Eventually(t, func() bool {
		_, relays, settled := topology(vms)
		return settled && !slices.ContainsFunc(relays, func(i int) bool { return i >= 4 })
	}, testTimeout, 10*time.Millisecond, "a weak VM is a relay")
	loadOf := func(v *testVM) int {
		return v.totalLoads()["s1"].Running
	}
	for _, v := range vms {
		v.Balancer.Begin(clock.Now(), pick.Choice{Server: backs.Entry{ID: "s1"}}, pick.Work{}, 0)
	}
	loadsAgree := func() bool {
		for i, v := range vms {
			if i != controller && loadOf(v) != len(vms) {
				return false
			}
		}
		return loadOf(vms[controller]) == len(vms)
	}
	require.Eventually(t, loadsAgree, testTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return vms[controller].VMs() == len(vms) }, testTimeout, 10*time.Millisecond)

	vms[controller].crash()
	vms = slices.Delete(vms, controller, controller+1)
	require.Eventually(t, func() bool {
		var settled bool
		controller, _, settled = topology(vms)
		return settled && loadsAgree()
	}, testTimeout, 10*time.Millisecond)
}

// A relay crashes. The other VMs of its domain receive the address of a new relay from the controller.
func TestRelayCrash(t *testing.T) {
	vms := startFleet(t, minTreeVMs+4)
	require.Eventually(t, func() bool { _, _, settled := topology(vms); return settled }, testTimeout, 10*time.Millisecond)
	_, relays, _ := topology(vms)
	vms[relays[0]].crash()
	vms = slices.Delete(vms, relays[0], relays[0]+1)
	require.Eventually(t, func() bool { _, _, settled := topology(vms); return settled }, testTimeout, 10*time.Millisecond)
}

// Guards against a weak VM staying the relay. Weak VMs start first, and one becomes the relay. A strong
// VM that starts later links to this relay, so the controller cannot choose it, and the weak VM kept
// writing to all others. The relay must reject the link of the strong VM once, and be replaced by it.
func TestWeakRelayReplaced(t *testing.T) {
	o := &stand.ObjectStore{}
	startVM := func(i int, cores float64) *testVM {
		v := newVM(o, fmt.Sprintf("vm-%02d", i), "d0", cores)
		v.start(t.Context())
		t.Cleanup(v.crash)
		return v
	}
	var weak []*testVM
	for i := range minTreeVMs + 2 {
		weak = append(weak, startVM(i, 0.2))
	}
	weakRelays := func() bool { return slices.ContainsFunc(weak, func(v *testVM) bool { return v.isRelaying() }) }
	require.Eventually(t, weakRelays, testTimeout, 10*time.Millisecond)
	strong := startVM(len(weak), 0.8)
	require.Eventually(t, func() bool { return strong.isRelaying() && !weakRelays() }, testTimeout, 10*time.Millisecond)
}

// A much stronger VM links again to a relay that rejected it, because it cannot reach the controller.
// The relay must accept it: a weak relay is better than none.
func TestRelayRejectsStrongerVMOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peers{Domain: "d0", Cores: 0.2}
	peer := func(domain string, millicores int) wire.Hello {
		return wire.Hello{Node: "v", FailureDomain: domain, Millicores: millicores}
	}
	require.False(t, p.rejectsStronger(now, peer("d0", 300)), "not much stronger")
	require.False(t, p.rejectsStronger(now, peer("d1", 800)), "in another failure domain")
	require.True(t, p.rejectsStronger(now, peer("d0", 800)))
	require.False(t, p.rejectsStronger(now.Add(time.Second), peer("d0", 800)))
	require.True(t, p.rejectsStronger(now.Add(rejectCooldown), peer("d0", 800)))
}

// Guards against VMs staying linked to a relay that is partitioned from the store together with its
// controller, but not from the other VMs. Another VM acquires the lease. The relay cannot detect this
// and stays with the old controller, but the VMs of its domain can. They exchanged no demand or load
// with the new controller until the partition ended, and each of them read the store.
func TestRelayPartitionedWithController(t *testing.T) {
	vms := startFleet(t, minTreeVMs+4)
	require.Eventually(t, func() bool { _, _, settled := topology(vms); return settled }, testTimeout, 10*time.Millisecond)
	controller, relays, _ := topology(vms)
	partitioned := []*testVM{vms[controller]}
	for _, i := range relays {
		if vms[i].Domain == vms[controller].Domain {
			partitioned = append(partitioned, vms[i])
		}
	}
	require.Len(t, partitioned, 2)
	for _, v := range partitioned {
		v.partitionFromStore()
	}
	rest := slices.DeleteFunc(slices.Clone(vms), func(v *testVM) bool { return slices.Contains(partitioned, v) })
	version := 0
	require.Eventually(t, func() bool {
		i := slices.IndexFunc(rest, func(v *testVM) bool { return v.Leading() })
		if i >= 0 {
			version, _ = rest[i].Lease.LatestRecord()
		}
		return i >= 0
	}, testTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(rest, func(v *testVM) bool { return !v.Leading() && v.hubLeaseVersion() < version })
	}, testTimeout, 10*time.Millisecond)
}

// hubLeaseVersion returns the lease version that the VM last received from its hub.
func (v *testVM) hubLeaseVersion() int {
	v.mu.Lock()
	up := v.uplink
	v.mu.Unlock()
	if up == nil {
		return 0
	}
	return up.leaseVersion()
}

// A relay reports for all VMs of its domain: their total load, the adapters in use, their total demand
// and the number of VMs.
func TestRelayReport(t *testing.T) {
	p := &Peers{Balancer: &pick.Balancer{}, Poison: &poison.Tracker{}, Limits: &limit.Limits{}, links: map[*downlink]bool{{vm: "a"}: true, {vm: "b"}: true}}
	p.mergeReport("a", &wire.VMReport{
		Vms: 1, Doubts: []string{"s2"},
		Loads: []wire.ServerLoad{{Server: "s1", Running: 2, Adapters: []string{"m/a1"}}},
		Wants: []wire.ModelWant{{Service: "s", Model: "m", Requests: 1, TimeUs: 10}},
	})
	p.mergeReport("b", &wire.VMReport{
		Vms: 3, Doubts: []string{"s2"},
		Loads: []wire.ServerLoad{{Server: "s1", Running: 1, Adapters: []string{"m/a2", "m/a1"}}},
		Wants: []wire.ModelWant{{Service: "s", Model: "m", Requests: 2, TimeUs: 20}},
	})
	require.Equal(t, pick.Load{Running: 3, Adapters: []string{"m/a1", "m/a2"}}, p.subtreeLoads()["s1"])
	require.Equal(t, []steer.ModelDemand{{Service: "s", Model: "m", Requests: 3, ServerTime: 30 * time.Microsecond}}, p.takeDemand())
	require.Equal(t, []string{"s2"}, p.takeUnverified())
	require.Equal(t, 5, p.subtreeVMs())
	p.mergeReport("a", &wire.VMReport{Vms: 1})
	require.Equal(t, 1, p.subtreeLoads()["s1"].Running, "a report replaces the previous one")
}

// Guards against too many retries at the start of a term. The VMs link to the new controller one after
// another, and each VM divides the retry budget by the number of VMs. If that number included only the
// VMs linked so far, all VMs together would exceed the budget many times.
func TestNewTermKeepsVMCount(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peers{Lease: &Lease{}, vms: 80}
	p.startTerm(now)
	p.updateVMCount(now.Add(time.Second))
	require.Equal(t, 80, p.VMs())
	p.updateVMCount(now.Add(recountPeriod))
	require.Equal(t, 1, p.VMs())
}

// While many servers change, frames arrive faster than a weak VM reads them. The queued frames must be
// replaced by the full state, and the link must stay open: a new link would start with the full state
// as well.
func TestFullStateAfterQueueOverflow(t *testing.T) {
	d := &downlink{frames: make(chan []byte, 2), replies: make(chan []byte, 1)}
	for _, frame := range []string{"1", "2", "3"} {
		d.enqueue([]byte(frame))
	}
	require.True(t, d.overflowed.Load())
	frames, err := d.resync(func() ([][]byte, error) { return [][]byte{[]byte("all")}, nil })
	require.NoError(t, err)
	require.Equal(t, [][]byte{[]byte("all")}, frames)
	require.Empty(t, d.frames)
	require.False(t, d.overflowed.Load())
}
