package peers

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// The simulated control plane runs the links, the tree and the frames of a fleet in one process, with
// VMs of the sizes that operators use: in each failure domain 10 of 165 are strong. It takes no
// requests; each VM holds one at a random server, as in a fleet with one request a second for each VM.
// What it measures does not depend on the speed of the machine, because time is simulated.
//
//	go test ./peers -run TestSimulatedFleet -v -sim.vms 985 -sim.domains 6
//
// prints bytes by role and kind of frame, and the time in which changes reach the VMs.
var (
	simVMs     = flag.Int("sim.vms", 0, "VMs of the simulated fleet; 0 for the size that is checked with every build")
	simKeepers = flag.Bool("sim.keepers", true, "VMs keep the origins of streams for others, so that hubs name them")
	simDomains = flag.Int("sim.domains", 3, "failure domains of the simulated fleet")
)

const (
	simServersPerVM  = 4
	simModels        = 554
	simStrongEvery   = 16
	simStrongCores   = 0.8
	simWeakCores     = 0.192
	simStrongBytes   = 1000e6 / 8
	simWeakBytes     = 20e6 / 8
	simHeartbeat     = 5 * time.Second
	simCheckedVMs    = 120
	simStartSpread   = time.Second
	simSettleTime    = 20 * time.Second
	simMeasuredTime  = 10 * time.Second
	simCheckInterval = 10 * time.Millisecond
	simChangeTimeout = 30 * time.Second
	// simMaxViews is the largest number of views of servers that fit in memory, times their servers.
	// Beyond it weak VMs of a failure domain share one view.
	simMaxViews = 6_000_000
)

// simFleet is a simulated fleet.
type simFleet struct {
	network simNetwork
	store   stand.ObjectStore
	vms     []*simVM
	// entries are the servers' entries, as the controller reads them from the store.
	entries   []backs.Entry
	entriesMu sync.Mutex
	running   sync.WaitGroup
	// idle is set for a fleet whose VMs have no requests, so that they exchange only what the test is about.
	idle bool
	// leaseCalls counts the store calls for the lease.
	leaseCalls atomic.Int64
}

// storeClient returns a client of the store that counts the calls.
func (f *simFleet) storeClient() store.Objects {
	client := f.store.Client()
	get, put := client.Get, client.Put
	client.Get = func(ctx context.Context, kind, name string) (store.Object, error) {
		f.leaseCalls.Add(1)
		return get(ctx, kind, name)
	}
	client.Put = func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
		f.leaseCalls.Add(1)
		return put(ctx, kind, name, ifVersion, value)
	}
	return client
}

// servers returns the entries of all servers. Callers must not change them.
func (f *simFleet) servers() []backs.Entry {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	return f.entries
}

// placeModel adds a model to the entry of the second server, which has loaded it.
func (f *simFleet) placeModel(model string) backs.Entry {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	f.entries = slices.Clone(f.entries)
	placed := &f.entries[1]
	placed.Models = append(slices.Clone(placed.Models), backs.LoadedModel{Model: model})
	return *placed
}

// removeServer removes the first server from the store.
func (f *simFleet) removeServer() backs.Entry {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	gone := f.entries[0]
	f.entries = f.entries[1:]
	return gone
}

// simVM is a VM of a simulated fleet. Its parts are replaced when it restarts.
type simVM struct {
	*Peers
	fleet *simFleet
	index int
	nic   *simInterface
	view  *backs.View
	// shared is set if other VMs use the same view.
	shared   bool
	stop     context.CancelFunc
	listener *simListener
	// dead is set while the VM has no process, and running counts the parts of one that have not ended.
	dead     bool
	running  sync.WaitGroup
	configMu sync.Mutex
	revision int
	value    []byte
	changed  chan struct{}
	// confirmed is when the store last confirmed the list of servers, in Unix nanoseconds.
	confirmed atomic.Int64
}

