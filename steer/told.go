package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Want is demand for a model that a VM met: some requests, and the time of a whole
// server that they take together.
type Want struct {
	Service, Model, Adapter string
	Requests                int
	Time                    time.Duration
}

// Report takes in what a VM has at the servers and what its callers asked for.
func (c *Controller) Report(now time.Time, vm string, loads map[string]pick.Load, wants []Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = make(map[string]map[string]pick.Load)
	}
	c.total(c.loads[vm], loads)
	c.loads[vm] = loads
	for _, w := range wants {
		c.demand(w.Service).Add(now, w.Model, w.Time.Seconds(), w.Requests)
		if w.Adapter != "" {
			c.adapters.Add(now, adapterName(w.Service, w.Model, w.Adapter), float64(w.Requests), w.Requests)
		}
	}
}

// total replaces a VM's part in the sums. c.mu is held.
func (c *Controller) total(old, next map[string]pick.Load) {
	if c.sums == nil {
		c.sums = make(map[string]pick.Load)
	}
	for id, l := range old {
		s := c.sums[id]
		c.sums[id] = pick.Load{Running: s.Running - l.Running, Reading: s.Reading - l.Reading, Tokens: s.Tokens - l.Tokens}
		if c.sums[id].Running == 0 {
			delete(c.sums, id)
		}
	}
	for id, l := range next {
		c.sums[id] = c.sums[id].Plus(l)
	}
}

// Left forgets the load of a VM whose link ended.
func (c *Controller) Left(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total(c.loads[vm], nil)
	delete(c.loads, vm)
}

func adapterName(service, model, adapter string) string { return service + "/" + model + "/" + adapter }

func (c *Controller) demand(service string) *Demand {
	if c.work == nil {
		c.work = make(map[string]*Demand)
	}
	d := c.work[service]
	if d == nil {
		d = &Demand{}
		c.work[service] = d
	}
	return d
}

// Loads returns what all VMs together have at the servers.
func (c *Controller) Loads() map[string]pick.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sums)
}

// Shown is what requests may be sent to a server for, as of a change.
type Shown struct {
	Server  string
	Models  []backs.LoadedModel
	Changed time.Time
}

// ShownSince returns the servers that changed after a time. An adapter that
// becomes ready counts as a change, and a model that is being dropped as one all the while:
// the server goes on to list it.
func (c *Controller) ShownSince(now, since time.Time) []Shown {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Shown
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if s.changed.Add(adapterReady).After(since) || s.dropping() {
			list = append(list, Shown{Server: id, Models: s.Shown(now), Changed: s.changed})
		}
	}
	return list
}
