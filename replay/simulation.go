package replay

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

const serviceName = "models"

func modelName(m int) string { return fmt.Sprintf("m%04d", m) }

func modelNumber(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(fmt.Sprintf("model %q is not part of the replay", name))
	}
	return n
}

func modelNames(list []int) []string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = modelName(m)
	}
	return names
}

func adapterName(a int) string { return "a" + strconv.Itoa(a) }

func adapterNumber(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(fmt.Sprintf("adapter %q is not part of the replay", name))
	}
	return n
}

// simulation is the state of a running replay.
type simulation struct {
	eventQueue
	pattern     *Pattern
	variant     Variant
	rng         *rand.Rand
	vms         []*vm
	vmsByDomain [][]*vm
	servers     []*server
	serversByID map[string]*server
	view        *backs.View
	controller  *steer.Controller
	engine      *routes.Engine
	// pendingCalls are the calls that the controller's last step has spawned.
	pendingCalls []func()
	storeLoads   int
	tally        *Tally
	// entries caches the servers that VMs may send to. It is outdated if entriesStale is set.
	entries      []backs.Entry
	entriesStale bool
	publishedAt  time.Time
	hubLoads     hubLoads
}

// Run runs a pattern with a seed and returns the results.
func Run(p Pattern, v Variant, seed uint64) *Tally {
	v.apply(&p.Fleet)
	sim := &simulation{pattern: &p, variant: v, rng: rand.New(rand.NewPCG(seed, 1)), serversByID: make(map[string]*server), tally: newTally(&p)}
	sim.now = -p.Warmup
	sim.build(seed)
	sim.scheduleController()
	sim.scheduleLoadReports()
	sim.scheduleTraffic()
	sim.scheduleFaults()
	sim.run()
	return sim.tally
}

func domainName(d int) string { return fmt.Sprintf("d%02d", d) }

func (sim *simulation) build(seed uint64) {
	f := &sim.pattern.Fleet
	sim.engine = &routes.Engine{
		Slots: f.ServerSpec.Slots, KVCacheTokens: f.ServerSpec.KVCacheTokens, TokensPerEvent: f.ServerSpec.TokensPerEvent,
		WeightMemoryMB: f.WeightMemoryMB, HostCacheMB: f.HostCacheMB, DiskCacheMB: f.DiskCacheMB,
		AdapterSlots: f.AdapterSlots, StoreLoadsPerSecond: f.StoreLoadsPerSecond, Models: make(map[string]routes.Model),
	}
	for i, m := range f.Models {
		sim.engine.Models[modelName(i)] = routes.Model{
			Name: modelName(i), SizeMB: m.SizeMB,
			LoadTime: m.LoadTime, DiskLoadTime: m.DiskLoadTime, MemoryLoadTime: m.MemoryLoadTime,
			AdapterCount: m.AdapterCount, AdapterSizeMB: f.AdapterSizeMB,
		}
		sim.engine.LargestModelMB = max(sim.engine.LargestModelMB, m.SizeMB)
	}
	sim.vmsByDomain = make([][]*vm, f.Domains)
	for i := range f.VMs {
		d := i % f.Domains
		v := &vm{
			sim: sim, name: fmt.Sprintf("v%04d", i), index: i, domain: d, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))),
			retryBudget: &retry.SlidingWindow{}, waitingRequests: make(map[string]int), demand: make(map[string]*steer.ModelDemand),
			openConnections: make(map[string]bool), pending: make(map[*request]*attempt),
		}
		v.balancer = &pick.Balancer{Domain: domainName(d), Seed: seed*1e6 + uint64(i), HasIdleConn: func(id string) bool { return v.openConnections[id] }}
		if len(f.Paces) > 0 {
			v.balancer.Pace = sim.paceOrUsual
		}
		if sim.variant.ExactLoad && i > 0 {
			v.balancer = sim.vms[0].balancer
		}
		v.retryBudget.SetLimit(sim.currentTime(), f.RetriesPerRequest, f.ExtraRetries/float64(f.VMs), 10*time.Second)
		sim.vms = append(sim.vms, v)
		sim.vmsByDomain[d] = append(sim.vmsByDomain[d], v)
	}
	sim.view = &backs.View{}
	for i := range f.Servers {
		s := &server{sim: sim, index: i, domain: domainName(i % f.Domains)}
		s.start()
		sim.servers = append(sim.servers, s)
	}
	sim.placeInitialModels()
	entries := make([]backs.Entry, 0, len(sim.servers))
	for _, s := range sim.servers {
		sim.serversByID[s.id] = s
		entries = append(entries, s.entry())
	}
	sim.view.Replace(sim.currentTime(), entries)
	sim.entriesStale = true
}

