package pick

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: a fleet of thousands of servers has hundreds of requests in progress, one or two at a
// server. Each VM was told the load of all of them several times a second, which is most of what VMs
// send each other and grows with VMs times requests. A server with one request more or less changes no
// choice that matters; the servers whose queue makes a request late do, and they are few.

// runningWeight weighs a running request against prefill time when loads are compared: about what it
// adds to the time of the next request at a server with few slots.
const runningWeight = 20 * time.Millisecond

// Busiest returns the n largest loads, all of them if there are no more than n.
func Busiest(loads map[string]Load, n int) map[string]Load {
	if len(loads) <= n {
		return loads
	}
	type serverLoad struct {
		id   string
		cost time.Duration
	}
	list := make([]serverLoad, 0, len(loads))
	for id, l := range loads {
		list = append(list, serverLoad{id, l.PrefillTime + time.Duration(l.Running)*runningWeight})
	}
	slices.SortFunc(list, func(a, b serverLoad) int { return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.id, b.id)) })
	busiest := make(map[string]Load, n)
	for _, s := range list[:n] {
		busiest[s.id] = loads[s.id]
	}
	return busiest
}