func newSimFleet(vms int) *simFleet {
	f := &simFleet{}
	for i := range vms * simServersPerVM {
		f.entries = append(f.entries, simEntry(i))
	}
	views := make(map[string]*backs.View)
	for i := range vms {
		domain := fmt.Sprintf("d%d", i%*simDomains)
		v := &simVM{fleet: f, index: i, nic: &simInterface{domain: domain, bytesPerSecond: simWeakBytes}}
		if v.strong() {
			v.nic.bytesPerSecond = simStrongBytes
		} else if vms*len(f.entries) > simMaxViews {
			if views[domain] == nil {
				views[domain] = &backs.View{}
			}
			v.view, v.shared = views[domain], true
		}
		f.vms = append(f.vms, v)
	}
	return f
}

func (v *simVM) strong() bool { return v.index / *simDomains % simStrongEvery == 0 }

// simEntry returns the entry of a server, which holds two models.
func simEntry(i int) backs.Entry {
	name := fmt.Sprintf("syl%07d", i)
	born := time.Unix(1_700_000_000, 0)
	return backs.Entry{
		ID: backs.InstanceID(name, born), Name: name, StartedAt: born, SoftwareVersion: "v1", Service: "label-llm", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		Domain: fmt.Sprintf("d%d", i%*simDomains), Slots: 32,
		Models: []backs.LoadedModel{{Model: fmt.Sprintf("daka%06d", i%simModels), Adapters: []string{"a1"}}, {Model: fmt.Sprintf("daka%06d", (i*7+1)%simModels)}},
	}
}

// start starts the processes of a VM.
func (v *simVM) start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	address := fmt.Sprintf("vm-%05d:7000", v.index)
	cores := simWeakCores
	if v.strong() {
		cores = simStrongCores
	}
	view := v.view
	if !v.shared {
		view = &backs.View{}
	}
	lease := &Lease{
		Name: address, Address: address, Objects: v.fleet.storeClient(), Duration: 3 * time.Second, Now: time.Now, Log: zerolog.Nop(),
		AcquireDelay: time.Duration((1/cores - 1) * float64(time.Second) / 7),
	}
	v.configMu.Lock()
	v.revision, v.value, v.changed = 0, nil, make(chan struct{})
	v.configMu.Unlock()
	p := &Peers{
		Gauge: &gauge.Gauge{}, Poison: &poison.Tracker{}, Limits: &limit.Limits{}, Retries: &retry.Budgets{}, Name: address, Domain: v.nic.domain, Boot: address, Address: address, Cores: cores, KeepsOrigins: *simKeepers,
		Lease: lease, Servers: view, Balancer: &pick.Balancer{Domain: v.nic.domain},
		Controller: &steer.Controller{
			Name: address, Servers: view, Table: func() *routes.Table { return nil }, FencingToken: lease.FencingToken, Now: time.Now, Log: zerolog.Nop(), Meter: meter.New(),
		},
		Config: v.config, ConfigChanged: v.configChanged, ApplyConfig: v.applyConfig, ConfirmedAt: v.confirmedAt,
		Dial: func(ctx context.Context, to string) (net.Conn, error) { return v.fleet.network.dial(ctx, v.nic, to) },
		Now:  time.Now, Log: zerolog.Nop(), Meter: meter.New(),
	}
	p.Gauge.OnTold = func(estimates int) { p.Meter.AddCounter("gauge.told", int64(estimates)) }
	p.Retries.Configure(time.Now(), simRetries)
	lease.CountVMs, lease.RecordAllotments = p.VMs, p.RecordAllotments
	v.Peers = p
	v.listener = v.fleet.network.listen(address, v.nic)
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	v.run(func() { _ = server.Serve(v.listener) })
	v.run(func() { p.Run(ctx) })
	v.run(func() { v.control(ctx) })
	v.run(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if v.fleet.idle {
		return
	}
	servers := v.fleet.servers()
	// The same server in each run: frames are longer with more busy servers.
	busy := servers[rand.New(rand.NewPCG(2, uint64(v.index))).IntN(len(servers))]
	p.Balancer.Begin(time.Now(), pick.Choice{Server: busy, PrefillTime: time.Millisecond}, pick.Work{Model: busy.Models[0].Model, PromptTokens: 9000}, 0)
}

