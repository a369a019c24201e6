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

// testWait is ample for what takes a second or two.
const testWait = 60 * time.Second

// vm is one VM of a test's fleet, which knows one server and runs nothing.
type vm struct {
	*Peers
	stop   context.CancelFunc
	server *httptest.Server
	// cut is when it was cut off from the store, nil when it is not.
	cut atomic.Pointer[time.Time]
}

var errCut = errors.New("the store is not reached")

// objects is the store as a VM reaches it.
func (v *vm) objects(o *stand.Objects) store.Objects {
	client := o.Client()
	get, put := client.Get, client.Put
	client.Get = func(ctx context.Context, kind, name string) (store.Object, error) {
		if v.cut.Load() != nil {
			return store.Object{}, errCut
		}
		return get(ctx, kind, name)
	}
	client.Put = func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
		if v.cut.Load() != nil {
			return 0, errCut
		}
		return put(ctx, kind, name, ifVersion, value)
	}
	return client
}

// current is when the store told the VM last.
func (v *vm) current() time.Time {
	if at := v.cut.Load(); at != nil {
		return *at
	}
	return clock.Now()
}

func (v *vm) cutOff() {
	now := clock.Now()
	v.cut.Store(&now)
}

func newVM(o *stand.Objects, name, domain string, cores float64) *vm {
	v := &vm{}
	view := &backs.View{}
	view.Replace(clock.Now(), []backs.Entry{{ID: "s1", Service: "s", Domain: domain}})
	lease := &Lease{Name: name, Objects: v.objects(o), Duration: 1200 * time.Millisecond, Now: clock.Now, Log: zerolog.Nop()}
	v.Peers = &Peers{
		Poison: &poison.Tracker{}, Limits: &limit.Limits{},
		Name: name, Domain: domain, Boot: name, Cores: cores, Lease: lease, Servers: view, Book: &pick.Balancer{Domain: domain},
		Controller: &steer.Controller{
			Name: name, Servers: view, Table: func() *routes.Table { return nil }, Fence: lease.Fence,
			Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
		},
		Config: func() (int, []byte) { return 0, nil }, ConfigChanged: func() <-chan struct{} { return nil },
		Configure: func(int, []byte) {}, Current: v.current, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
	}
	v.server = httptest.NewServer(v.Handler())
	v.Address = strings.TrimPrefix(v.server.URL, "http://")
	lease.Address = v.Address
	return v
}

func (v *vm) start(ctx context.Context) {
	ctx, v.stop = context.WithCancel(ctx)
	go v.Run(ctx)
}

func (v *vm) kill() {
	v.stop()
	v.closeLinks()
	v.mu.Lock()
	if v.up != nil {
		v.up.conn.Close()
	}
	v.mu.Unlock()
	v.server.Close()
}

// fleet starts VMs in two failure domains, two strong ones in each.
func fleet(t *testing.T, count int) []*vm {
	t.Helper()
	o := &stand.Objects{}
	var vms []*vm
	for i := range count {
		cores := 0.2
		if i < 4 {
			cores = 0.8
		}
		v := newVM(o, fmt.Sprintf("vm-%02d", i), fmt.Sprintf("d%d", i%2), cores)
		v.start(t.Context())
		t.Cleanup(v.kill)
		vms = append(vms, v)
	}
	return vms
}

// hubs returns the leader's and the relays' indices, and whether every other VM
// is linked to the relay of its domain.
func hubs(vms []*vm) (leader int, relays []int, settled bool) {
	leader, settled = -1, true
	for i, v := range vms {
		if v.Leading() {
			leader = i
		}
		if v.isRelaying() {
			relays = append(relays, i)
		}
	}
	for i, v := range vms {
		v.mu.Lock()
		linked := v.up != nil && v.up.direct == slices.Contains(relays, i)
		v.mu.Unlock()
		settled = settled && (i == leader || linked)
	}
	return leader, relays, settled && leader >= 0 && len(relays) == 2
}

