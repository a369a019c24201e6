package steer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// evictAfter is how long an adapter must not have been asked for before it
	// makes way for another.
	evictAfter = time.Second
	// findPause is the longest wait between two looks for a server.
	findPause = 20 * time.Millisecond
	// findGather is how long a change of a server waits for others before a search looks
	// again: while servers crash there are a hundred changes a second, and hundreds of
	// searches. An adapter takes as long to be loaded.
	findGather = 10 * time.Millisecond
	// busyShare is the part of a service's work above which a model counts as
	// busy: all of its adapters are loaded ahead of requests, as places allow.
	// With more than busyModels models the part shrinks in proportion.
	busyShare  = 0.1
	busyModels = 10
)

var errUnknownModel = errors.New("the service has no such model")

// Find returns a server that holds a model and adapter, after ordering them if
// there is none. It waits until the server is ready or ctx ends.
func (c *Controller) Find(ctx context.Context, service, model, adapter string) (string, error) {
	table := c.Table()
	if table == nil {
		return "", errUnknownModel
	}
	s, ok := table.Service(service)
	if !ok || s.Engine == nil {
		return "", errUnknownModel
	}
	if _, known := s.Engine.Models[model]; !known {
		return "", errUnknownModel
	}
	return c.share(ctx, s, model, adapter)
}

// finding is a search that several callers wait for.
type finding struct {
	done chan struct{}
	id   string
	err  error
}

// findLimit bounds one search; callers that still wait begin another.
const findLimit = 5 * time.Second

// share joins the searches for the same model and adapter: after a shift of
// demand hundreds of requests wait for one model, and each would look at all
// servers whenever one of them changes.
func (c *Controller) share(ctx context.Context, s routes.Service, model, adapter string) (string, error) {
	key := adapterName(s.Name, model, adapter)
	c.mu.Lock()
	if c.finding == nil {
		c.finding = make(map[string]*finding)
	}
	f := c.finding[key]
	if f == nil {
		f = &finding{done: make(chan struct{})}
		c.finding[key] = f
		go c.search(s, model, adapter, key, f)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return "", fmt.Errorf("no server holds it yet: %w", ctx.Err())
	case <-f.done:
		return f.id, f.err
	}
}

func (c *Controller) search(s routes.Service, model, adapter, key string, f *finding) {
	ctx, cancel := context.WithTimeout(context.Background(), findLimit)
	defer cancel()
	f.id, f.err = c.seek(ctx, s, model, adapter)
	c.mu.Lock()
	delete(c.finding, key)
	c.mu.Unlock()
	close(f.done)
}

// seek orders an adapter where that is all that is missing, and waits until a
// server is ready.
func (c *Controller) seek(ctx context.Context, s routes.Service, model, adapter string) (string, error) {
	for {
		changed := c.Changed()
		id, err := c.Look(ctx, c.Now(), s, model, adapter)
		if id != "" || err != nil {
			return id, err
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no server holds it yet: %w", ctx.Err())
		case <-changed:
			pause.For(ctx, findGather)
		case <-time.After(findPause):
		}
	}
}

// Look returns a server that holds a model and adapter. Where there is none it returns ""
// and orders the adapter, if that is all that is missing.
func (c *Controller) Look(ctx context.Context, now time.Time, s routes.Service, model, adapter string) (string, error) {
	if id := c.holder(now, s.Name, model, adapter); id != "" {
		return id, nil
	}
	if _, leading := c.Fence(now); !leading {
		return "", errNotLeading
	}
	if adapter != "" {
		c.loadAdapter(ctx, now, s, model, adapter)
	}
	return "", nil
}

// holder returns a server that is ready for a model and adapter.
func (c *Controller) holder(now time.Time, service, model, adapter string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.of(service) {
		if s.Has(now, model, adapter) && !s.doubted && !s.Down() && c.Servers.Usable(now, s.entry.ID) {
			return s.entry.ID
		}
	}
	return ""
}

// loadAdapter orders an adapter at the server that suits it best, unless it is
// on its way somewhere.
func (c *Controller) loadAdapter(ctx context.Context, now time.Time, service routes.Service, model, adapter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *Server
	var bestCost uint64
	for _, s := range c.of(service.Name) {
		r := s.models[model]
		if r == nil || r.phase != held || !c.takesRequests(now, s) {
			continue
		}
		if at, coming := r.adapters[adapter]; coming && !at.leaving {
			return
		}
		if !s.Free(now) || c.busy[s.entry.ID] {
			continue
		}
		if cost := c.adapterCost(s, service, model, adapter); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return
	}
	c.orderAdapter(ctx, now, best, service, model, adapter)
}

