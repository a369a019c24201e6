package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Has reports whether the server holds a model, and the adapter when one is
// named, ready for requests.
func (s *Server) Has(now time.Time, model, adapter string) bool {
	r := s.models[model]
	if r == nil || r.phase != held {
		return false
	}
	if adapter == "" {
		return true
	}
	at, ok := r.adapters[adapter]
	return ok && at.usable(now)
}

// Shown returns the models and adapters that requests may be sent for.
func (s *Server) Shown(now time.Time) []backs.Held {
	var list []backs.Held
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		r := s.models[name]
		if r.phase != held {
			continue
		}
		h := backs.Held{Model: name}
		for _, a := range slices.Sorted(maps.Keys(r.adapters)) {
			if r.adapters[a].usable(now) {
				h.Adapters = append(h.Adapters, a)
			}
		}
		list = append(list, h)
	}
	return list
}

// dropping reports whether a model is being dropped.
func (s *Server) dropping() bool {
	for _, r := range s.models {
		if r.phase == leaving {
			return true
		}
	}
	return false
}

// Places returns how many adapter places are taken.
func (s *Server) Places() int {
	n := 0
	for _, r := range s.models {
		n += len(r.adapters)
	}
	return n
}

// weight returns the megabytes taken, by models on their way in and out too:
// memory is free only when the server shows the model gone.
func (s *Server) weight(e *routes.Engine) float64 {
	mb := 0.0
	for name, r := range s.models {
		m := e.Models[name]
		mb += m.SizeMB + m.AdapterSizeMB*float64(len(r.adapters))
	}
	return mb
}

// loadTime returns how long the server takes to load a model, and whether it
// comes from the weight store.
func (s *Server) loadTime(m routes.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(s.stock.memory, m.Name) && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime, false
	case s.stock.has(m.Name) && m.DiskLoadTime > 0:
		return m.DiskLoadTime, false
	}
	return m.LoadTime, true
}
