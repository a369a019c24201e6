package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// ModelDemand is the demand that a VM observed for a model: a number of requests, and the total
// time for which they would occupy a whole server.
type ModelDemand struct {
	Service, Model, Adapter string
	Requests                int
	ServerTime              time.Duration
}

// RecordVMReport records a VM's load at the servers and the demand of its callers.
func (c *Controller) RecordVMReport(now time.Time, vm string, loads map[string]pick.Load, demands []ModelDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vmLoads == nil {
		c.vmLoads = make(map[string]map[string]pick.Load)
	}
	c.replaceLoads(c.vmLoads[vm], loads)
	c.vmLoads[vm] = loads
	for _, d := range demands {
		c.demand(d.Service).Add(now, d.Model, d.ServerTime.Seconds(), d.Requests)
		if d.Adapter != "" {
			c.adapterDemand.Add(now, adapterKey(d.Service, d.Model, d.Adapter), float64(d.Requests), d.Requests)
		}
	}
}

// replaceLoads replaces a VM's part in the total loads. c.mu is held.
func (c *Controller) replaceLoads(old, next map[string]pick.Load) {
	if c.totalLoads == nil {
		c.totalLoads = make(map[string]pick.Load)
	}
	for id, l := range old {
		c.totalLoads[id] = c.totalLoads[id].Sub(l)
		if c.totalLoads[id].Running == 0 {
			delete(c.totalLoads, id)
		}
	}
	for id, l := range next {
		c.totalLoads[id] = c.totalLoads[id].Add(l)
	}
}

// RemoveVM discards the load of a VM whose link ended.
func (c *Controller) RemoveVM(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceLoads(c.vmLoads[vm], nil)
	delete(c.vmLoads, vm)
}

func adapterKey(service, model, adapter string) string { return service + "/" + model + "/" + adapter }

func (c *Controller) demand(service string) *Demand {
	if c.modelDemand == nil {
		c.modelDemand = make(map[string]*Demand)
	}
	d := c.modelDemand[service]
	if d == nil {
		d = &Demand{}
		c.modelDemand[service] = d
	}
	return d
}

// Loads returns the load of all VMs together at each server.
func (c *Controller) Loads() map[string]pick.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.totalLoads)
}

// ServerModels lists the models and adapters of a server that requests may be sent for, and when
// they last changed.
type ServerModels struct {
	Server    string
	Models    []backs.LoadedModel
	ChangedAt time.Time
}

// ChangedSince returns the servers that changed after a time. An adapter that becomes ready counts
// as a change. A server with an unloading model counts as changed until the model is unloaded, as
// the server continues to list the model.
func (c *Controller) ChangedSince(now, since time.Time) []ServerModels {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ServerModels
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if s.changedAt.Add(adapterLoadTime).After(since) || s.unloadingModel() {
			list = append(list, ServerModels{Server: id, Models: s.ServableModels(now), ChangedAt: s.changedAt})
		}
	}
	return list
}