// takesRequests reports whether requests can be sent to a server. The adapters of one that has crashed
// are nowhere, although its entry stands for some seconds more: counted as present they were
// loaded nowhere else until then.
func (c *Controller) takesRequests(now time.Time, s *Server) bool {
	return !s.Down() && c.Servers.Usable(now, s.entry.ID)
}

// orderAdapter orders an adapter, or first the unloading of another that has
// not been asked for lately.
func (c *Controller) orderAdapter(ctx context.Context, now time.Time, s *Server, service routes.Service, model, adapter string) {
	if s.Places() < service.Engine.AdapterSlots && s.weight(service.Engine)+service.Engine.Models[model].AdapterSizeMB <= service.Engine.WeightMemoryMB {
		c.start(context.WithoutCancel(ctx), s, Order{Model: model, Adapter: adapter}, adapterReady)
		return
	}
	if m, a := c.idlest(now, s, service.Name, evictAfter); a != "" {
		c.start(context.WithoutCancel(ctx), s, Order{Unload: true, Model: m, Adapter: a}, 0)
	}
}

// adapterCost ranks the servers for an adapter: a free place first, then the
// fewest requests, then a rank that spreads a model's adapters over its copies.
func (c *Controller) adapterCost(s *Server, service routes.Service, model, adapter string) uint64 {
	cost := xxhash.Sum64String(s.entry.ID+"/"+model+"/"+adapter) >> 32
	if s.Places() >= service.Engine.AdapterSlots {
		cost += 1 << 50
	}
	return cost + uint64(c.running(s.entry.ID)/8)<<33
}

// used returns the adapters at a server that requests use now. To unload one
// would keep the server busy until they end.
func (c *Controller) used(server string) map[string]bool {
	used := make(map[string]bool)
	for _, loads := range c.loads {
		for _, name := range loads[server].Adapters {
			used[name] = true
		}
	}
	return used
}

// idlest returns the adapter at a server that was asked for longest ago, if not
// within the last while.
func (c *Controller) idlest(now time.Time, s *Server, service string, while time.Duration) (model, adapter string) {
	var oldest time.Time
	used := c.used(s.entry.ID)
	for m, r := range s.models {
		if r.phase != held {
			continue
		}
		for a, at := range r.adapters {
			last := c.adapters.Last(adapterName(service, m, a))
			if at.ready.After(last) {
				last = at.ready
			}
			if at.leaving || used[m+"/"+a] || now.Sub(last) < while {
				continue
			}
			before := cmp.Or(last.Compare(oldest), cmp.Compare(m, model), cmp.Compare(a, adapter)) < 0
			if adapter == "" || before {
				model, adapter, oldest = m, a, last
			}
		}
	}
	return model, adapter
}

// Load pattern: servers come back empty, and each takes up a model from its disk within a
// second, then the next from the weight store, for six seconds. It takes no other order
// meanwhile, adapters of the first model included: of 380 requests a second that found no
// server, nine in ten were for adapters of models that a dozen servers held.
//
// So before a server is ordered its next model, it gets the adapters that callers are asking
// for and that are nowhere, as its places allow. One after the other they take some ten
// milliseconds each. Under that load on 112 servers two runs refused 523 and 800 urgent
// requests for good, a run without it 1,266. With one order every 100 ms the next models wait
// up to a second for them.

// wantedFor is how long an adapter counts as asked for.
const wantedFor = time.Second

// placeWanted loads the adapters of busy models that were asked for lately and are nowhere.
func (c *Controller) placeWanted(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present, room := c.adapterStock(now, service)
	if len(room) == 0 {
		return
	}
	orders, places := make(map[*Server][]Order), make(map[*Server]int)
	for _, model := range c.busyModels(now, service) {
		for i := range model.AdapterCount {
			adapter := adapterOf(i)
			if present[model.Name+"/"+adapter] || now.Sub(c.adapters.Last(adapterName(service.Name, model.Name, adapter))) > wantedFor {
				continue
			}
			room[model.Name] = slices.DeleteFunc(room[model.Name], func(s *Server) bool {
				return s.Places()+places[s] >= service.Engine.AdapterSlots
			})
			if s := c.roomFor(room[model.Name], service, model, adapter); s != nil {
				orders[s] = append(orders[s], Order{Model: model.Name, Adapter: adapter})
				places[s]++
			}
		}
	}
	for _, s := range c.of(service.Name) {
		if len(orders[s]) > 0 {
			c.startInTurn(ctx, s, service, orders[s])
		}
	}
}

