package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Serves reports whether a model, and the adapter if one is named, is ready for requests at the
// server.
func (s *Server) Serves(now time.Time, model, adapter string) bool {
	r := s.models[model]
	if r == nil || r.phase != loaded {
		return false
	}
	if adapter == "" {
		return true
	}
	slot, ok := r.adapters[adapter]
	return ok && slot.usable(now)
}

// ServableModels returns the models and adapters that requests may be sent for.
func (s *Server) ServableModels(now time.Time) []backs.LoadedModel {
	var list []backs.LoadedModel
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		r := s.models[name]
		if r.phase != loaded {
			continue
		}
		m := backs.LoadedModel{Model: name}
		for _, a := range slices.Sorted(maps.Keys(r.adapters)) {
			if r.adapters[a].usable(now) {
				m.Adapters = append(m.Adapters, a)
			}
		}
		list = append(list, m)
	}
	return list
}

// unloadingModel reports whether a model is being unloaded.
func (s *Server) unloadingModel() bool {
	for _, r := range s.models {
		if r.phase == unloading {
			return true
		}
	}
	return false
}

// UsedAdapterSlots returns how many adapter slots are taken.
func (s *Server) UsedAdapterSlots() int {
	n := 0
	for _, r := range s.models {
		n += len(r.adapters)
	}
	return n
}

// usedMB returns the memory in use, which includes models that are loading or unloading: memory is
// free only once a report shows that the model is unloaded.
func (s *Server) usedMB(e *routes.Engine) float64 {
	mb := 0.0
	for name, r := range s.models {
		m := s.modelOf(e, name)
		mb += m.SizeMB + m.AdapterSizeMB*float64(len(r.adapters))
	}
	return mb
}

// modelOf returns the sizes of a model that the server holds. A model stays loaded when it is dropped from the
// configuration, and keeps the sizes that it had there. One of unknown size counts as the whole memory: a server that
// is ordered to load more than fits crashes.
func (s *Server) modelOf(e *routes.Engine, name string) routes.Model {
	if m, ok := e.Models[name]; ok {
		return m
	}
	if r := s.models[name]; r != nil && r.configured.Name != "" {
		return r.configured
	}
	return routes.Model{Name: name, SizeMB: e.WeightMemoryMB}
}

// rememberSizes keeps the sizes of the models that the servers hold when another configuration, which may drop them,
// takes the place of that of the last step.
func (c *Controller) rememberSizes(next *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.lastTable
	if c.lastTable = next; last == nil || last == next {
		return
	}
	for _, s := range c.servers {
		service, _ := last.Service(s.entry.Service)
		if service.Engine == nil {
			continue
		}
		for name, r := range s.models {
			if m, ok := service.Engine.Models[name]; ok {
				r.configured = m
			}
		}
	}
}

// loadTime returns how long the server takes to load a model, and whether the load comes from the
// weight store.
func (s *Server) loadTime(m routes.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(s.cache.memory, m.Name) && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime, false
	case s.cache.contains(m.Name) && m.DiskLoadTime > 0:
		return m.DiskLoadTime, false
	}
	return m.LoadTime, true
}
