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
		panic(fmt.Sprintf("model %q is none of the replay's", name))
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
		panic(fmt.Sprintf("adapter %q is none of the replay's", name))
	}
	return n
}

// world is a replay under way.
type world struct {
	agenda
	p       *Pattern
	variant Variant
	rng     *rand.Rand
	vms     []*vm
	byZone  [][]*vm
	servers []*server
	ids     map[string]*server
	view    *backs.View
	control *steer.Controller
	engine  *routes.Engine
	// calls are those that the controller's last look decided on.
	calls   []func()
	loading int
	tally   *Tally
	// entries is what VMs may send to, as of a revision of the view.
	entries []backs.Entry
	stale   bool
	shown   time.Time
	shares  shares
}

// Play replays a pattern with a seed.
func Play(p Pattern, v Variant, seed uint64) *Tally {
	v.apply(&p.Fleet)
	w := &world{p: &p, variant: v, rng: rand.New(rand.NewPCG(seed, 1)), ids: make(map[string]*server), tally: newTally(&p)}
	w.now = -p.Lead
	w.build(seed)
	w.steering()
	w.sharing()
	w.traffic()
	w.troubles()
	w.run()
	return w.tally
}

func domainName(d int) string { return fmt.Sprintf("d%02d", d) }

func (w *world) build(seed uint64) {
	f := &w.p.Fleet
	w.engine = &routes.Engine{
		Slots: f.Server.Slots, KVCacheTokens: f.Server.KVCacheTokens, TokensPerEvent: f.Server.TokensPerEvent, WeightMemoryMB: f.MemoryMB,
		HostCacheMB: f.HostMB, DiskCacheMB: f.DiskMB, AdapterSlots: f.AdapterSlots, StoreLoadsPerSecond: f.LoadsPerSecond, Models: make(map[string]routes.Model),
	}
	for i, m := range f.Models {
		w.engine.Models[modelName(i)] = routes.Model{Name: modelName(i), SizeMB: m.MB, LoadTime: m.Load, DiskLoadTime: m.Disk, MemoryLoadTime: m.Warm, AdapterCount: m.Adapters, AdapterSizeMB: f.AdapterMB}
		w.engine.LargestModelMB = max(w.engine.LargestModelMB, m.MB)
	}
	w.byZone = make([][]*vm, f.Domains)
	for i := range f.VMs {
		d := i % f.Domains
		v := &vm{
			w: w, name: fmt.Sprintf("v%04d", i), place: i, domain: d, rng: rand.New(rand.NewPCG(seed, uint64(1000+i))),
			budget: &retry.SlidingWindow{}, waiting: make(map[string]int), wants: make(map[string]*steer.ModelDemand), open: make(map[string]bool),
			pending: make(map[*request]*send),
		}
		v.book = &pick.Balancer{Domain: domainName(d), Seed: seed*1e6 + uint64(i), HasIdleConn: func(id string) bool { return v.open[id] }}
		if w.variant.Exact && i > 0 {
			v.book = w.vms[0].book
		}
		v.budget.SetLimit(f.RetryShare, f.RetryExtra/float64(f.VMs), 10*time.Second)
		w.vms = append(w.vms, v)
		w.byZone[d] = append(w.byZone[d], v)
	}
	w.view = &backs.View{}
	for i := range f.Servers {
		s := &server{w: w, place: i, domain: domainName(i % f.Domains)}
		s.begin()
		w.servers = append(w.servers, s)
	}
	w.placeFirst()
	entries := make([]backs.Entry, 0, len(w.servers))
	for _, s := range w.servers {
		w.ids[s.id] = s
		entries = append(entries, s.entry())
	}
	w.view.Replace(w.time(), entries)
	w.stale = true
}

// placeFirst places the models that are asked for by name on all servers, by their parts
// of the demand, and each other one on one server.
func (w *world) placeFirst() {
	f := &w.p.Fleet
	total := make([]float64, len(f.Models))
	sum := 0.0
	for i := range w.p.Kinds {
		k := &w.p.Kinds[i]
		if k.Active == 0 {
			continue
		}
		for m, part := range w.p.weights(k, 0) {
			total[m] += part * k.PerSecond
			sum += part * k.PerSecond
		}
	}
	placed := 0
	for m, part := range total {
		for range int(math.Round(float64(len(w.servers)) * part / sum)) {
			if placed < len(w.servers) {
				w.servers[placed].addModel(m)
				placed++
			}
		}
	}
	for m := range f.Models {
		if !slices.ContainsFunc(w.servers, func(s *server) bool { return s.held[m] }) {
			w.placeOne(m)
		}
	}
}

// placeOne adds a copy at the server with the most room that does not hold the model.
func (w *world) placeOne(m int) {
	var best *server
	for _, s := range w.servers {
		if s.held[m] || s.weight()+w.p.Fleet.Models[m].MB > w.p.Fleet.MemoryMB {
			continue
		}
		if best == nil || s.weight() < best.weight() {
			best = s
		}
	}
	if best != nil {
		best.addModel(m)
	}
}

func (w *world) byID(id string) *server {
	s := w.ids[id]
	if s == nil || s.id != id {
		return nil
	}
	return s
}

func (w *world) way(v *vm, s *server) time.Duration { return w.wayTo(v, s.domain) }

