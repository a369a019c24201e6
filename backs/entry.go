// Package backs is what a VM knows of the backend servers: which there are,
// which are leaving, and which models they hold. It does no I/O and reads no
// clock.
package backs

import (
	"slices"
	"time"
)

// Held is a model that a server holds.
type Held struct {
	Model    string
	Version  int
	Adapters []string
}

// Entry is a server as the platform lists it. ID names one start of it; a
// restarted server, or another one at the same address, has a new ID.
type Entry struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is how many requests it works on at once.
	Slots    int
	Draining bool
	// Leaves is the time that a draining server has left, 0 when unknown.
	Leaves time.Duration
	// Cold is how much longer the server is slow after its start.
	Cold   time.Duration
	Models []Held
}

// Holds reports whether the entry has a model, and the adapter when one is
// named.
func (e Entry) Holds(model, adapter string) bool {
	for _, h := range e.Models {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}
