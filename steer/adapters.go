package steer

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// evictIdleTime is how long an adapter must have had no requests before it can be evicted.
	evictIdleTime = time.Second
	// busyShare is the share of a service's work above which a model counts as busy: all of its
	// adapters are loaded ahead of requests, as far as adapter slots allow. With more than
	// busyModels models the share shrinks in proportion.
	busyShare  = 0.1
	busyModels = 10
)

// loadAdapter orders an adapter at the server with the lowest cost, unless a server has it loaded
// or is loading it.
func (c *Controller) loadAdapter(ctx context.Context, now time.Time, service routes.Service, need backs.Need) {
	c.mu.Lock()
	defer c.mu.Unlock()
	model, adapter := need.Model, need.Adapter
	var best *Server
	var bestCost uint64
	for _, s := range c.serversOf(service.Name) {
		r := s.models[model]
		if r == nil || r.phase != loaded || !need.AllowsVersion(s.entry) || !c.reachable(now, s) {
			continue
		}
		if slot, exists := r.adapters[adapter]; exists && !slot.unloading {
			return
		}
		if !s.AcceptsOrders(now) || c.orderInFlight[s.entry.ID] {
			continue
		}
		if cost := c.adapterCost(s, service, model, adapter); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return
	}
	c.loadAdapterAt(ctx, now, best, service, model, adapter)
}

// reachable reports whether requests can be sent to a server, now or after a short rest. The entry of a
// crashed server stays listed for some seconds. Its adapters must not count as present in that time, or no
// other server would load them.
func (c *Controller) reachable(now time.Time, s *Server) bool {
	return s.Placeable(now) && c.Servers.Usable(now, s.entry.ID)
}

// loadAdapterAt orders an adapter at a server. Without a free slot or memory it orders the
// unloading of an adapter that had no recent requests instead.
func (c *Controller) loadAdapterAt(ctx context.Context, now time.Time, s *Server, service routes.Service, model, adapter string) {
	if s.fitsAdapter(service.Engine, model) {
		c.sendAsync(context.WithoutCancel(ctx), s, Order{Model: model, Adapter: adapter}, adapterLoadTime)
		return
	}
	if m, a := c.leastRecentlyUsed(now, s, service.Name, evictIdleTime); a != "" {
		c.sendAsync(context.WithoutCancel(ctx), s, Order{Unload: true, Model: m, Adapter: a}, 0)
	}
}

// adapterCost ranks the servers for an adapter: servers with a free slot first, then those with the
// fewest requests, then by a hash that spreads a model's adapters over its replicas.
func (c *Controller) adapterCost(s *Server, service routes.Service, model, adapter string) uint64 {
	cost := xxhash.Sum64String(s.entry.ID+"/"+model+"/"+adapter) >> 32
	if s.UsedAdapterSlots() >= service.Engine.AdapterSlots {
		cost += 1 << 50
	}
	return cost + uint64(c.runningRequests(s.entry.ID)/8)<<33
}

// adaptersInUse returns the adapters that running requests use at a server. Unloading one of these
// would keep the server busy until its requests end.
func (c *Controller) adaptersInUse(server string) map[string]bool {
	used := make(map[string]bool)
	for _, loads := range c.vmLoads {
		for _, name := range loads[server].Adapters {
			used[name] = true
		}
	}
	return used
}

// leastRecentlyUsed returns the adapter at a server whose last request is the oldest, if it is at
// least minIdle ago.
func (c *Controller) leastRecentlyUsed(now time.Time, s *Server, service string, minIdle time.Duration) (model, adapter string) {
	var oldest time.Time
	used := c.adaptersInUse(s.entry.ID)
	for m, r := range s.models {
		if r.phase != loaded {
			continue
		}
		for a, slot := range r.adapters {
			last := c.adapterDemand.Last(adapterKey(service, m, a))
			if slot.readyAt.After(last) {
				last = slot.readyAt
			}
			if slot.unloading || used[m+"/"+a] || now.Sub(last) < minIdle {
				continue
			}
			older := cmp.Or(last.Compare(oldest), cmp.Compare(m, model), cmp.Compare(a, adapter)) < 0
			if adapter == "" || older {
				model, adapter, oldest = m, a, last
			}
		}
	}
	return model, adapter
}

// Load pattern: servers restart empty. Each loads a model from its disk within a second and then
// the next one from the weight store, which takes six seconds. It accepts no other order in that
// time, not even for adapters of the first model: of 380 requests a second that found no server,
// nine in ten were for adapters of models that a dozen servers had loaded.
//
// The controller therefore first loads the requested adapters that no server has, as far as adapter
// slots allow, and then orders the server's next model. Sent one after the other, these orders take
// some ten milliseconds each. Under that load on 112 servers, two runs with this rule finally
// refused 523 and 800 urgent requests, and a run without it 1,266. With one order every 100 ms the
// next models wait up to a second for the adapters.

// recentRequestTime is how long after a request an adapter counts as requested.
const recentRequestTime = time.Second

