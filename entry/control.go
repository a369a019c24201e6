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
	// standbys is how many VMs of a failure domain compete for the lease, and
	// lookInterval the time between two looks at it.
	standbys     = 2
	lookInterval = time.Second
	stepTimeout  = leaseDuration / 3
	orderTimeout = time.Second
	// orderLateness is how late an order can arrive where the server's entry
	// does not say.
	orderLateness = 30 * time.Second
	// reportLag is how old a load report can be.
	reportLag = time.Second
)

// controller is the job of the VM that holds the lease of its failure domain:
// it alone orders the domain's servers to load and unload.
type controller struct {
	d      *Daemon
	keeper lease.Keeper
	looked time.Time
	// term is what holds while the lease is held without a break.
	term *term
	// demand and swap outlive a term: every VM follows the demand.
	demand plan.Demand
	swap   naive.LRUPlacer
}

// term is the state of one holding of the lease. A new one begins by reading
// everything anew and by writing every ledger, which fences off the controller
// before it.
type term struct {
	books   map[string]*ctrl.Book
	keepers ctrl.Keepers
	budget  ctrl.Budget
	newID   func() string
	// bound and shared tell that keepers and budget are as the platform has
	// them.
	bound, shared bool
}

func (c *controller) newTerm() *term {
	id := uuid.NewString()
	domain := c.d.config.FailureDomain
	return &term{
		books:   make(map[string]*ctrl.Book),
		keepers: ctrl.Keepers{Domain: domain, Controller: id},
		budget:  ctrl.Budget{Domain: domain, Loads: c.d.config.Loads, Adapters: c.d.config.Adapters},
		newID:   ctrl.NewOrderID(id),
	}
}

// control runs the controller's loop.
func (d *Daemon) control(ctx context.Context) {
	c := &controller{d: d, keeper: lease.Keeper{Name: d.config.Name, BootID: d.boot, Duration: leaseDuration}}
	for pause.For(ctx, controlInterval) {
		c.observeDemand()
		c.step(ctx)
	}
	c.release()
}

func (c *controller) leaseName() string { return "controller-" + c.d.config.FailureDomain }

// step renews the lease and takes each server a step towards what it should
// hold.
func (c *controller) step(ctx context.Context) {
	// Few of the domain's VMs stand by for the lease: each looks at it again and
	// again, and the platform counts every call.
	standsBy := c.term != nil || c.d.peers.elected("controller", standbys)
	if !c.d.Ready() || !standsBy {
		return
	}
	if err := c.keepLease(ctx); err != nil {
		c.d.meter.Count("control.lease_failed", 1)
	}
	if !c.keeper.Held(c.d.now()) {
		c.term = nil
		return
	}
	if c.term == nil {
		c.term = c.newTerm()
		c.d.log.Info().Msg("controller of the failure domain")
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := c.work(ctx); err != nil {
		c.d.meter.Count("control.failed", 1)
		c.d.log.Warn().Err(err).Msg("control step failed")
	}
}

// work is the pipe of control: view, plan, intents, orders.
func (c *controller) work(ctx context.Context) error {
	books, err := c.openBooks(ctx)
	if err != nil {
		return err
	}
	planned := c.plan(books)
	if err := c.bind(ctx, books, planned); err != nil {
		return err
	}
	allow, err := c.shareBudget(ctx, books, planned)
	if err != nil {
		return err
	}
	return c.carryOut(ctx, books, planned, allow)
}

// openBooks returns the books of the domain's servers that are alive, with
// their ledgers read.
func (c *controller) openBooks(ctx context.Context) ([]*ctrl.Book, error) {
	var books []*ctrl.Book
	now := c.d.now()
	for _, server := range c.d.fleet.Servers() {
		if server.Backend != wire.ServerBackendEngine || server.FailureDomain != c.d.config.FailureDomain {
			continue
		}
		if _, at := c.d.fleet.Report(server.Name); at.IsZero() || now.Sub(at) > reportLag {
			continue
		}
		book := c.term.books[server.Name]
		if book == nil {
			book = &ctrl.Book{ReportLag: reportLag}
			c.term.books[server.Name] = book
		}
		book.Server, book.Lateness = server, lateness(server)
		if book.Fence() == 0 {
			if err := c.loadLedger(ctx, book); err != nil {
				return nil, err
			}
		}
		books = append(books, book)
	}
	return books, nil
}

func lateness(server wire.Server) time.Duration {
	if ms := server.OrderLatenessMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return orderLateness
}

// keepLease takes, renews or observes the lease.
func (c *controller) keepLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	now := c.d.now()
	action := c.keeper.Next(now)
	if action == lease.Wait && !c.keeper.Held(now) {
		if now.Sub(c.looked) < lookInterval {
			return nil
		}
		c.looked = now
		return c.observeLease(ctx)
	}
	if action == lease.Wait {
		return nil
	}
	record, version := c.keeper.NextRecord()
	next, err := c.d.store.Put(ctx, kindLease, c.leaseName(), version, record)
	if err != nil {
		c.keeper.UpdateFailed()
		return fmt.Errorf("write lease: %w", err)
	}
	c.keeper.UpdateSucceeded(now, next, record)
	return nil
}

