package steer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// stepInterval is the time between two placement steps: demand shifts over seconds.
	stepInterval = 100 * time.Millisecond
	// idleStepInterval is the time between two steps of a VM that does not hold the lease. It keeps its
	// record of the servers, which it needs when it takes over.
	idleStepInterval = 2 * time.Second
	// stepDutyDivisor limits placement steps to a twentieth of the VM's time, however many servers
	// and models there are.
	stepDutyDivisor = 20
	// callTimeout bounds a call to a server, which responds in milliseconds.
	callTimeout = 300 * time.Millisecond
	// reportInterval is the time between two reports of a server in a known state. Entries in the
	// platform announce models sooner; reports mainly verify adapters.
	reportInterval = 3 * time.Second
	// reportRetryInterval is the time between two reports while a server's state is uncertain or
	// an order is due to end.
	reportRetryInterval = 200 * time.Millisecond
)

// Controller places models and adapters on the servers while it holds the lease. All fields but
// Term, PredecessorEnd, FirstTerm, Contended, Pace, Window and Spawn must be set.
type Controller struct {
	// Name is the name of this VM.
	Name        string
	ServerCalls ServerCalls
	Servers     *backs.View
	Table       func() *routes.Table
	// FencingToken returns the lease's fencing token, and whether orders may be sent.
	FencingToken func(now time.Time) (int, bool)
	// Term returns the lease's fencing token, and whether the lease is held, even if orders may not
	// be sent yet; nil uses FencingToken. Until they may, the controller requests reports to find
	// out what the servers have loaded.
	Term func(now time.Time) (int, bool)
	// PredecessorEnd returns the latest time at which the previous controller may have sent an
	// order; nil for the start of this VM's term.
	PredecessorEnd func() time.Time
	// FirstTerm reports whether no VM was the controller before this VM's term; nil for never.
	FirstTerm func() bool
	// Contended reports whether the requests for a server far exceed its rate limit; nil for
	// never.
	Contended func(server string) bool
	// Pace returns the estimated time that work takes at a server for long, 1 being the usual time; 0, or
	// any value that is not a pace, if it is unknown. nil is 1 for all servers. It is called once for
	// each server in a step, with the controller locked.
	Pace func(now time.Time, server string) float64
	// Window is the window of the weight store's load limit; 0 uses five seconds.
	Window time.Duration
	// Spawn runs a call to a server concurrently with the step that decided on it; nil starts a
	// goroutine for each call. Replays run the calls one after the other.
	Spawn func(call func())
	Now   func() time.Time
	Log   zerolog.Logger
	Meter *meter.Registry

	mu sync.Mutex
	// lastTable is the configuration of the last step.
	lastTable *routes.Table
	// fencingToken is the lease's fencing token in the current term. predecessorEnd is the latest
	// time at which the previous controller may have sent an order.
	fencingToken   int
	predecessorEnd time.Time
	// hasPredecessor is set if the term is not the first one.
	hasPredecessor bool
	// termBegunAt is when this VM began its term.
	termBegunAt time.Time
	servers     map[string]*Server
	// ended are the last instances that have ended, by the server's name.
	ended             map[string]endedServer
	sortedServers     map[string][]*Server
	orderInFlight     map[string]bool
	lastReportRequest map[string]time.Time
	// firstListed is when the first server of each service was listed.
	firstListed map[string]time.Time
	// lastReplicaSeen is when each model last had a replica at a server that is placeable and not
	// contended.
	lastReplicaSeen map[string]time.Time
	modelDemand     map[string]*Demand
	adapterDemand   Demand
	loadLimiters    map[string]*LoadLimiter
	vmLoads         map[string]map[string]pick.Load
	totalLoads      map[string]pick.Load
	changed         chan struct{}
	pendingFinds    map[backs.Need]*pendingFind
	// versionNeeds is when streams last asked for a model at servers of their software version.
	versionNeeds map[versionNeed]time.Time
	// wake ends the wait between two steps.
	wake chan struct{}
	// lastNotified is the time of the latest change that closed the channel of Changed.
	lastNotified time.Time
}

// Changed returns a channel that is closed when the models or adapters of a server change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// notifyChanged closes the channel of Changed if a server has changed since the last call.
func (c *Controller) notifyChanged() {
	last := c.lastNotified
	for _, s := range c.servers {
		if s.changedAt.After(last) {
			last = s.changedAt
		}
	}
	if !last.After(c.lastNotified) {
		return
	}
	c.lastNotified = last
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Run executes placement steps until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := c.Now()
		c.Step(ctx, startedAt)
		elapsed := c.Now().Sub(startedAt)
		c.Meter.RecordDuration("steer.step", elapsed)
		interval := max(stepInterval, stepDutyDivisor*elapsed)
		if _, held := c.currentTerm(c.Now()); !held {
			interval = max(interval, idleStepInterval)
		}
		select {
		case <-ctx.Done():
		case <-c.woken():
		case <-time.After(interval):
		}
	}
}

// Load pattern: a fleet of a thousand VMs at rest. Each copied the list of 4,000 servers ten times a
// second for a placement that only the holder of the lease makes: ten megabytes a second and VM, and most
// of the processor time of a VM that serves one request a second.

// Wake makes Run step at once. It is called when this VM has acquired the lease.
func (c *Controller) Wake() {
	select {
	case c.woken() <- struct{}{}:
	default:
	}
}

func (c *Controller) woken() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// Step runs one placement step for every service that runs models.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	table := c.Table()
	if table == nil {
		return
	}
	c.rememberSizes(table)
	_, leading := c.FencingToken(now)
	fencingToken, held := c.currentTerm(now)
	if held && fencingToken != c.fencingToken {
		c.beginTerm(now, fencingToken, table)
	}
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		c.syncServers(now, service.Name)
		if held && now.Sub(c.predecessorEnd) >= maxReportAge {
			c.requestReports(ctx, now, service.Name)
		}
		if !leading {
			continue
		}
		c.placeRequestedAdapters(ctx, now, service)
		c.placeModels(ctx, now, service)
		c.placeAdapters(ctx, now, service)
	}
}

func (c *Controller) spawn(call func()) {
	if c.Spawn != nil {
		c.Spawn(call)
		return
	}
	go call()
}

func (c *Controller) currentTerm(now time.Time) (int, bool) {
	if c.Term == nil {
		return c.FencingToken(now)
	}
	return c.Term(now)
}

// beginTerm starts a term. The last orders of the previous controller are unknown until each
// server has sent its first report.
func (c *Controller) beginTerm(now time.Time, fencingToken int, table *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencingToken, c.predecessorEnd, c.termBegunAt = fencingToken, now, now
	if c.PredecessorEnd != nil {
		c.predecessorEnd = c.PredecessorEnd()
	}
	for _, s := range table.Services() {
		if s.Engine != nil {
			c.loadLimiter(s).BeginTerm(c.predecessorEnd)
		}
	}
	for _, s := range c.servers {
		s.BeginTerm(c.predecessorEnd)
	}
	if c.hasPredecessor = c.FirstTerm == nil || !c.FirstTerm(); c.hasPredecessor {
		c.beginTermOrders()
	}
	c.Log.Info().Dur("since_last_order", now.Sub(c.predecessorEnd)).Int("fence", fencingToken).Msg("lease term started")
}

// runningRequests returns how many requests all VMs together have at a server.
func (c *Controller) runningRequests(id string) int { return c.totalLoads[id].Running }
