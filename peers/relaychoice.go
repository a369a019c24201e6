package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A hub chooses relays among the VMs linked to it, by the rules in relays.go, and announces them in its frames.

// rejectCooldown is how long a relay accepts all links of a stronger VM after it rejected one
// of them. A VM that links to the relay again cannot reach the controller itself.
const rejectCooldown = 30 * time.Second

// chooseRelays returns the relays that this hub announces: the controller one for each failure domain
// with linked VMs, and the relay of a failure domain the further ones besides those that it has received.
// p.mu must be held.
func (p *Peers) chooseRelays() []wire.Relay {
	switch {
	case p.furtherRelay:
		return p.relays
	case p.relaying:
		return slices.Concat(p.relays, p.announceRelays(p.Address, p.division(p.Now()).furtherRelays(p.relayCandidates())))
	case max(p.vms, p.subtreeVMs()) < minTreeVMs:
		return []wire.Relay{}
	}
	best := bestRelays(p.relayCandidates())
	chosen := make([]relayCandidate, 0, len(best))
	for _, domain := range slices.Sorted(maps.Keys(best)) {
		chosen = append(chosen, best[domain])
	}
	return p.announceRelays("", chosen)
}

// division returns what this relay divides its VMs by. p.mu must be held.
func (p *Peers) division(now time.Time) division {
	d := division{vms: p.subtreeVMs(), millicores: int(1000 * p.Cores)}
	if d.vms < minDividedVMs {
		p.dividedSince = time.Time{}
		return d
	}
	if p.dividedSince.IsZero() {
		p.dividedSince = now
	}
	d.settled = now.Sub(p.dividedSince) >= settleTime
	return d
}

// relayCandidates returns the linked VMs that accept links. A relay considers those of its failure
// domain. p.mu must be held.
func (p *Peers) relayCandidates() []relayCandidate {
	candidates := make([]relayCandidate, 0, len(p.links))
	for d := range p.links {
		h := d.hello
		if h.Address != "" && (!p.relaying || h.FailureDomain == p.Domain) {
			candidates = append(candidates, relayCandidate{vm: d.vm, address: h.Address, domain: h.FailureDomain, millicores: h.Millicores, chosen: p.chosenRelays[d.vm], relaying: h.Relaying})
		}
	}
	return candidates
}

// announceRelays records the chosen relays and returns them for the frames of this hub. p.mu must be
// held.
func (p *Peers) announceRelays(hub string, chosen []relayCandidate) []wire.Relay {
	p.chosenRelays = make(map[string]bool, len(chosen))
	relays := make([]wire.Relay, 0, len(chosen))
	for _, c := range chosen {
		p.chosenRelays[c.vm] = true
		relays = append(relays, wire.Relay{FailureDomain: c.domain, Address: c.address, Hub: hub, Ready: p.subtrees[c.vm].relaying})
	}
	return relays
}

// rejectsStronger reports whether this relay rejects a link because the VM is much stronger. That VM
// then links to the controller and replaces this relay. The controller chooses only among the VMs
// linked to it, and VMs that start after a relay was chosen link to the relay. Without the rejection,
// a weak VM that was the first of its domain would stay the relay, although it needs seconds to send
// the full state at each change of controller. p.mu must be held.
func (p *Peers) rejectsStronger(now time.Time, h wire.Hello) bool {
	if h.FailureDomain != p.Domain || float64(h.Millicores) < strongerFactor*1000*p.Cores {
		return false
	}
	if last, rejected := p.rejectedAt[h.Node]; rejected && now.Sub(last) < rejectCooldown {
		return false
	}
	if p.rejectedAt == nil {
		p.rejectedAt = make(map[string]time.Time)
	}
	p.rejectedAt[h.Node] = now
	return true
}