// placeInitialModels distributes the servers over the models of classes with ActiveModels set, in
// proportion to their shares of the demand, and then places each model without a replica on one server.
func (sim *simulation) placeInitialModels() {
	f := &sim.pattern.Fleet
	total := make([]float64, len(f.Models))
	sum := 0.0
	for i := range sim.pattern.Classes {
		class := &sim.pattern.Classes[i]
		if class.ActiveModels == 0 {
			continue
		}
		for m, share := range sim.pattern.demandShares(class, 0) {
			total[m] += share * class.RequestsPerSecond
			sum += share * class.RequestsPerSecond
		}
	}
	placed := 0
	for m, share := range total {
		for range int(math.Round(float64(len(sim.servers)) * share / sum)) {
			if placed < len(sim.servers) {
				sim.servers[placed].addModel(m)
				placed++
			}
		}
	}
	for m := range f.Models {
		if !slices.ContainsFunc(sim.servers, func(s *server) bool { return s.loaded[m] }) {
			sim.placeModel(m)
		}
	}
}

// placeModel adds a replica on the server with the most free memory that has not loaded the model.
func (sim *simulation) placeModel(m int) {
	var best *server
	for _, s := range sim.servers {
		if s.loaded[m] || s.usedMB()+sim.pattern.Fleet.Models[m].SizeMB > sim.pattern.Fleet.WeightMemoryMB {
			continue
		}
		if best == nil || s.usedMB() < best.usedMB() {
			best = s
		}
	}
	if best != nil {
		best.addModel(m)
	}
}

func (sim *simulation) serverByID(id string) *server {
	s := sim.serversByID[id]
	if s == nil || s.id != id {
		return nil
	}
	return s
}

func (sim *simulation) latency(v *vm, s *server) time.Duration { return sim.latencyTo(v, s.domain) }

func (sim *simulation) latencyTo(v *vm, domain string) time.Duration {
	if domainName(v.domain) == domain {
		return sim.pattern.Fleet.IntraDomainLatency
	}
	return sim.pattern.Fleet.CrossDomainLatency
}

func (sim *simulation) randomVM(domain int) *vm {
	list := sim.vmsByDomain[domain]
	return list[sim.rng.IntN(len(list))]
}

// serving returns the servers that VMs may send to, sorted by ID.
func (sim *simulation) serving(now time.Time) []backs.Entry {
	if sim.entriesStale {
		sim.entries = sim.view.Serving(now, serviceName)
		slices.SortFunc(sim.entries, func(a, b backs.Entry) int { return cmp.Compare(a.ID, b.ID) })
		sim.entriesStale = false
	}
	return sim.entries
}

// sortAttempts returns the attempts at a server in a deterministic order, by arrival.
func (sim *simulation) sortAttempts(attempts map[*batch.Request]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(a.request.arrivedAt, b.request.arrivedAt),
			cmp.Compare(a.request.vm.index, b.request.vm.index),
			cmp.Compare(a.request.promptTokens, b.request.promptTokens),
		)
	})
	return list
}

const (
	// heartbeatInterval is how often a server's entry is written. A change is visible after half of
	// it on average.
	heartbeatInterval = 1200 * time.Millisecond
	// missedHeartbeats is the number of missed heartbeats after which an entry is removed.
	missedHeartbeats = 3
	// controllerInterval is the time between two steps of the controller.
	controllerInterval = 100 * time.Millisecond
	// propagationDelay is how long the notice of a change takes from the controller to the VMs.
	propagationDelay = 40 * time.Millisecond
)

// publishEntry updates a server's entry at its next heartbeat.
func (sim *simulation) publishEntry(s *server) {
	sim.serversByID[s.id] = s
	id := s.id
	sim.scheduleAfter(time.Duration(sim.rng.Int64N(int64(heartbeatInterval))), func() {
		if s.id == id && !s.down {
			sim.view.Put(sim.currentTime(), s.entry())
			sim.entriesStale = true
		}
	})
}