// placeRequestedAdapters loads the recently requested adapters of busy models that no server has.
func (c *Controller) placeRequestedAdapters(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present, candidates := c.adapterPlacement(now, service)
	if len(candidates) == 0 {
		return
	}
	orders, ordered := make(map[*Server][]Order), make(map[*Server]int)
	for _, model := range c.busyModels(now, service) {
		for i := range model.AdapterCount {
			adapter := adapterID(i)
			requestedAt := c.adapterDemand.Last(adapterKey(service.Name, model.Name, adapter))
			if present[model.Name+"/"+adapter] || now.Sub(requestedAt) > recentRequestTime {
				continue
			}
			candidates[model.Name] = slices.DeleteFunc(candidates[model.Name], func(s *Server) bool {
				return s.UsedAdapterSlots()+ordered[s] >= service.Engine.AdapterSlots
			})
			if s := c.bestAdapterServer(candidates[model.Name], service, model, adapter); s != nil {
				orders[s] = append(orders[s], Order{Model: model.Name, Adapter: adapter})
				ordered[s]++
			}
		}
	}
	for _, s := range c.serversOf(service.Name) {
		if len(orders[s]) > 0 {
			c.sendSerially(ctx, s, service, orders[s])
		}
	}
}

// sendSerially sends adapter orders to a server one after the other. It stops at the first order
// that the server does not accept or has no capacity for. c.mu is held.
func (c *Controller) sendSerially(ctx context.Context, s *Server, service routes.Service, orders []Order) {
	c.orderInFlight[s.entry.ID] = true
	c.spawn(func() {
		for _, o := range orders {
			o, ok := c.recheckAdapterOrder(s, service, o)
			if !ok || c.send(ctx, s, o, adapterLoadTime) != Accepted {
				break
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.orderInFlight, s.entry.ID)
	})
}

// recheckAdapterOrder returns an adapter order with the server's current sequence, and whether the
// server still has capacity for it. Reports arrive between the orders of a series, and one may
// show a delayed order that has used the capacity, so each order is checked again before it is
// sent.
func (c *Controller) recheckAdapterOrder(s *Server, service routes.Service, o Order) (Order, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.ExpectedSequence = s.sequence
	r := s.models[o.Model]
	return o, r != nil && r.phase == loaded && s.fitsAdapter(service.Engine, o.Model) && s.AcceptsOrders(c.Now())
}

// fitsAdapter reports whether a server has a free slot and enough memory for one more adapter of a model.
func (s *Server) fitsAdapter(e *routes.Engine, model string) bool {
	return s.UsedAdapterSlots() < e.AdapterSlots && s.usedMB(e)+e.Models[model].AdapterSizeMB <= e.WeightMemoryMB
}

// adapterID returns the name of a model's adapter by its index, which starts at 0.
func adapterID(i int) string { return "a" + strconv.Itoa(i+1) }

// placeAdapters loads adapters of busy models ahead of requests, one order at a time for each
// server. Otherwise the first request for each adapter after a shift of demand waits for an order,
// and these orders queue up.
func (c *Controller) placeAdapters(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present, candidates := c.adapterPlacement(now, service)
	if len(candidates) == 0 {
		return
	}
	for _, model := range c.busyModels(now, service) {
		for i := range model.AdapterCount {
			adapter := adapterID(i)
			if present[model.Name+"/"+adapter] {
				continue
			}
			s := c.bestAdapterServer(candidates[model.Name], service, model, adapter)
			if s == nil {
				continue
			}
			c.sendAsync(ctx, s, Order{Model: model.Name, Adapter: adapter}, adapterLoadTime)
		}
	}
}

// adapterPlacement returns the adapters that take a slot at some server, and for each model the
// servers that accept one more adapter.
func (c *Controller) adapterPlacement(now time.Time, service routes.Service) (map[string]bool, map[string][]*Server) {
	present, candidates := make(map[string]bool), make(map[string][]*Server)
	for _, s := range c.serversOf(service.Name) {
		if !c.reachable(now, s) {
			continue
		}
		accepts := s.AcceptsOrders(now) && s.UsedAdapterSlots() < service.Engine.AdapterSlots
		for name, r := range s.models {
			for a := range r.adapters {
				present[name+"/"+a] = true
			}
			if accepts && r.phase == loaded {
				candidates[name] = append(candidates[name], s)
			}
		}
	}
	return present, candidates
}

// busyModels returns the models with adapters whose share of the demand makes them busy, the
// busiest first.
func (c *Controller) busyModels(now time.Time, service routes.Service) []routes.Model {
	demand := c.demand(service.Name)
	total := demand.Total(now)
	busyWork := busyShare * total / float64(max(1, len(service.Engine.Models)/busyModels))
	var list []routes.Model
	for name, m := range service.Engine.Models {
		if m.AdapterCount > 0 && total > 0 && demand.Work(now, name) >= busyWork {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b routes.Model) int {
		return cmp.Or(cmp.Compare(demand.Work(now, b.Name), demand.Work(now, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// bestAdapterServer returns the server with the lowest cost among those with enough memory and no
// order in flight.
func (c *Controller) bestAdapterServer(servers []*Server, service routes.Service, m routes.Model, adapter string) *Server {
	var best *Server
	var bestCost uint64
	for _, s := range servers {
		if c.orderInFlight[s.entry.ID] || s.usedMB(service.Engine)+m.AdapterSizeMB > service.Engine.WeightMemoryMB {
			continue
		}
		if cost := c.adapterCost(s, service, m.Name, adapter); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// ServableModels returns the models and adapters of a server that requests may be sent for.
func (c *Controller) ServableModels(now time.Time, id string) []backs.LoadedModel {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[id]; s != nil {
		return s.ServableModels(now)
	}
	return nil
}
