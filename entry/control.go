package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/plan"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	kindLease  = "leases"
	kindLedger = "ledgers"

	controlInterval = 200 * time.Millisecond
	leaseDuration   = 3 * time.Second
	leaseTimeout    = time.Second
	// maxLeaseCandidates is how many VMs of a failure domain compete for the
	// lease, and leasePollInterval is the time between two reads of it.
	maxLeaseCandidates = 2
	leasePollInterval  = time.Second
	stepTimeout        = leaseDuration / 3
	orderTimeout       = time.Second
	// defaultMaxOrderDelay is the longest delay of an order in transit when the
	// server's entry does not give one.
	defaultMaxOrderDelay = 30 * time.Second
	// maxReportAge is the maximum age of a usable load report.
	maxReportAge = time.Second
)

// controller runs on the VM that holds the lease of its failure domain. Only
// this VM orders the domain's servers to load and unload.
type controller struct {
	d           *Daemon
	leaseKeeper lease.Keeper
	leaseReadAt time.Time
	// term is nil while the lease is not held.
	term *term
	// demand and swapPlanner outlive a term: every VM tracks the demand.
	demand      plan.Demand
	swapPlanner naive.LRUPlacer
}

// term is the state of one uninterrupted holding of the lease. A new term
// starts by reading all objects again and by writing every ledger, which fences
// off the previous controller.
type term struct {
	reconcilers map[string]*ctrl.Reconciler
	replicaPins ctrl.ReplicaPins
	budget      ctrl.Budget
	newOrderID  func() string
	// pinsLoaded and budgetLoaded are set while replicaPins and budget match the
	// objects in the platform.
	pinsLoaded, budgetLoaded bool
}

func (c *controller) newTerm() *term {
	id := uuid.NewString()
	domain := c.d.config.FailureDomain
	return &term{
		reconcilers: make(map[string]*ctrl.Reconciler),
		replicaPins: ctrl.ReplicaPins{FailureDomain: domain, Controller: id},
		budget:      ctrl.Budget{FailureDomain: domain, ModelLimit: c.d.config.MaxModelLoads, AdapterLimit: c.d.config.MaxAdapterLoads},
		newOrderID:  ctrl.NewOrderIDGenerator(id),
	}
}

// runController runs the control loop until ctx ends.
func (d *Daemon) runController(ctx context.Context) {
	c := &controller{d: d, leaseKeeper: lease.Keeper{Name: d.config.Name, BootID: d.bootID, Duration: leaseDuration}}
	for pause.For(ctx, controlInterval) {
		c.observeDemand()
		c.step(ctx)
	}
	c.releaseLease()
}

func (c *controller) leaseName() string { return "controller-" + c.d.config.FailureDomain }

// step renews the lease and reconciles the domain's servers with the plan.
func (c *controller) step(ctx context.Context) {
	// Only a few VMs of the domain compete for the lease: each polls it, and
	// the platform counts every call.
	isCandidate := c.term != nil || c.d.peers.elected("controller", maxLeaseCandidates)
	if !c.d.Ready() || !isCandidate {
		return
	}
	if err := c.maintainLease(ctx); err != nil {
		c.d.meter.AddCounter("control.lease_failed", 1)
	}
	if !c.leaseKeeper.Held(c.d.now()) {
		c.term = nil
		return
	}
	if c.term == nil {
		c.term = c.newTerm()
		c.d.log.Info().Msg("became controller of the failure domain")
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := c.reconcile(ctx); err != nil {
		c.d.meter.AddCounter("control.failed", 1)
		c.d.log.Warn().Err(err).Msg("control step failed")
	}
}

// reconcile runs one control cycle: read the ledgers, plan, record intents,
// send orders.
func (c *controller) reconcile(ctx context.Context) error {
	reconcilers, err := c.loadReconcilers(ctx)
	if err != nil {
		return err
	}
	result := c.plan(reconcilers)
	if err := c.updateReplicaPins(ctx, reconcilers, result); err != nil {
		return err
	}
	quota, err := c.allocateBudget(ctx, reconcilers, result)
	if err != nil {
		return err
	}
	return c.applyPlan(ctx, reconcilers, result, quota)
}

// loadReconcilers returns the reconcilers of the domain's servers that are
// alive, with their ledgers read.
func (c *controller) loadReconcilers(ctx context.Context) ([]*ctrl.Reconciler, error) {
	var reconcilers []*ctrl.Reconciler
	now := c.d.now()
	for _, server := range c.d.fleet.Servers() {
		if server.Backend != wire.ServerBackendEngine || server.FailureDomain != c.d.config.FailureDomain {
			continue
		}
		if _, at := c.d.fleet.Report(server.Name); at.IsZero() || now.Sub(at) > maxReportAge {
			continue
		}
		reconciler := c.term.reconcilers[server.Name]
		if reconciler == nil {
			reconciler = &ctrl.Reconciler{MaxReportAge: maxReportAge}
			c.term.reconcilers[server.Name] = reconciler
		}
		reconciler.Server, reconciler.MaxOrderDelay = server, maxOrderDelay(server)
		if reconciler.FencingToken() == 0 {
			if err := c.loadLedger(ctx, reconciler); err != nil {
				return nil, err
			}
		}
		reconcilers = append(reconcilers, reconciler)
	}
	return reconcilers, nil
}

func maxOrderDelay(server wire.Server) time.Duration {
	if ms := server.OrderLatenessMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultMaxOrderDelay
}

// maintainLease acquires, renews or reads the lease.
func (c *controller) maintainLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	now := c.d.now()
	action := c.leaseKeeper.Next(now)
	if action == lease.Wait && !c.leaseKeeper.Held(now) {
		if now.Sub(c.leaseReadAt) < leasePollInterval {
			return nil
		}
		c.leaseReadAt = now
		return c.readLease(ctx)
	}
	if action == lease.Wait {
		return nil
	}
	record, version := c.leaseKeeper.NextRecord()
	next, err := c.d.store.Put(ctx, kindLease, c.leaseName(), version, record)
	if err != nil {
		c.leaseKeeper.UpdateFailed()
		return fmt.Errorf("write lease: %w", err)
	}
	c.leaseKeeper.UpdateSucceeded(now, next, record)
	return nil
}

