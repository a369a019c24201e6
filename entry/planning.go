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
	kindReplicaPins = "keepers"
	nameReplicaPins = "all"
	kindBudget      = "budgets"
	nameBudget      = "weight_store"
	// staticReplicas is the number of replicas of a model in the static
	// baseline.
	staticReplicas = 2
	// minUsedLoad is the load from which the swapping baseline considers a
	// model used.
	minUsedLoad = 0.05
	// minLoadedTime is the minimum time for which a loaded replica is kept: about
	// ten times the duration of a load.
	minLoadedTime = 8 * time.Second
)

// planResult is a plan with the models that it covers.
type planResult struct {
	plan.Output
	models []plan.Model
}

// observeDemand records the demand for each model, over all VMs.
func (c *controller) observeDemand() {
	total := make(map[string]float64)
	now := c.d.now()
	for domain, models := range c.d.peers.modelDemand() {
		var names []string
		for m, n := range models {
			total[m] += n
			if n >= minUsedLoad {
				names = append(names, m)
			}
		}
		c.swapPlanner.RecordUse(now, domain, names)
	}
	c.demand.Observe(now, total)
}

// plan returns the models that each server should hold.
func (c *controller) plan(reconcilers []*ctrl.Reconciler) planResult {
	in := plan.Input{Servers: c.planServers(reconcilers), Models: c.planModels()}
	result := planResult{models: in.Models}
	switch c.d.config.Placement {
	case "static":
		result.Output = c.staticPlacement(in)
	case "swap":
		result.Output = c.swapPlanner.Place(c.d.now(), in)
	default:
		result.Output = plan.Make(in)
	}
	c.d.meter.SetGauge("control.unplaced_models", int64(len(result.Unplaced)))
	return result
}

