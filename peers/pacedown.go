package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Load pattern: some hundred servers whose pace differs for minutes, and changes by less than a tenth meanwhile. What
// does not change is not sent again, and yet must not outlive the controller that measured it. A VM therefore keeps
// the estimates that it was sent, and a single entry of some bytes confirms all of them. It comes from the controller
// only: VMs behind a relay that has lost the controller hear no confirmation, and their estimates expire.

const (
	// maxToldPaces bounds the estimates in a frame, some 30 bytes each. The rest goes with the next one.
	maxToldPaces = 256
	// confirmInterval is the interval between confirmations, a third of the time after which estimates expire,
	// so that a late one does no harm.
	confirmInterval = 10 * time.Second
	// estimateLifetime is the time after the last confirmation from which a relay no longer sends what it was
	// told. It is that after which estimates expire in package gauge.
	estimateLifetime = 30 * time.Second
	// maxPacePct is the largest estimate that a VM accepts, a hundred times the usual.
	maxPacePct = 100 * 100
)

// confirmation is the entry that confirms all estimates sent before. It names no server.
var confirmation = wire.ServerPace{}

// unknownPace withdraws the estimate of a server of which the controller knows nothing any more, as in package gauge.
const unknownPace = 0

// paceEstimates holds the estimates that a VM was told by its hub, or has told as the controller, and what is to be
// sent on its links. The zero value is ready to use.
type paceEstimates struct {
	// known are the estimates in hundredths, by server.
	known map[string]int
	// queue has the servers whose estimate has changed, in the order in which they are sent, and queued the same.
	queue  []string
	queued map[string]bool
	// confirmed is set if a confirmation is to be sent.
	confirmed bool
	// confirmedAt is when the controller last confirmed what is known.
	confirmedAt time.Time
}

// set sets an estimate and queues it if it has changed.
func (e *paceEstimates) set(server string, pct int) {
	if known, found := e.known[server]; found && known == pct || !found && pct == unknownPace {
		return
	}
	if e.known == nil {
		e.known, e.queued = make(map[string]int), make(map[string]bool)
	}
	if e.known[server] = pct; pct == unknownPace {
		delete(e.known, server)
	}
	if !e.queued[server] {
		e.queued[server] = true
		e.queue = append(e.queue, server)
	}
}

// apply applies the entries of a frame of the hub, all estimates if full is set, and returns those for this VM's
// gauge.
func (e *paceEstimates) apply(now time.Time, list []wire.ServerPace, full bool) []gauge.Estimate {
	if full {
		e.setAll(list)
		e.confirmedAt = now
		return e.estimates()
	}
	var news []gauge.Estimate
	confirmed := false
	for _, s := range list {
		switch {
		case s == confirmation:
			confirmed = true
		case s.Server == "" || s.PacePct < 0 || s.PacePct > maxPacePct:
		default:
			e.set(s.Server, s.PacePct)
			news = append(news, gauge.Estimate{Server: s.Server, Pace: paceOf(s.PacePct)})
		}
	}
	if confirmed {
		e.confirmed, e.confirmedAt = true, now
		news = append(news, e.estimates()...)
	}
	return news
}

// setAll sets the estimates to those of a list.
func (e *paceEstimates) setAll(list []wire.ServerPace) {
	all := make(map[string]int, len(list))
	for _, s := range list {
		if s.Server != "" && s.PacePct > unknownPace && s.PacePct <= maxPacePct {
			all[s.Server] = s.PacePct
		}
	}
	for _, server := range slices.Sorted(maps.Keys(e.known)) {
		if _, listed := all[server]; !listed {
			e.set(server, unknownPace)
		}
	}
	for _, s := range list {
		if pct, valid := all[s.Server]; valid {
			e.set(s.Server, pct)
		}
	}
}

// confirm is called by the controller with all of its estimates, at intervals. What has changed by less than a tenth
// is not sent: only estimates that were never sent are, and servers of which nothing is known any more.
func (e *paceEstimates) confirm(now time.Time, all []wire.ServerPace) {
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		if s.PacePct == unknownPace {
			continue
		}
		listed[s.Server] = true
		if _, found := e.known[s.Server]; !found {
			e.set(s.Server, s.PacePct)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(e.known)) {
		if !listed[server] {
			e.set(server, unknownPace)
		}
	}
	e.confirmed, e.confirmedAt = len(e.known) > 0, now
}

// estimates returns what is known, for a gauge.
func (e *paceEstimates) estimates() []gauge.Estimate {
	list := make([]gauge.Estimate, 0, len(e.known))
	for _, server := range slices.Sorted(maps.Keys(e.known)) {
		list = append(list, gauge.Estimate{Server: server, Pace: paceOf(e.known[server])})
	}
	return list
}

// full returns what a relay sends on a new link: what it was told, unless that has expired.
func (e *paceEstimates) full(now time.Time) []wire.ServerPace {
	if now.Sub(e.confirmedAt) >= estimateLifetime {
		return nil
	}
	return paceList(e.estimates())
}

// take returns the next entries to send on all links.
func (e *paceEstimates) take() []wire.ServerPace {
	n := min(len(e.queue), maxToldPaces)
	var list []wire.ServerPace
	for _, server := range e.queue[:n] {
		list = append(list, wire.ServerPace{Server: server, PacePct: e.known[server]})
		delete(e.queued, server)
	}
	e.queue = e.queue[n:]
	if e.confirmed {
		e.confirmed = false
		list = append(list, confirmation)
	}
	return list
}

// discard drops what is to be sent, as there are no links.
func (e *paceEstimates) discard() {
	clear(e.queued)
	e.queue, e.confirmed = nil, false
}

// retain forgets the servers for which used returns false. VMs forget them on their own.
func (e *paceEstimates) retain(used func(server string) bool) {
	maps.DeleteFunc(e.known, func(server string, _ int) bool { return !used(server) })
	maps.DeleteFunc(e.queued, func(server string, _ bool) bool { return !used(server) })
	e.queue = slices.DeleteFunc(e.queue, func(server string) bool { return !e.queued[server] })
}
