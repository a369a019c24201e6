package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/plan"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	kindKeepers = "keepers"
	nameKeepers = "all"
	kindBudget  = "budgets"
	nameBudget  = "weight_store"
	// staticCopies is the number of copies of the static baseline.
	staticCopies = 2
	// leastUse is the load from which the swapping baseline takes a model for
	// used.
	leastUse = 0.05
	// leastStay is how long a copy that was loaded is not dropped: some ten
	// times what a load takes.
	leastStay = 8 * time.Second
)

// planned is a plan with the models it is for.
type planned struct {
	plan.Output
	models []plan.Model
}

// observeDemand takes in the demand for each model, over all VMs.
func (c *controller) observeDemand() {
	total := make(map[string]float64)
	now := c.d.now()
	for domain, models := range c.d.peers.modelDemand() {
		var names []string
		for m, n := range models {
			total[m] += n
			if n >= leastUse {
				names = append(names, m)
			}
		}
		c.swap.RecordUse(now, domain, names)
	}
	c.demand.Observe(now, total)
}

// plan returns what the servers should hold.
func (c *controller) plan(books []*ctrl.Book) planned {
	in := plan.Input{Servers: c.planServers(books), Models: c.planModels()}
	p := planned{models: in.Models}
	switch c.d.config.Placement {
	case "static":
		p.Output = c.static(in)
	case "swap":
		p.Output = c.swap.Place(c.d.now(), in)
	default:
		p.Output = plan.Make(in)
	}
	c.d.meter.Gauge("control.unplaced_models", int64(len(p.Unplaced)))
	return p
}

// static returns the static even placement.
func (c *controller) static(in plan.Input) plan.Output {
	placement, _ := naive.Place(c.d.fleet.Servers(), c.d.demands(), staticCopies)
	out := plan.Output{Placement: make(map[string][]string)}
	for _, s := range in.Servers {
		for _, a := range placement[s.Name] {
			if a.Adapter == "" {
				out.Placement[s.Name] = append(out.Placement[s.Name], a.Model)
			}
		}
	}
	return out
}

// demands returns the models of the profiles in force.
func (d *Daemon) demands() []naive.PoolModel {
	var demands []naive.PoolModel
	for _, m := range d.deployed() {
		demands = append(demands, naive.PoolModel{Pool: m.pool, Model: m.model})
	}
	return demands
}

// deployedModel is a model of the profiles in force.
type deployedModel struct {
	pool     string
	model    wire.Model
	priority int
	weight   float64
}

// deployed returns the models of the profiles in force, sorted by the profiles'
// names; of a model that several deploy, the first one's entry.
func (d *Daemon) deployed() []deployedModel {
	var all []deployedModel
	for _, p := range d.profiles.All() {
		if p.Retired() || p.IsService() {
			continue
		}
		for _, m := range p.Models() {
			i := slices.IndexFunc(all, func(x deployedModel) bool { return x.pool == p.Pool() && x.model.Name == m.Name })
			if i < 0 {
				all = append(all, deployedModel{pool: p.Pool(), model: m, priority: p.Priority(), weight: p.AttainmentWeight()})
				continue
			}
			all[i].priority = max(all[i].priority, p.Priority())
		}
	}
	return all
}

func (c *controller) planModels() []plan.Model {
	var models []plan.Model
	for _, m := range c.d.deployed() {
		artifacts := naive.PoolModel{Model: m.model}.Artifacts()
		bytes := 0
		for _, a := range artifacts {
			bytes += a.Bytes
		}
		models = append(models, plan.Model{
			Name: m.model.Name, Pool: m.pool, Bytes: bytes, Artifacts: artifacts,
			Priority: m.priority, AttainmentWeight: m.weight, Demand: c.demand.Estimate(m.model.Name),
		})
	}
	return models
}

// planServers returns the servers that are alive: those of the domain with what
// their ledgers say, the others with what they report.
func (c *controller) planServers(books []*ctrl.Book) []plan.Server {
	own := make(map[string]*ctrl.Book)
	for _, b := range books {
		own[b.Server.Name] = b
	}
	var servers []plan.Server
	for _, doc := range c.d.fleet.Servers() {
		if doc.Backend != wire.ServerBackendEngine || !c.d.fleet.Alive(c.d.now(), doc.Name) {
			continue
		}
		report, _ := c.d.fleet.Report(doc.Name)
		s := plan.Server{Name: doc.Name, Domain: doc.FailureDomain, Pool: doc.Pool, MemoryBytes: doc.MemoryBytes, Slots: report.Slots}
		if b := own[doc.Name]; b != nil && b.Fence() != 0 {
			s.Models = b.Models()
			s.RecentlyLoaded = b.LoadedSince(c.d.now().Add(-leastStay))
		} else {
			s.Models = residentModels(report)
		}
		servers = append(servers, s)
	}
	return servers
}

func residentModels(report wire.LoadReport) []string {
	var names []string
	for _, r := range report.Residents {
		if r.Adapter == "" && !slices.Contains(names, r.Model) {
			names = append(names, r.Model)
		}
	}
	return names
}