// staticPlacement returns the even placement of the static baseline.
func (c *controller) staticPlacement(in plan.Input) plan.Output {
	placement, _ := naive.Place(c.d.fleet.Servers(), c.d.poolModels(), staticReplicas)
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

// poolModels returns the models of the profiles in force, in the form that the
// baselines use.
func (d *Daemon) poolModels() []naive.PoolModel {
	var models []naive.PoolModel
	for _, m := range d.deployedModels() {
		models = append(models, naive.PoolModel{Pool: m.pool, Model: m.model})
	}
	return models
}

// deployedModel is a model of the profiles in force.
type deployedModel struct {
	pool     string
	model    wire.Model
	priority int
	weight   float64
}

// deployedModels returns the models of the profiles in force, sorted by profile
// name. For a model in several profiles it returns the entry of the first, with
// the highest priority of all.
func (d *Daemon) deployedModels() []deployedModel {
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
	for _, m := range c.d.deployedModels() {
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

// planServers returns the live servers: those of the domain with the models in
// their ledgers, the others with the models that they report.
func (c *controller) planServers(reconcilers []*ctrl.Reconciler) []plan.Server {
	reconcilersByServer := make(map[string]*ctrl.Reconciler)
	for _, r := range reconcilers {
		reconcilersByServer[r.Server.Name] = r
	}
	var servers []plan.Server
	for _, doc := range c.d.fleet.Servers() {
		if doc.Backend != wire.ServerBackendEngine || !c.d.fleet.Alive(c.d.now(), doc.Name) {
			continue
		}
		report, _ := c.d.fleet.Report(doc.Name)
		s := plan.Server{Name: doc.Name, Domain: doc.FailureDomain, Pool: doc.Pool, MemoryBytes: doc.MemoryBytes, Slots: report.Slots}
		if r := reconcilersByServer[doc.Name]; r != nil && r.FencingToken() != 0 {
			s.Models = r.Models()
			s.RecentlyLoaded = r.LoadedSince(c.d.now().Add(-minLoadedTime))
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

// updateReplicaPins updates the pins: loaded replicas are pinned, and replicas
// that the plan drops are unpinned when another pinned replica stays.
func (c *controller) updateReplicaPins(ctx context.Context, reconcilers []*ctrl.Reconciler, p planResult) error {
	pins := &c.term.replicaPins
	if !c.term.pinsLoaded {
		var doc wire.Keepers
		version, err := c.readObject(ctx, kindReplicaPins, nameReplicaPins, &doc)
		if err != nil {
			return fmt.Errorf("read replica pins: %w", err)
		}
		pins.Reset(version, doc)
		c.term.pinsLoaded = true
	}
	if pins.Superseded() {
		return fmt.Errorf("another VM is now the controller of failure domain %s", pins.FailureDomain)
	}
	servers, loaded, toUnload := c.localReplicas(reconcilers, p)
	next, changed := pins.Propose(servers, loaded, toUnload, c.replicaAlive(p))
	if !changed {
		return nil
	}
	version, err := c.d.store.Put(ctx, kindReplicaPins, nameReplicaPins, pins.Version(), next)
	if err != nil {
		c.term.pinsLoaded = false
		if store.IsConflict(err) {
			return nil
		}
		return fmt.Errorf("write replica pins: %w", err)
	}
	pins.Committed(version)
	return nil
}

// localReplicas returns the domain's servers whose ledgers this controller has
// written, the replicas loaded on them and the replicas that the plan drops.
func (c *controller) localReplicas(reconcilers []*ctrl.Reconciler, p planResult) (servers []string, loaded, toUnload []ctrl.Replica) {
	for _, r := range reconcilers {
		if r.FencingToken() == 0 {
			continue
		}
		servers = append(servers, r.Server.Name)
		for _, m := range p.models {
			replica := ctrl.Replica{Model: m.Name, Server: r.Server.Name}
			if r.AllLoaded(m.Artifacts) || r.BaseLoaded(m.Name) && c.term.replicaPins.Pinned(replica) {
				loaded = append(loaded, replica)
			}
			if r.BaseLoaded(m.Name) && !slices.Contains(p.Placement[r.Server.Name], m.Name) {
				toUnload = append(toUnload, replica)
			}
		}
	}
	return servers, loaded, toUnload
}

// replicaAlive reports whether a replica is loaded, with all its adapters, on a
// live server.
func (c *controller) replicaAlive(p planResult) func(ctrl.Replica) bool {
	return func(x ctrl.Replica) bool {
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

// mayRemove allows the removal of artifacts that no profile deploys, of
// versions whose successor is loaded on the same server, and of replicas that
// are not pinned.
func (c *controller) mayRemove(r *ctrl.Reconciler, p planResult) func(ctrl.Artifact) bool {
	return func(a ctrl.Artifact) bool {
		deployed := false
		for _, m := range p.models {
			for _, artifact := range m.Artifacts {
				if artifact.Model != a.Model || artifact.Adapter != a.Adapter {
					continue
				}
				deployed = true
				if artifact.Version > a.Version && r.AllLoaded([]ctrl.Artifact{artifact}) {
					return true
				}
			}
		}
		return !deployed || c.term.replicaPins.MayUnload(ctrl.Replica{Model: a.Model, Server: r.Server.Name})
	}
}

// allocateBudget acquires the domain's share of the concurrent loads from the
// weight store. It returns the loads that may start now, or nil for no limit.
func (c *controller) allocateBudget(ctx context.Context, reconcilers []*ctrl.Reconciler, p planResult) (*ctrl.LoadQuota, error) {
	budget := &c.term.budget
	if budget.ModelLimit == 0 {
		return nil, nil
	}
	var wanted, inProgress ctrl.LoadQuota
	for _, r := range reconcilers {
		models, adapters := r.LoadingCounts()
		inProgress.Models += models
		inProgress.Adapters += adapters
		for _, a := range r.Missing(p.Artifacts(p.models, r.Server.Name)) {
			if a.Adapter == "" {
				wanted.Models++
			} else {
				wanted.Adapters++
			}
		}
	}
	wanted.Models += inProgress.Models
	wanted.Adapters += inProgress.Adapters
	if !c.term.budgetLoaded {
		var doc wire.Budget
		version, err := c.readObject(ctx, kindBudget, nameBudget, &doc)
		if err != nil {
			return nil, fmt.Errorf("read budget: %w", err)
		}
		budget.Reset(version, doc)
		c.term.budgetLoaded = true
	}
	if next, changed := budget.Propose(wanted, inProgress); changed {
		version, err := c.d.store.Put(ctx, kindBudget, nameBudget, budget.Version(), next)
		switch {
		case store.IsConflict(err):
			c.term.budgetLoaded = false
		case err != nil:
			c.term.budgetLoaded = false
			return nil, fmt.Errorf("write budget: %w", err)
		default:
			budget.Committed(version)
		}
	}
	share := budget.Share()
	if !c.term.budgetLoaded {
		share = ctrl.LoadQuota{}
	}
	return &ctrl.LoadQuota{Models: max(share.Models-inProgress.Models, 0), Adapters: max(share.Adapters-inProgress.Adapters, 0)}, nil
}
