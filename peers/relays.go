package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// The controller chooses one relay for each failure domain. A relay of a large failure domain divides
// its VMs among further relays, about the square root of their number: a relay with a link to each VM
// would send a hundred times what a VM receives, and the larger the fleet the more.

const (
	// minTreeVMs is the number of VMs from which the links form a tree. In a smaller fleet, one
	// hop less is worth more than the saved traffic.
	minTreeVMs = 20
	// minDividedVMs is the number of VMs from which a relay divides them among further relays.
	minDividedVMs = 32
	// settleTime is how long a relay with enough VMs waits for strong ones before it chooses weak VMs
	// as further relays.
	settleTime = time.Second
	// strongerFactor is the ratio of CPU shares from which a VM replaces the current relay.
	strongerFactor = 2
)

// relayCandidate is a linked VM that may become a relay.
type relayCandidate struct {
	vm, address, domain string
	millicores          int
	// chosen is set if this hub has chosen it before, relaying if it was a relay when it linked.
	chosen, relaying bool
}

// compareRelays returns a negative number if a is preferred to b as a relay. A VM with a much larger CPU
// share takes precedence, because a relay writes to all of its VMs. Among VMs with similar shares, one
// that already relays is preferred, so that a change of controller moves no links.
func compareRelays(a, b relayCandidate) int {
	if a.millicores >= strongerFactor*b.millicores || b.millicores >= strongerFactor*a.millicores {
		return cmp.Compare(b.millicores, a.millicores)
	}
	if c := cmp.Or(compareBools(a.chosen, b.chosen), compareBools(a.relaying, b.relaying)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.millicores, a.millicores), cmp.Compare(a.vm, b.vm))
}

// compareBools orders true before false.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// bestRelays returns the preferred candidate of each failure domain.
func bestRelays(candidates []relayCandidate) map[string]relayCandidate {
	best := make(map[string]relayCandidate)
	for _, c := range candidates {
		if b, ok := best[c.domain]; !ok || compareRelays(c, b) < 0 {
			best[c.domain] = c
		}
	}
	return best
}

// division is what a relay decides by when it divides its VMs.
type division struct {
	// vms is the number of VMs in its subtree, millicores its own CPU share.
	vms, millicores int
	// settled is set if the VMs have had time to link.
	settled bool
}

// furtherRelays returns the candidates among which a relay divides its VMs. VMs with a much smaller CPU
// share than the strongest are chosen only if there would be less than half as many relays as needed: a
// weak VM takes seconds to send the full state to its VMs. They are not chosen either while the VMs of a
// fleet that has just started still link: each weak relay would soon be replaced by a strong one, and its
// VMs would lose their links.
func (d division) furtherRelays(candidates []relayCandidate) []relayCandidate {
	if d.vms < minDividedVMs {
		return nil
	}
	most := int(math.Ceil(math.Sqrt(float64(d.vms))))
	sorted := slices.SortedFunc(slices.Values(candidates), compareRelays)
	strongest := d.millicores
	for _, c := range candidates {
		strongest = max(strongest, c.millicores)
	}
	n := 0
	for _, c := range sorted {
		weak := c.millicores*strongerFactor <= strongest
		if n == most || weak && (!d.settled && !c.chosen || n >= (most+1)/2) {
			break
		}
		n++
	}
	return sorted[:n]
}

// preferredRelay returns the relay that a VM should link to, among those of its failure domain, and the
// empty address if there is none. usable reports whether a link to a relay may be tried now. The VMs of a
// relay that has divided them wait until the one that they prefer is ready, so that the first one does
// not get all of them. If the list is outdated, which shows when a further relay is lost, the VM asks the
// relay that chose it for the current one: the others of an old list may have stopped as well.
func preferredRelay(vm, domain string, relays []wire.Relay, outdated bool, usable func(wire.Relay) bool) string {
	var direct, preferred wire.Relay
	var most uint64
	for _, r := range relays {
		if r.FailureDomain != domain || !usable(r) {
			continue
		}
		if r.Hub == "" {
			direct = r
			continue
		}
		if weight := xxhash.Sum64String(vm + " " + r.Address); preferred.Address == "" || weight > most {
			preferred, most = r, weight
		}
	}
	if preferred.Ready && (!outdated || !direct.Ready) {
		return preferred.Address
	}
	if direct.Ready {
		return direct.Address
	}
	return ""
}
