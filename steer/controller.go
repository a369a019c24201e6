package steer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// tick is how often the placement is looked at: demand shifts over seconds.
	tick = 100 * time.Millisecond
	// stepShare keeps the looks to a twentieth of the VM's time, however many
	// servers and models there are.
	stepShare = 20
	// callTimeout bounds a call to a server, which answers in milliseconds.
	callTimeout = 300 * time.Millisecond
	// reportEvery is how often a settled server is asked for a report. Entries
	// in the platform tell of models sooner; reports are a check on adapters.
	reportEvery = 3 * time.Second
	// reportAgain is the pause between reports while a server's state is not
	// clear.
	reportAgain = 200 * time.Millisecond
	// listFills is how long after the first server of a service was listed the others
	// are waited for: servers that start together write their entries within two
	// heartbeats, some 2.5 s. Models of those not listed yet look as if they had no
	// copy; loaded at once they took the places of half the copies of the busiest
	// model, moments before its requests began.
	listFills = 4 * time.Second
	// defaultWindow is the window of the weight store's bound on loads.
	defaultWindow = 5 * time.Second
)

// Controller drives the servers while it holds the lease. All fields but
// Term, Ended and Window must be set.
type Controller struct {
	// Name is the VM's.
	Name     string
	Commands Commands
	Servers  *backs.View
	Table    func() *routes.Table
	// Fence returns the lease's fencing number while orders may be given.
	Fence func(now time.Time) (int, bool)
	// Term returns the lease's fencing number while it is held, orders or not;
	// nil for Fence. A term that has begun learns what the servers hold before
	// orders may be given.
	Term func(now time.Time) (int, bool)
	// Ended returns when the VM that steered before gave its last order at the
	// latest; nil for when this one began.
	Ended func() time.Time
	// Contended reports whether the requests for a server far exceed its rate limit; nil for
	// never.
	Contended func(server string) bool
	// Window is that of the weight store's bound; 0 takes five seconds.
	Window time.Duration
	// Spawn runs a call to a server beside the look that decided on it; nil for a
	// goroutine of its own. Replays take the calls in turn.
	Spawn func(call func())
	Now   func() time.Time
	Log   zerolog.Logger
	Meter *meter.Registry

	mu sync.Mutex
	// fence is that of the present term, ended when the VM before gave its last
	// order at the latest.
	fence   int
	ended   time.Time
	servers map[string]*Server
	sorted  map[string][]*Server
	busy    map[string]bool
	asked   map[string]time.Time
	// first is when the first server of a service was listed.
	first map[string]time.Time
	// held is when a model of a service was last seen at a server that stays.
	held     map[string]time.Time
	work     map[string]*Demand
	adapters Demand
	ceilings map[string]*Ceiling
	loads    map[string]map[string]pick.Load
	sums     map[string]pick.Load
	changed  chan struct{}
	finding  map[string]*finding
	// notified is the newest change that was told.
	notified time.Time
}

// Changed returns a channel that is closed when what servers hold changes.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// notify wakes those who wait for a change, if there was one.
func (c *Controller) notify() {
	last := c.notified
	for _, s := range c.servers {
		if s.changed.After(last) {
			last = s.changed
		}
	}
	if !last.After(c.notified) {
		return
	}
	c.notified = last
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Run steers until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := c.Now()
		c.Step(ctx, begun)
		took := c.Now().Sub(begun)
		c.Meter.RecordDuration("steer.step", took)
		pause.For(ctx, max(tick, stepShare*took))
	}
}

// Step looks at every service that runs models once.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	table := c.Table()
	if table == nil {
		return
	}
	_, leading := c.Fence(now)
	fence, held := c.term(now)
	if held && fence != c.fence {
		c.succeed(now, fence, table)
	}
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		c.sync(now, service.Name)
		if held && now.Sub(c.ended) >= reportLag {
			c.askReports(ctx, now, service.Name)
		}
		if !leading {
			continue
		}
		c.placeWanted(ctx, now, service)
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

func (c *Controller) term(now time.Time) (int, bool) {
	if c.Term == nil {
		return c.Fence(now)
	}
	return c.Term(now)
}

// succeed begins a term. What the VM before ordered last is not known: each
// server tells in its first report.
func (c *Controller) succeed(now time.Time, fence int, table *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence, c.ended = fence, now
	if c.Ended != nil {
		c.ended = c.Ended()
	}
	for _, s := range table.Services() {
		if s.Engine != nil {
			c.ceiling(s).Succeed(c.ended)
		}
	}
	for _, s := range c.servers {
		s.Forget(c.ended)
	}
	c.Log.Info().Dur("since_last_order", now.Sub(c.ended)).Int("fence", fence).Msg("term begins")
}

