package peers

import (
	"maps"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Load pattern: some hundred servers whose paces differ for minutes and change by less than a tenth meanwhile. What
// does not change is not sent again, and yet must not outlive the controller that measured it. Only the controller's
// gauge decides what is sent: changes, and now and then an entry that says that the others still apply. Relays pass on
// each entry that they received, and nothing else. VMs behind a relay that has lost the controller therefore hear
// nothing, and their estimates expire.

const (
	// maxToldPaces bounds the estimates in a frame, some 30 bytes each. The rest goes with the next one.
	maxToldPaces = 256
	// maxPacePct is the largest estimate that a VM accepts, a hundred times the usual.
	maxPacePct = 100 * 100
	// unknownPace withdraws the estimate of a server of which the controller knows nothing any more, as in package
	// gauge.
	unknownPace = 0
	// minPaceChangePct is the relative change from which a relay passes on an estimate in the full state of its
	// hub: that from which the controller sends one.
	minPaceChangePct = 10
)

// paceQueue holds the estimates that are to be sent on the links of a VM. The zero value is ready to use.
type paceQueue struct {
	// known are the estimates in hundredths that were sent or are queued, by server.
	known map[string]int
	// servers are those whose estimate is to be sent, in this order, and queued the same as a set.
	servers []string
	queued  map[string]bool
}

// add adds an estimate, which replaces one of the same server that has not been sent.
func (q *paceQueue) add(s wire.ServerPace) {
	if q.known == nil {
		q.known, q.queued = make(map[string]int), make(map[string]bool)
	}
	q.known[s.Server] = s.PacePct
	if !q.queued[s.Server] {
		q.queued[s.Server] = true
		q.servers = append(q.servers, s.Server)
	}
}

// addReceived adds the estimates of a frame of the hub. Those of a full state have not all changed.
func (q *paceQueue) addReceived(list []wire.ServerPace, full bool) {
	for _, s := range list {
		known := q.known[s.Server]
		if change := max(s.PacePct-known, known-s.PacePct); full && 100*change < minPaceChangePct*known {
			continue
		}
		q.add(s)
	}
}

// take returns the next estimates to send on all links.
func (q *paceQueue) take() []wire.ServerPace {
	n := min(len(q.servers), maxToldPaces)
	var list []wire.ServerPace
	for _, server := range q.servers[:n] {
		pct := q.known[server]
		list = append(list, wire.ServerPace{Server: server, PacePct: pct})
		delete(q.queued, server)
		if pct == unknownPace {
			delete(q.known, server)
		}
	}
	q.servers = q.servers[n:]
	return list
}

// retain forgets the servers for which used returns false. VMs forget them on their own.
func (q *paceQueue) retain(used func(server string) bool) {
	maps.DeleteFunc(q.known, func(server string, _ int) bool { return !used(server) })
	maps.DeleteFunc(q.queued, func(server string, _ bool) bool { return !used(server) })
	q.servers = slices.DeleteFunc(q.servers, func(server string) bool { return !q.queued[server] })
}

// validPaces returns the entries of a list that a controller may have sent.
func validPaces(list []wire.ServerPace) []wire.ServerPace {
	var valid []wire.ServerPace
	for _, s := range list {
		if s.Server != "" && s.PacePct >= unknownPace && s.PacePct <= maxPacePct {
			valid = append(valid, s)
		}
	}
	return valid
}

// paceList converts estimates to their wire form.
func paceList(estimates []gauge.Estimate) []wire.ServerPace {
	list := make([]wire.ServerPace, 0, len(estimates))
	for _, e := range estimates {
		list = append(list, wire.ServerPace{Server: e.Server, PacePct: hundredths(e.Pace)})
	}
	return list
}

// estimatesOf converts estimates from their wire form.
func estimatesOf(list []wire.ServerPace) []gauge.Estimate {
	estimates := make([]gauge.Estimate, 0, len(list))
	for _, s := range list {
		estimates = append(estimates, gauge.Estimate{Server: s.Server, Pace: paceOf(s.PacePct)})
	}
	return estimates
}