// Dozens of VMs start. Linked to the controller each, its frames would grow with
// the VMs times the servers, and all of them would ask the store when it goes.
// They form a tree, over the strongest VM of each domain; the controller is told
// the load of all through two links, and each VM that of all others. Then the
// controller is killed and the tree stands again, over one of those left.
func TestLinksFormATree(t *testing.T) {
	vms := fleet(t, treeFrom+4)
	require.Eventually(t, func() bool { _, _, settled := hubs(vms); return settled }, testWait, 10*time.Millisecond)
	leader, _, _ := hubs(vms)
	require.Eventually(t, func() bool {
		_, relays, settled := hubs(vms)
		return settled && !slices.ContainsFunc(relays, func(i int) bool { return i >= 4 })
	}, testWait, 10*time.Millisecond, "weak VMs relay")
	loadOf := func(v *vm) int {
		return v.totals()["s1"].Running
	}
	for _, v := range vms {
		v.Book.Begin(clock.Now(), pick.Choice{Server: backs.Entry{ID: "s1"}}, pick.Work{}, 0)
	}
	agree := func() bool {
		for i, v := range vms {
			if i != leader && loadOf(v) != len(vms) {
				return false
			}
		}
		return loadOf(vms[leader]) == len(vms)
	}
	require.Eventually(t, agree, testWait, 10*time.Millisecond)
	require.Eventually(t, func() bool { return vms[leader].VMs() == len(vms) }, testWait, 10*time.Millisecond)

	vms[leader].kill()
	vms = slices.Delete(vms, leader, leader+1)
	require.Eventually(t, func() bool {
		var settled bool
		leader, _, settled = hubs(vms)
		return settled && agree()
	}, testWait, 10*time.Millisecond)
}

// A relay is killed: the others of its domain find another one over the
// controller.
func TestRelayIsKilled(t *testing.T) {
	vms := fleet(t, treeFrom+4)
	require.Eventually(t, func() bool { _, _, settled := hubs(vms); return settled }, testWait, 10*time.Millisecond)
	_, relays, _ := hubs(vms)
	vms[relays[0]].kill()
	vms = slices.Delete(vms, relays[0], relays[0]+1)
	require.Eventually(t, func() bool { _, _, settled := hubs(vms); return settled }, testWait, 10*time.Millisecond)
}

// Weak VMs start first, and one of each domain relays. A strong VM that joins links to the
// relay of its domain, where the controller does not know of it: the weak one went on to
// write to all others for good. It turns the strong one's link away, once, and is replaced.
func TestAWeakRelayGivesWay(t *testing.T) {
	o := &stand.Objects{}
	join := func(i int, cores float64) *vm {
		v := newVM(o, fmt.Sprintf("vm-%02d", i), "d0", cores)
		v.start(t.Context())
		t.Cleanup(v.kill)
		return v
	}
	var weak []*vm
	for i := range treeFrom + 2 {
		weak = append(weak, join(i, 0.2))
	}
	relays := func() bool { return slices.ContainsFunc(weak, func(v *vm) bool { return v.isRelaying() }) }
	require.Eventually(t, relays, testWait, 10*time.Millisecond)
	strong := join(len(weak), 0.8)
	require.Eventually(t, func() bool { return strong.isRelaying() && !relays() }, testWait, 10*time.Millisecond)
}

// A far stronger VM that a relay has turned away comes back: it does not reach the
// controller, and is better off with a weak relay than with none.
func TestARelayYieldsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peers{Domain: "d0", Cores: 0.2}
	peer := func(domain string, millicores int) wire.Hello {
		return wire.Hello{Node: "v", FailureDomain: domain, Millicores: millicores}
	}
	require.False(t, p.yields(now, peer("d0", 300)), "not far stronger")
	require.False(t, p.yields(now, peer("d1", 800)), "of another domain")
	require.True(t, p.yields(now, peer("d0", 800)))
	require.False(t, p.yields(now.Add(time.Second), peer("d0", 800)))
	require.True(t, p.yields(now.Add(yieldAgain), peer("d0", 800)))
}