func (c *controller) readLease(ctx context.Context) error {
	obj, err := c.d.store.Get(ctx, kindLease, c.leaseName())
	if trace.IsNotFound(err) {
		c.leaseKeeper.Observe(c.d.now(), 0, lease.Record{})
		return nil
	}
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	var r lease.Record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return fmt.Errorf("decode lease: %w", err)
	}
	c.leaseKeeper.Observe(c.d.now(), obj.Version, r)
	return nil
}

// releaseLease releases the lease, so that a successor need not wait for its
// expiry.
func (c *controller) releaseLease() {
	if !c.leaseKeeper.Held(c.d.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	record, version := c.leaseKeeper.ReleaseRecord()
	if _, err := c.d.store.Put(ctx, kindLease, c.leaseName(), version, record); err != nil {
		c.d.log.Warn().Err(err).Msg("failed to release lease")
	}
}

// loadLedger reads a server's ledger.
func (c *controller) loadLedger(ctx context.Context, r *ctrl.Reconciler) error {
	var l wire.Ledger
	version, err := c.readObject(ctx, kindLedger, r.Server.Name, &l)
	if err != nil {
		return fmt.Errorf("read ledger: %w", err)
	}
	r.Reset(version, l)
	return nil
}

// readObject reads an object into v. An object that does not exist has version
// 0.
func (c *controller) readObject(ctx context.Context, kind, name string, v any) (int, error) {
	obj, err := c.d.store.Get(ctx, kind, name)
	if trace.IsNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(obj.Value, v); err != nil {
		return 0, fmt.Errorf("decode %s/%s: %w", kind, name, err)
	}
	return obj.Version, nil
}

// applyPlan records the intents that follow from the plan and sends the orders.
// The intents are computed for one server after the other, as they share the
// quota. The calls are made concurrently.
func (c *controller) applyPlan(ctx context.Context, reconcilers []*ctrl.Reconciler, result planResult, quota *ctrl.LoadQuota) error {
	var calls sync.WaitGroup
	errs := make(chan error, len(reconcilers))
	for _, r := range reconcilers {
		report, _ := c.d.fleet.Report(r.Server.Name)
		wanted := result.Artifacts(result.models, r.Server.Name)
		next, changed := r.Reconcile(c.d.now(), report, wanted, c.mayRemove(r, result), quota, c.term.newOrderID)
		calls.Go(func() { errs <- c.updateServer(ctx, r, next, changed) })
	}
	calls.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func (c *controller) updateServer(ctx context.Context, r *ctrl.Reconciler, next wire.Ledger, changed bool) error {
	if changed {
		version, err := c.d.store.Put(ctx, kindLedger, r.Server.Name, r.Version(), next)
		if err != nil {
			// The update may have failed, or only its response may have been
			// lost. The ledger is read again before anything else is ordered.
			r.Reset(0, wire.Ledger{})
			return fmt.Errorf("write ledger of %s: %w", r.Server.Name, err)
		}
		r.Committed(version)
	}
	return c.sendOrders(ctx, r)
}

// sendOrders sends the due orders of a server.
func (c *controller) sendOrders(ctx context.Context, r *ctrl.Reconciler) error {
	for _, order := range r.DueOrders(c.d.now()) {
		// For servers that ignore fencing tokens, this check alone stops
		// orders of a former controller. It misses a pause right after the
		// check, which must be shorter than the maximum order delay that the
		// next controller waits for.
		if !c.leaseKeeper.Held(c.d.now()) {
			return nil
		}
		err := c.order(ctx, r, order)
		var staleTokenErr *engine.StaleFencingTokenError
		if errors.As(err, &staleTokenErr) {
			r.Reset(0, wire.Ledger{})
			return fmt.Errorf("send order: %w", err)
		}
		if err != nil {
			c.d.meter.AddCounter("control.orders_failed", 1)
			continue
		}
		c.d.meter.AddCounter("control.orders", 1)
	}
	return nil
}

func (c *controller) order(ctx context.Context, r *ctrl.Reconciler, order wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.d.engines.Order(ctx, r.Server.Address, order, r.FencingToken())
}