// scheduleController creates the controller and schedules its steps.
func (sim *simulation) scheduleController() {
	table := routes.NewTable(1, nil, []routes.Service{{Name: serviceName, Engine: sim.engine}}, routes.Limits{})
	sim.controller = &steer.Controller{
		Name: sim.vms[0].name, Servers: sim.view, Table: func() *routes.Table { return table },
		FencingToken: func(time.Time) (int, bool) { return 1, true }, Now: sim.currentTime, Log: zerolog.Nop(), Meter: meter.New(),
		Spawn: func(call func()) { sim.pendingCalls = append(sim.pendingCalls, call) },
		ServerCalls: steer.ServerCalls{
			Send: func(_ context.Context, e backs.Entry, o steer.Order) (steer.OrderResult, backs.Notice, error) {
				s := sim.serverByID(e.ID)
				if s == nil || s.down {
					return steer.Refused, backs.Notice{}, fmt.Errorf("%s is down", e.ID)
				}
				sim.tally.orders++
				return s.applyOrder(o), backs.Notice{}, nil
			},
			Report: func(_ context.Context, e backs.Entry) (steer.Report, error) {
				s := sim.serverByID(e.ID)
				if s == nil || s.down {
					return steer.Report{}, fmt.Errorf("%s is down", e.ID)
				}
				return s.report(), nil
			},
		},
	}
	if !sim.variant.EqualCapacities {
		sim.controller.Pace = sim.estimatedPace
	}
	until := sim.pattern.Length
	sim.schedulePeriodic(-sim.pattern.Warmup, controllerInterval, until, func() {
		sim.controller.Step(context.Background(), sim.currentTime())
		sim.runPendingCalls()
	})
}

// runPendingCalls makes the calls that the controller has spawned and publishes the changes.
func (sim *simulation) runPendingCalls() {
	pending := sim.pendingCalls
	sim.pendingCalls = nil
	for _, call := range pending {
		call()
	}
	sim.publishModels()
}

// findServer requests a server with a request's model and adapter from the controller.
func (sim *simulation) findServer(r *request) {
	service := routes.Service{Name: serviceName, Engine: sim.engine}
	need := backs.Need{Service: serviceName, Model: r.work.Model, Adapter: r.work.Adapter}
	_, err := sim.controller.TryFind(context.Background(), sim.currentTime(), service, need)
	if err != nil {
		panic(fmt.Sprintf("find a server for %s: %v", r.work.Model, err))
	}
	sim.runPendingCalls()
}

// publishModels sends the VMs the changes of loaded models that the controller has recorded.
func (sim *simulation) publishModels() {
	now := sim.currentTime()
	changed := sim.controller.ChangedSince(now, sim.publishedAt)
	sim.publishedAt = now
	if len(changed) == 0 {
		return
	}
	sim.scheduleAfter(propagationDelay, func() {
		for _, s := range changed {
			sim.view.SetModels(now, s.Server, s.Models)
		}
		sim.entriesStale = true
	})
}

// requireReport makes the controller query a server that a VM could not reach.
func (sim *simulation) requireReport(id string) { sim.controller.RequireReports([]string{id}) }

// scheduleFaults schedules the faults of the pattern.
func (sim *simulation) scheduleFaults() {
	for _, fault := range sim.pattern.Faults {
		sim.scheduleAt(fault.At, func() {
			indexes := sim.rng.Perm(len(sim.servers))[:int(fault.ServerShare*float64(len(sim.servers)))]
			slices.Sort(indexes)
			for _, i := range indexes {
				sim.applyFault(sim.servers[i], fault)
			}
		})
	}
}

func (sim *simulation) applyFault(s *server, fault Fault) {
	if fault.Slowdown > 0 {
		s.slow(fault.Slowdown)
		b := s.batch
		sim.scheduleAfter(fault.Duration, func() {
			if s.batch == b {
				s.slow(1)
			}
		})
		return
	}
	id := s.id
	s.crash(fault.Duration)
	sim.scheduleAfter(missedHeartbeats*heartbeatInterval, func() {
		sim.view.Remove(sim.currentTime(), id)
		sim.entriesStale = true
	})
}