// startInTurn orders adapters at a server one after the other, for as long as it takes
// them and has room. c.mu is held.
func (c *Controller) startInTurn(ctx context.Context, s *Server, service routes.Service, orders []Order) {
	c.busy[s.entry.ID] = true
	c.spawn(func() {
		for _, o := range orders {
			o, ok := c.decide(s, service, o)
			if !ok || c.order(ctx, s, o, adapterReady) != Accepted {
				break
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, s.entry.ID)
	})
}

// decide returns the order for an adapter with the sequence that it expects, and whether the
// server still has room for it. Reports come in between the orders of a turn, so each is
// decided on anew: one may show a late order that has taken the room.
func (c *Controller) decide(s *Server, service routes.Service, o Order) (Order, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.Expect = s.sequence
	r := s.models[o.Model]
	room := s.Places() < service.Engine.AdapterSlots &&
		s.weight(service.Engine)+service.Engine.Models[o.Model].AdapterSizeMB <= service.Engine.WeightMemoryMB
	return o, r != nil && r.phase == held && room && s.Free(c.Now())
}

// adapterOf returns the name of a model's i-th adapter, counted from 0.
func adapterOf(i int) string { return "a" + strconv.Itoa(i+1) }

// placeAdapters loads adapters of busy models ahead of requests, one order for
// each server at a time. Without it the first request for each adapter after a
// shift of demand waits for an order, and all of those wait in line.
func (c *Controller) placeAdapters(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present, room := c.adapterStock(now, service)
	if len(room) == 0 {
		return
	}
	for _, model := range c.busyModels(now, service) {
		for i := range model.AdapterCount {
			adapter := adapterOf(i)
			if present[model.Name+"/"+adapter] {
				continue
			}
			s := c.roomFor(room[model.Name], service, model, adapter)
			if s == nil {
				continue
			}
			c.start(ctx, s, Order{Model: model.Name, Adapter: adapter}, adapterReady)
		}
	}
}

// adapterStock returns which adapters have a place somewhere, and by model the
// servers that could take one more.
func (c *Controller) adapterStock(now time.Time, service routes.Service) (map[string]bool, map[string][]*Server) {
	present, room := make(map[string]bool), make(map[string][]*Server)
	for _, s := range c.of(service.Name) {
		if !c.takesRequests(now, s) {
			continue
		}
		takes := s.Free(now) && s.Places() < service.Engine.AdapterSlots
		for name, r := range s.models {
			for a := range r.adapters {
				present[name+"/"+a] = true
			}
			if takes && r.phase == held {
				room[name] = append(room[name], s)
			}
		}
	}
	return present, room
}

// busyModels returns the models with adapters that have a good part of the
// demand, the busiest first.
func (c *Controller) busyModels(now time.Time, service routes.Service) []routes.Model {
	demand := c.demand(service.Name)
	total := demand.Total(now)
	var list []routes.Model
	for name, m := range service.Engine.Models {
		if m.AdapterCount > 0 && total > 0 && demand.Work(now, name) >= busyShare*total/float64(max(1, len(service.Engine.Models)/busyModels)) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b routes.Model) int {
		return cmp.Or(cmp.Compare(demand.Work(now, b.Name), demand.Work(now, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// roomFor returns the best of the servers that are not busy and have the
// memory.
func (c *Controller) roomFor(servers []*Server, service routes.Service, m routes.Model, adapter string) *Server {
	var best *Server
	var bestCost uint64
	for _, s := range servers {
		if c.busy[s.entry.ID] || s.weight(service.Engine)+m.AdapterSizeMB > service.Engine.WeightMemoryMB {
			continue
		}
		if cost := c.adapterCost(s, service, m.Name, adapter); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// HeldBy returns the models of a server as requests may use them.
func (c *Controller) HeldBy(now time.Time, id string) []backs.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[id]; s != nil {
		return s.Shown(now)
	}
	return nil
}