func (w *world) wayTo(v *vm, domain string) time.Duration {
	if domainName(v.domain) == domain {
		return w.p.Fleet.Near
	}
	return w.p.Fleet.Way
}

func (w *world) vmFor(domain int) *vm {
	list := w.byZone[domain]
	return list[w.rng.IntN(len(list))]
}

// serving returns the servers that VMs may send to, in a fixed order.
func (w *world) serving(now time.Time) []backs.Entry {
	if w.stale {
		w.entries = w.view.Serving(now, serviceName)
		slices.SortFunc(w.entries, func(a, b backs.Entry) int { return cmp.Compare(a.ID, b.ID) })
		w.stale = false
	}
	return w.entries
}

// inOrder returns the sends at a server in the order in which they were made.
func (w *world) inOrder(runs map[*batch.Request]*send) []*send {
	list := make([]*send, 0, len(runs))
	for _, t := range runs {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *send) int {
		return cmp.Or(cmp.Compare(a.r.arrived, b.r.arrived), cmp.Compare(a.r.vm.place, b.r.vm.place), cmp.Compare(a.r.prompt, b.r.prompt))
	})
	return list
}

const (
	// heartbeat is how often a server's entry is written: a change shows there by half
	// of it on the average.
	heartbeat = 1200 * time.Millisecond
	// lapses is after how many silent heartbeats an entry is removed.
	lapses = 3
	// lookEvery is the pause between two looks at the placement.
	lookEvery = 100 * time.Millisecond
	// tellTook is how long word of a change takes from the controller to the VMs.
	tellTook = 40 * time.Millisecond
)

// listed is a server whose entry is to change: it shows with its next heartbeat.
func (w *world) listed(s *server) {
	w.ids[s.id] = s
	id := s.id
	w.after(time.Duration(w.rng.Int64N(int64(heartbeat))), func() {
		if s.id == id && !s.down {
			w.view.Put(w.time(), s.entry())
			w.stale = true
		}
	})
}

// steering lets the controller look at the placement.
func (w *world) steering() {
	table := routes.NewTable(1, nil, []routes.Service{{Name: serviceName, Engine: w.engine}}, routes.Limits{})
	w.control = &steer.Controller{
		Name: w.vms[0].name, Servers: w.view, Table: func() *routes.Table { return table },
		Fence: func(time.Time) (int, bool) { return 1, true }, Now: w.time, Log: zerolog.Nop(), Meter: meter.New(),
		Spawn: func(call func()) { w.calls = append(w.calls, call) },
		Commands: steer.Commands{
			Send: func(_ context.Context, e backs.Entry, o steer.Order) (steer.OrderResult, error) {
				s := w.byID(e.ID)
				if s == nil || s.down {
					return steer.Refused, fmt.Errorf("%s is down", e.ID)
				}
				w.tally.orders++
				return s.take(o), nil
			},
			Report: func(_ context.Context, e backs.Entry) (steer.Report, error) {
				s := w.byID(e.ID)
				if s == nil || s.down {
					return steer.Report{}, fmt.Errorf("%s is down", e.ID)
				}
				return s.report(), nil
			},
		},
	}
	until := w.p.Length
	w.every(-w.p.Lead, lookEvery, until, func() {
		w.control.Step(context.Background(), w.time())
		w.carryOut()
	})
}

// carryOut makes the calls that were decided on.
func (w *world) carryOut() {
	calls := w.calls
	w.calls = nil
	for _, call := range calls {
		call()
	}
	w.tell()
}

// find asks the controller for a server that holds a request's model and adapter.
func (w *world) find(r *request) {
	_, err := w.control.TryFind(context.Background(), w.time(), routes.Service{Name: serviceName, Engine: w.engine}, r.work.Model, r.work.Adapter)
	if err != nil {
		panic(fmt.Sprintf("look for %s: %v", r.work.Model, err))
	}
	w.carryOut()
}

// tell passes on what servers hold by the controller's word.
func (w *world) tell() {
	now := w.time()
	shown := w.control.ChangedSince(now, w.shown)
	w.shown = now
	if len(shown) == 0 {
		return
	}
	w.after(tellTook, func() {
		for _, s := range shown {
			w.view.SetModels(now, s.Server, s.Models)
		}
		w.stale = true
	})
}

// doubt passes on that a server was not reached.
func (w *world) doubt(id string) { w.control.RequireReports([]string{id}) }

// troubles plans what befalls servers.
func (w *world) troubles() {
	for _, t := range w.p.Troubles {
		w.at(t.At, func() {
			places := w.rng.Perm(len(w.servers))[:int(t.Share*float64(len(w.servers)))]
			slices.Sort(places)
			for _, i := range places {
				w.strike(w.servers[i], t)
			}
		})
	}
}

func (w *world) strike(s *server, t Trouble) {
	if t.Times > 0 {
		s.batch.Spec.StepTime = time.Duration(float64(w.p.Fleet.Server.StepTime) * t.Times)
		s.batch.Spec.PrefillTokensPerMs = w.p.Fleet.Server.PrefillTokensPerMs / t.Times
		b := s.batch
		w.after(t.For, func() { b.Spec = w.p.Fleet.Server })
		return
	}
	id := s.id
	s.crash(t.For)
	w.after(lapses*heartbeat, func() {
		w.view.Remove(w.time(), id)
		w.stale = true
	})
}