// The controller and the relay of its domain are cut off from the store, but not from the
// other VMs. Another VM takes the lease. The relay can not know, and stays with the old
// controller; the VMs of its domain can. Left there they told nobody of their demand and
// were told nothing, for as long as the cut lasted, and each of them asked the store.
func TestVMsLeaveARelayThatIsCutOffWithItsController(t *testing.T) {
	vms := fleet(t, treeFrom+4)
	require.Eventually(t, func() bool { _, _, settled := hubs(vms); return settled }, testWait, 10*time.Millisecond)
	leader, relays, _ := hubs(vms)
	cut := []*vm{vms[leader]}
	for _, i := range relays {
		if vms[i].Domain == vms[leader].Domain {
			cut = append(cut, vms[i])
		}
	}
	require.Len(t, cut, 2)
	for _, v := range cut {
		v.cutOff()
	}
	rest := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return slices.Contains(cut, v) })
	term := 0
	require.Eventually(t, func() bool {
		i := slices.IndexFunc(rest, func(v *vm) bool { return v.Leading() })
		if i >= 0 {
			term, _ = rest[i].Lease.Renewed()
		}
		return i >= 0
	}, testWait, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(rest, func(v *vm) bool { return !v.Leading() && v.hubRenewal() < term })
	}, testWait, 10*time.Millisecond)
}

// hubRenewal returns the version of the lease that the VM's hub told last.
func (v *vm) hubRenewal() int {
	v.mu.Lock()
	up := v.up
	v.mu.Unlock()
	if up == nil {
		return 0
	}
	return up.renewal()
}

// A relay reports for its domain: the load of all, with the adapters in use, the
// demand added up, and how many VMs it speaks for.
func TestRelayReportsForItsDomain(t *testing.T) {
	p := &Peers{Book: &pick.Balancer{}, Poison: &poison.Tracker{}, Limits: &limit.Limits{}, links: map[*downlink]bool{{vm: "a"}: true, {vm: "b"}: true}}
	p.branchReport("a", &wire.VMReport{
		Vms: 1, Doubts: []string{"s2"},
		Loads: []wire.ServerLoad{{Server: "s1", Running: 2, Adapters: []string{"m/a1"}}},
		Wants: []wire.ModelWant{{Service: "s", Model: "m", Requests: 1, TimeUs: 10}},
	})
	p.branchReport("b", &wire.VMReport{
		Vms: 3, Doubts: []string{"s2"},
		Loads: []wire.ServerLoad{{Server: "s1", Running: 1, Adapters: []string{"m/a2", "m/a1"}}},
		Wants: []wire.ModelWant{{Service: "s", Model: "m", Requests: 2, TimeUs: 20}},
	})
	require.Equal(t, pick.Load{Running: 3, Adapters: []string{"m/a1", "m/a2"}}, p.inside()["s1"])
	require.Equal(t, []steer.Want{{Service: "s", Model: "m", Requests: 3, Time: 30 * time.Microsecond}}, p.takeWants())
	require.Equal(t, []string{"s2"}, p.takeDoubts())
	require.Equal(t, 5, p.vmCount())
	p.branchReport("a", &wire.VMReport{Vms: 1})
	require.Equal(t, 1, p.inside()["s1"].Running, "a report replaces the one before")
}

// A VM takes the lease; the others link to it one after the other. Each VM's part
// of the retry budget is by the number of VMs: told the few that are linked so
// far, all of them together would retry many times what they may.
func TestTermCountsTheVMsBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peers{Lease: &Lease{}, vms: 80}
	p.beginTerm(now)
	p.countVMs(now.Add(time.Second))
	require.Equal(t, 80, p.VMs())
	p.countVMs(now.Add(recountFor))
	require.Equal(t, 1, p.VMs())
}

// While many servers change, frames come faster than a weak VM takes them. It is
// not cut off, which would make it open another link and take the whole view all
// the same: what is queued is dropped, and it is told everything anew.
func TestLinksThatAreBehindAreToldAnew(t *testing.T) {
	d := &downlink{frames: make(chan []byte, 2), replies: make(chan []byte, 1)}
	for _, frame := range []string{"1", "2", "3"} {
		d.offer([]byte(frame))
	}
	require.True(t, d.behind.Load())
	frames, err := d.catchUp(func() ([][]byte, error) { return [][]byte{[]byte("all")}, nil })
	require.NoError(t, err)
	require.Equal(t, [][]byte{[]byte("all")}, frames)
	require.Empty(t, d.frames)
	require.False(t, d.behind.Load())
}