// bind brings the keepers up to date: copies that are loaded are bound to stay,
// and those that the plan drops are let go where another stays.
func (c *controller) bind(ctx context.Context, books []*ctrl.Book, p planned) error {
	k := &c.term.keepers
	if !c.term.bound {
		var doc wire.Keepers
		version, err := c.read(ctx, kindKeepers, nameKeepers, &doc)
		if err != nil {
			return fmt.Errorf("read keepers: %w", err)
		}
		k.Load(version, doc)
		c.term.bound = true
	}
	if k.Succeeded() {
		return fmt.Errorf("another VM is the controller of %s", k.Domain)
	}
	servers, loaded, drop := c.copies(books, p)
	next, changed := k.Revise(servers, loaded, drop, c.copyAlive(p))
	if !changed {
		return nil
	}
	version, err := c.d.store.Put(ctx, kindKeepers, nameKeepers, k.Version(), next)
	if err != nil {
		c.term.bound = false
		if store.IsConflict(err) {
			return nil
		}
		return fmt.Errorf("write keepers: %w", err)
	}
	k.Written(version)
	return nil
}

// copies returns the domain's servers whose ledgers this controller has
// written, the copies loaded on them and those that the plan drops.
func (c *controller) copies(books []*ctrl.Book, p planned) (servers []string, loaded, drop []ctrl.Copy) {
	for _, b := range books {
		if b.Fence() == 0 {
			continue
		}
		servers = append(servers, b.Server.Name)
		for _, m := range p.models {
			copied := ctrl.Copy{Model: m.Name, Server: b.Server.Name}
			if b.Complete(m.Artifacts) || b.HasBase(m.Name) && c.term.keepers.Keeps(copied) {
				loaded = append(loaded, copied)
			}
			if b.HasBase(m.Name) && !slices.Contains(p.Placement[b.Server.Name], m.Name) {
				drop = append(drop, copied)
			}
		}
	}
	return servers, loaded, drop
}

// copyAlive reports whether a copy is there, with all its adapters, on a server
// that is alive.
func (c *controller) copyAlive(p planned) func(ctrl.Copy) bool {
	return func(x ctrl.Copy) bool {
		for _, m := range p.models {
			if m.Name != x.Model {
				continue
			}
			for _, a := range m.Artifacts {
				if !c.d.fleet.HasLoaded(c.d.now(), x.Server, a.Model, a.Adapter) {
					return false
				}
			}
			return true
		}
		return false
	}
}

// mayRemove allows the removal of what no profile deploys any more, of a
// version whose successor is loaded on the same server, and of copies that are
// not bound to stay.
func (c *controller) mayRemove(b *ctrl.Book, p planned) func(ctrl.Artifact) bool {
	return func(a ctrl.Artifact) bool {
		deployed := false
		for _, m := range p.models {
			for _, kept := range m.Artifacts {
				if kept.Model != a.Model || kept.Adapter != a.Adapter {
					continue
				}
				deployed = true
				if kept.Version > a.Version && b.Complete([]ctrl.Artifact{kept}) {
					return true
				}
			}
		}
		return !deployed || c.term.keepers.MayUnload(ctrl.Copy{Model: a.Model, Server: b.Server.Name})
	}
}

// shareBudget takes the domain's part of the loads from the weight store.
func (c *controller) shareBudget(ctx context.Context, books []*ctrl.Book, p planned) (*ctrl.Allowance, error) {
	budget := &c.term.budget
	if budget.Loads == 0 {
		return nil, nil
	}
	var wants, inTransit ctrl.Allowance
	for _, b := range books {
		models, adapters := b.Loading()
		inTransit.Loads += models
		inTransit.Adapters += adapters
		for _, a := range b.Absent(p.Artifacts(p.models, b.Server.Name)) {
			if a.Adapter == "" {
				wants.Loads++
			} else {
				wants.Adapters++
			}
		}
	}
	wants.Loads += inTransit.Loads
	wants.Adapters += inTransit.Adapters
	if !c.term.shared {
		var doc wire.Budget
		version, err := c.read(ctx, kindBudget, nameBudget, &doc)
		if err != nil {
			return nil, fmt.Errorf("read budget: %w", err)
		}
		budget.Load(version, doc)
		c.term.shared = true
	}
	if next, changed := budget.Revise(wants, inTransit); changed {
		version, err := c.d.store.Put(ctx, kindBudget, nameBudget, budget.Version(), next)
		switch {
		case store.IsConflict(err):
			c.term.shared = false
		case err != nil:
			c.term.shared = false
			return nil, fmt.Errorf("write budget: %w", err)
		default:
			budget.Written(version)
		}
	}
	share := budget.Share()
	if !c.term.shared {
		share = ctrl.Allowance{}
	}
	return &ctrl.Allowance{Loads: max(share.Loads-inTransit.Loads, 0), Adapters: max(share.Adapters-inTransit.Adapters, 0)}, nil
}