// run runs a part of the VM's process.
func (v *simVM) run(part func()) {
	v.running.Add(1)
	v.fleet.running.Go(func() {
		defer v.running.Done()
		part()
	})
}

// control does what a VM does while it holds the lease: it lists the servers, and then reads the
// heartbeats that they write.
func (v *simVM) control(ctx context.Context) {
	listed, next := false, 0
	const batches = 100
	for ctx.Err() == nil {
		sleep(ctx, simHeartbeat/batches)
		if v.watchesStore() {
			v.confirmed.Store(time.Now().UnixNano())
		}
		if !v.Leading() {
			listed = false
			continue
		}
		now := time.Now()
		entries := v.fleet.servers()
		if !listed {
			sleep(ctx, time.Duration(len(entries)/200)*5*time.Millisecond)
			v.Servers.Replace(time.Now(), entries)
			listed = true
		}
		for i := next; i < len(entries); i += batches {
			v.Servers.Put(now, entries[i])
		}
		next = (next + 1) % batches
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// confirmedAt returns when the store last confirmed the list of servers to this VM.
func (v *simVM) confirmedAt() time.Time { return time.Unix(0, v.confirmed.Load()) }

// watchesStore reports whether a VM watches the store: the controller, and a relay of a failure domain
// that has lost it.
func (v *simVM) watchesStore() bool {
	if v.Leading() {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.relaying && !v.furtherRelay && v.uplink == nil
}

func (v *simVM) config() (int, []byte) {
	v.configMu.Lock()
	defer v.configMu.Unlock()
	return v.revision, v.value
}

func (v *simVM) configChanged() <-chan struct{} {
	v.configMu.Lock()
	defer v.configMu.Unlock()
	return v.changed
}

func (v *simVM) applyConfig(revision int, value []byte) {
	v.configMu.Lock()
	defer v.configMu.Unlock()
	if revision > v.revision {
		v.revision, v.value = revision, value
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// kill ends the processes of a VM without notice.
func (v *simVM) kill() {
	v.stop()
	v.closeLinks()
	v.mu.Lock()
	up := v.uplink
	v.mu.Unlock()
	if up != nil {
		up.conn.Close()
	}
	_ = v.listener.Close()
}

// start starts all VMs within simStartSpread.
func (f *simFleet) start() {
	var starting sync.WaitGroup
	for _, v := range f.vms {
		starting.Go(func() {
			time.Sleep(rand.N(simStartSpread))
			v.start()
		})
	}
	starting.Wait()
}

func (f *simFleet) stop() {
	for _, v := range f.vms {
		v.kill()
	}
	f.running.Wait()
	// Writes and timeouts of closed links end within this time.
	time.Sleep(simSettleTime)
}

// linked reports whether a VM is the controller, or has a link and the full list of servers.
func (v *simVM) linked() bool {
	v.mu.Lock()
	up := v.uplink
	v.mu.Unlock()
	return v.Servers.Synced() && (up != nil || v.Leading())
}

func (f *simFleet) controller() *simVM {
	i := slices.IndexFunc(f.vms, func(v *simVM) bool { return v.Leading() })
	if i < 0 {
		return nil
	}
	return f.vms[i]
}

// simResult is what a simulation measured.
type simResult struct {
	started, restarted                        simSpread
	startTraffic, steadyTraffic               simTraffic
	configured, serverGone, modelPlaced, held simSpread
	// startCalls, steadyCalls, lossCalls and restartCalls are the store calls for the lease of the
	// fleet until it has settled, at rest, after the loss of its controller and after that of all VMs.
	startCalls, steadyCalls, lossCalls, restartCalls int64
}

// runSimulation starts a fleet, measures it at rest, lets a configuration, a removed server and a placed
// model spread, kills the controller, and then kills and starts all VMs.
func runSimulation(t *testing.T, vms int) (r simResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(vms)
		zero := f.traffic()
		began := time.Now()
		f.start()
		r.started = f.spread((*simVM).linked)
		time.Sleep(simSettleTime - time.Since(began))
		r.startTraffic, r.startCalls = f.trafficSince(zero), f.leaseCalls.Swap(0)
		before := f.traffic()
		time.Sleep(simMeasuredTime)
		r.steadyTraffic, r.steadyCalls = f.trafficSince(before), f.leaseCalls.Swap(0)

		c := f.controller()
		require.NotNil(t, c)
		c.applyConfig(2, []byte("configuration"))
		r.configured = f.spread(func(v *simVM) bool { revision, _ := v.config(); return revision == 2 })
		gone := f.removeServer()
		c.Servers.Remove(time.Now(), gone.Name)
		r.serverGone = f.spread(func(v *simVM) bool { return !v.Servers.Usable(time.Now(), gone.ID) })
		placed := f.placeModel("new")
		c.Servers.SetModels(time.Now(), placed.ID, placed.Models)
		r.modelPlaced = f.spread(func(v *simVM) bool {
			return v.shared || slices.ContainsFunc(v.Servers.All(time.Now()), func(e backs.Entry) bool { return e.ID == placed.ID && e.HasModel("new", "") })
		})
		f.leaseCalls.Store(0)
		c.kill()
		old := c.Address
		f.vms = slices.DeleteFunc(f.vms, func(v *simVM) bool { return v == c })
		r.held = f.spread(func(v *simVM) bool {
			holder, _ := v.Lease.OtherHolder()
			return v.Leading() || holder != "" && holder != old && v.linked()
		})
		r.lossCalls = f.leaseCalls.Swap(0)
		for _, v := range f.vms {
			v.kill()
		}
		f.running.Wait()
		f.start()
		r.restarted = f.spread((*simVM).linked)
		r.restartCalls = f.leaseCalls.Load()
		f.stop()
	})
	return r
}

// Guards against what made a thousand VMs unusable: bytes of a VM that grow with the fleet, changes that
// do not reach all VMs, and store calls that grow with VMs. The bounds are those of the size that is
// checked with every build; the figures of larger fleets are in docs/CAPACITY.md.
func TestSimulatedFleet(t *testing.T) {
	vms := *simVMs
	checked := vms == 0
	if checked {
		vms = simCheckedVMs
	}
	r := runSimulation(t, vms)
	t.Logf("%d VMs, %d servers", vms, vms*simServersPerVM)
	t.Logf("started in %v ms (half / 0.99 / all), traffic until settled %s", r.started, r.startTraffic.perSecond(simSettleTime))
	t.Logf("steady: %s", r.steadyTraffic.perSecond(simMeasuredTime))
	t.Logf("ms to half / 0.99 / all: configuration %v, server gone %v, model placed %v, new controller %v, all restarted %v",
		r.configured, r.serverGone, r.modelPlaced, r.held, r.restarted)
	t.Logf("calls for the lease: until settled %d, in %v at rest %d, controller lost %d, all restarted %d", r.startCalls, simMeasuredTime, r.steadyCalls, r.lossCalls, r.restartCalls)
	if !checked {
		return
	}
	for name, s := range map[string]simSpread{"configuration": r.configured, "server gone": r.serverGone, "model placed": r.modelPlaced} {
		require.NotZero(t, s.all, name)
		require.LessOrEqual(t, s.all, time.Second, name)
	}
	require.NotZero(t, r.held.all)
	require.NotZero(t, r.restarted.all)
	require.LessOrEqual(t, r.restarted.most, 5*time.Second)
	require.LessOrEqual(t, r.steadyTraffic.middleLeaf, int64(40e3*simMeasuredTime.Seconds()))
	require.LessOrEqual(t, r.steadyCalls, int64(15), "the controller renews its lease, and nobody else calls")
}