// sync takes in the entries of a service's servers and drops those that are
// gone.
func (c *Controller) sync(now time.Time, service string) {
	entries := c.Servers.Listed(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.sorted = make(map[string][]*Server)
		c.servers, c.busy, c.asked = make(map[string]*Server), make(map[string]bool), make(map[string]time.Time)
		c.first, c.held = make(map[string]time.Time), make(map[string]time.Time)
	}
	listed, before := make(map[string]bool), len(c.sorted[service])
	added := 0
	for _, e := range entries {
		if e.Service != service {
			continue
		}
		listed[e.ID] = true
		s := c.servers[e.ID]
		if s == nil {
			s = NewServer(e.At, e.Entry)
			c.servers[e.ID] = s
			added++
		}
		s.Listed(now, e.At, e.Entry)
		if e.Unreadable {
			s.Doubt()
		}
	}
	for id, s := range c.servers {
		if s.entry.Service == service && !listed[id] {
			c.restarted(now, s)
			delete(c.servers, id)
			delete(c.asked, id)
		}
	}
	if added > 0 || len(listed) != before {
		c.sort(service)
	}
	if c.first[service].IsZero() && len(listed) > 0 {
		c.first[service] = now
	}
	c.notify()
}

// restarted makes the next start of a server that is gone wait while an order to this
// one may still be carried out. c.mu is held.
func (c *Controller) restarted(now time.Time, gone *Server) {
	for _, s := range c.servers {
		if s != gone && s.entry.Called() == gone.entry.Called() {
			s.Succeeds(now, gone)
		}
	}
}

// of returns the servers of a service in the order of their IDs. Callers must
// not change the list.
func (c *Controller) of(service string) []*Server { return c.sorted[service] }

// sort puts the servers of a service in the order of their IDs, so that the same
// state gives the same choices.
func (c *Controller) sort(service string) {
	var list []*Server
	for _, s := range c.servers {
		if s.entry.Service == service {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	c.sorted[service] = list
}

func (c *Controller) ceiling(service routes.Service) *Ceiling {
	if c.ceilings == nil {
		c.ceilings = make(map[string]*Ceiling)
	}
	ceiling := c.ceilings[service.Name]
	if ceiling == nil {
		window := c.Window
		if window == 0 {
			window = defaultWindow
		}
		ceiling = &Ceiling{Window: window}
		c.ceilings[service.Name] = ceiling
	}
	ceiling.PerSecond = service.Engine.LoadsPerSecond
	return ceiling
}

// noteHeld notes which models have a copy now. c.mu is held.
func (c *Controller) noteHeld(now time.Time, service string) {
	for _, s := range c.of(service) {
		if s.entry.Draining || s.Down() || c.Contended != nil && c.Contended(s.entry.ID) {
			continue
		}
		for name, r := range s.models {
			if r.phase != leaving {
				c.held[service+"/"+name] = now
			}
		}
	}
}

// missing returns for how long a model has been without a copy. c.mu is held.
func (c *Controller) missing(now time.Time, service, model string) time.Duration {
	last, ok := c.held[service+"/"+model]
	if !ok {
		last = c.first[service]
	}
	return now.Sub(last)
}

func (c *Controller) placeModels(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand, ceiling := c.demand(service.Name), c.ceiling(service)
	ceiling.Late, ceiling.Inherited = 0, 0
	c.noteHeld(now, service.Name)
	for _, s := range c.of(service.Name) {
		if s.Late(now) {
			ceiling.Late++
		}
		ceiling.Inherited += s.Inherited(ceiling.Ended.Add(-ceiling.Window))
	}
	planner := &Planner{
		Engine: service.Engine, Servers: c.of(service.Name), Now: now,
		Work:   func(model string) float64 { return demand.Work(now, model) / memory(demandHalfLife) },
		Spread: func(model string) float64 { return demand.Spread(now, model) / memory(demandHalfLife) },
		Ahead: func(model string, while time.Duration) (then, mean float64) {
			then, mean = demand.Ahead(now, model, while)
			return then / memory(demandHalfLife), mean / memory(demandHalfLife)
		},
		Contended: c.Contended,
		Missing:   func(model string) time.Duration { return c.missing(now, service.Name, model) },
		Awaited: func(model string) bool {
			return now.Sub(c.first[service.Name]) < listFills && demand.Last(model).IsZero()
		},
		// Each load that the plan decides on counts at once: one plan may hold
		// many, and each must see those before it.
		Store: func() *Begun {
			if !ceiling.Allow(now) {
				return nil
			}
			return ceiling.Begin(now)
		},
	}
	for _, step := range planner.Steps() {
		if c.busy[step.Server.entry.ID] {
			ceiling.Return(step.Begun)
			continue
		}
		if step.For != "" {
			step.Server.Intend(now, step.For)
		}
		c.startModel(ctx, step.Server, Order{Unload: step.Unload, Model: step.Model.Name}, step.Time, func(v Verdict) {
			ceiling.Answered(c.Now(), step.Begun, v)
		})
	}
}

// running returns how many requests all VMs have at a server.
func (c *Controller) running(id string) int { return c.sums[id].Running }