func (c *controller) observeLease(ctx context.Context) error {
	obj, err := c.d.store.Get(ctx, kindLease, c.leaseName())
	if trace.IsNotFound(err) {
		c.keeper.Observe(c.d.now(), 0, lease.Record{})
		return nil
	}
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	var r lease.Record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return fmt.Errorf("decode lease: %w", err)
	}
	c.keeper.Observe(c.d.now(), obj.Version, r)
	return nil
}

// release gives the lease up, so that a successor need not wait.
func (c *controller) release() {
	if !c.keeper.Held(c.d.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	record, version := c.keeper.ReleaseRecord()
	if _, err := c.d.store.Put(ctx, kindLease, c.leaseName(), version, record); err != nil {
		c.d.log.Warn().Err(err).Msg("lease not given up")
	}
}

// loadLedger reads a server's ledger.
func (c *controller) loadLedger(ctx context.Context, b *ctrl.Book) error {
	var l wire.Ledger
	version, err := c.read(ctx, kindLedger, b.Server.Name, &l)
	if err != nil {
		return fmt.Errorf("read ledger: %w", err)
	}
	b.Load(version, l)
	return nil
}

// read reads an object into v; an object that does not exist has version 0.
func (c *controller) read(ctx context.Context, kind, name string, v any) (int, error) {
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

// carryOut records the intents that follow from the plan and sends the orders.
// The intents are drawn up one server after the other, as they share the
// allowance; the calls are made at once.
func (c *controller) carryOut(ctx context.Context, books []*ctrl.Book, planned planned, allow *ctrl.Allowance) error {
	var calls sync.WaitGroup
	errs := make(chan error, len(books))
	for _, b := range books {
		report, _ := c.d.fleet.Report(b.Server.Name)
		wanted := planned.Artifacts(planned.models, b.Server.Name)
		next, changed := b.Revise(c.d.now(), report, wanted, c.mayRemove(b, planned), allow, c.term.newID)
		calls.Go(func() { errs <- c.writeAndSend(ctx, b, next, changed) })
	}
	calls.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func (c *controller) writeAndSend(ctx context.Context, b *ctrl.Book, next wire.Ledger, changed bool) error {
	if changed {
		version, err := c.d.store.Put(ctx, kindLedger, b.Server.Name, b.Version(), next)
		if err != nil {
			// Whether the update lost or its answer did, the ledger is read
			// anew before anything else is ordered.
			b.Load(0, wire.Ledger{})
			return fmt.Errorf("write ledger of %s: %w", b.Server.Name, err)
		}
		b.Written(version)
	}
	return c.send(ctx, b)
}

// send sends the orders that are due.
func (c *controller) send(ctx context.Context, b *ctrl.Book) error {
	for _, order := range b.Orders(c.d.now()) {
		// On servers that ignore fencing numbers an order from an ex-controller
		// is stopped by nothing but this check; what it misses, a pause right
		// after it, must be shorter than the lateness that is waited for.
		if !c.keeper.Held(c.d.now()) {
			return nil
		}
		err := c.order(ctx, b, order)
		var old *engine.OldFenceError
		if errors.As(err, &old) {
			b.Load(0, wire.Ledger{})
			return fmt.Errorf("send order: %w", err)
		}
		if err != nil {
			c.d.meter.Count("control.orders_failed", 1)
			continue
		}
		c.d.meter.Count("control.orders", 1)
	}
	return nil
}

func (c *controller) order(ctx context.Context, b *ctrl.Book, order wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.d.engines.Order(ctx, b.Server.Address, order, b.Fence())
}
