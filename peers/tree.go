package peers

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// In a large fleet the links form a tree. One VM of each failure domain, its relay, is linked to the
// controller, and the other VMs of the domain are linked to the relay, or to further relays that it has
// chosen. If every VM were linked to the controller, its traffic would grow with the number of VMs times
// the number of servers, and all VMs would read the store at once when the controller fails. A relay that
// loses the controller watches the store for its domain, and the other VMs of the domain are not
// affected.

const (
	// lostRelayCooldown is how long a VM does not link to a relay after losing its link. Within a
	// few frames the controller announces another relay, or the same one if it has recovered.
	lostRelayCooldown = 5 * time.Second
	// minRelayExtraAge is how much older the data of a relay may be than that of the controller
	// before a VM reads the store itself, and relayExtraAgePerServer the growth with the number of
	// servers. A relay that loses the controller needs part of this time to list the servers from the
	// store, in pages. If it is not done in time, all of its VMs list them too.
	minRelayExtraAge       = 400 * time.Millisecond
	relayExtraAgePerServer = 200 * time.Microsecond
	maxRelayExtraAge       = 1500 * time.Millisecond
	// rejectCooldown is how long a relay accepts all links of a stronger VM after it rejected one
	// of them. A VM that links to the relay again cannot reach the controller itself.
	rejectCooldown = 30 * time.Second
	// recountPeriod is how long a new term keeps the VM count of the previous term. It equals the
	// window of the retry budget.
	recountPeriod = 10 * time.Second
)

// relayExtraAge returns how much older the data of a relay may be than that of the controller, for a
// number of servers.
func relayExtraAge(servers int) time.Duration {
	return min(minRelayExtraAge+time.Duration(servers)*relayExtraAgePerServer, maxRelayExtraAge)
}

// subtree is the last report of a VM linked to this one, for itself and the VMs linked to it.
type subtree struct {
	loads map[string]pick.Load
	// vms is the number of VMs in the subtree. relaying is set if its root is a relay.
	vms      int
	relaying bool
	// withoutPath is set if its root has no path to the backend servers, withoutPathBelow if another VM of
	// it has none.
	withoutPath, withoutPathBelow bool
	// proxies are the addresses of VMs below its root that have a path, known while the root has none.
	proxies []string
	// keepers are the VMs of the subtree that keep origins, as reported last.
	keepers []wire.OriginKeeper
}

// selectRelay returns the address of the relay that this VM should link to, or "" if it should link
// to the controller. A relay that another one has chosen links to that one. p.mu must be held.
func (p *Peers) selectRelay(now time.Time) string {
	return preferredRelay(p.Name, p.Domain, p.relays, p.relaysOutdated, func(r wire.Relay) bool {
		return r.Address != p.Address && (r.Hub == "" || !p.relaying) && now.Sub(p.relayLostAt[r.Address]) >= lostRelayCooldown
	})
}

// selectHub returns the address of the hub to link to, the controller's address and the key to
// present. They are empty if no controller is known.
func (p *Peers) selectHub(now time.Time) (address, controller, key string) {
	controller, key = p.Lease.OtherHolder()
	if controller == "" {
		return "", "", ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.selectRelay(now); r != "" && (!p.relaying || p.furtherRelay) {
		return r, controller, key
	}
	return controller, controller, key
}

// recordLostRelay records that the link to a relay was lost or could not be opened.
func (p *Peers) recordLostRelay(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relayLostAt == nil {
		p.relayLostAt = make(map[string]time.Time)
	}
	p.relayLostAt[address] = now
	p.relaysOutdated = true
}

// relayChange is what a list of relays means for this VM.
type relayChange struct {
	// named is set if this VM is a relay of the hub. begin and end start and stop relaying.
	named, begin, end bool
	// move is set if this VM must link to another hub.
	move bool
}

// decideRelays returns what a list of relays that was received from a hub means for this VM. A relay
// continues if the list has no other relay in its place, because a hub that has just begun may not have
// chosen one yet. p.mu must be held.
func (p *Peers) decideRelays(now time.Time, up *uplink, relays []wire.Relay) relayChange {
	named, other := false, false
	for _, r := range relays {
		if r.FailureDomain == p.Domain && (up.direct && r.Hub == "" || !up.direct && r.Hub == up.address) {
			named = named || r.Address == p.Address
			other = other || r.Address != p.Address
		}
	}
	next := p.selectRelay(now)
	replaced := other && !named
	return relayChange{
		named: named, begin: named && !p.relaying,
		// A further relay that is linked to the controller has lost its hub. It moves to the next
		// one and keeps its VMs.
		end:  replaced && p.relaying && p.furtherRelay == !up.direct,
		move: replaced && next != "" && next != up.address && (up.direct || !p.relaying),
	}
}

// applyRelays applies the list of relays received from the hub. This VM starts or stops being a
// relay, or moves its link to the relay that it should be linked to.
func (p *Peers) applyRelays(ctx context.Context, now time.Time, up *uplink, relays []wire.Relay) {
	p.mu.Lock()
	p.relays, p.relaysOutdated = relays, false
	change := p.decideRelays(now, up, relays)
	if change.named {
		p.furtherRelay = !up.direct
	}
	p.mu.Unlock()
	switch {
	case change.begin:
		p.beginRelaying(ctx)
	case change.end:
		p.endRelaying()
		p.closeLinks()
	}
	if change.move {
		p.Log.Info().Str("address", up.address).Msg("closing the link to the hub; linking to a relay of the failure domain")
		up.moving = true
		up.conn.Close()
	}
}

// beginRelaying starts accepting links and relaying the hub's data. Relaying continues after the link
// to the controller is lost.
func (p *Peers) beginRelaying(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	renewed := make(chan struct{}, 1)
	p.mu.Lock()
	p.relaying, p.stopRelaying, p.leaseRenewed = true, cancel, renewed
	p.mu.Unlock()
	p.reportDue.raise()
	p.Log.Info().Msg("started as a relay")
	go p.broadcast(ctx, renewed)
}

// endRelaying stops relaying. The links stay open, because a VM that acquires the lease continues to
// use them.
func (p *Peers) endRelaying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.relaying {
		return
	}
	p.stopRelaying()
	p.relaying, p.furtherRelay, p.stopRelaying, p.leaseRenewed = false, false, nil, nil
	p.chosenRelays, p.dividedSince = nil, time.Time{}
	// What was not passed on would be out of date when this VM is a relay or the controller again.
	p.paces.down = paceQueue{}
	p.Log.Info().Msg("stopped as a relay")
}

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

// updateVMCount updates the number of VMs. At the start of a term, VMs that have not linked to this
// controller yet are included.
func (p *Peers) updateVMCount(now time.Time) {
	p.mu.Lock()
	p.vms = p.subtreeVMs()
	if now.Sub(p.termStart) < recountPeriod {
		p.vms = max(p.vms, p.inheritedVMs)
	}
	p.countVMs(now)
	divisor := p.allotments.divisor()
	p.mu.Unlock()
	p.countForRetries(now, divisor)
}

// subtreeVMs returns the number of VMs in this VM's subtree, including itself. p.mu must be held.
func (p *Peers) subtreeVMs() int {
	n := 1
	for d := range p.links {
		n += max(p.subtrees[d.vm].vms, 1)
	}
	return n
}

// subtreeLoads returns the load of this VM's subtree, including its own, by server.
func (p *Peers) subtreeLoads() map[string]pick.Load {
	sum := p.Balancer.LocalLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.subtrees {
		sumLoads(sum, s.loads)
	}
	return sum
}

// sumLoads adds loads to sums. The adapters of both are in use.
func sumLoads(sums, loads map[string]pick.Load) {
	for id, l := range loads {
		s := sums[id]
		joined := s.Add(l)
		joined.Adapters = append(slices.Clone(s.Adapters), l.Adapters...)
		slices.Sort(joined.Adapters)
		joined.Adapters = slices.Compact(joined.Adapters)
		sums[id] = joined
	}
}

// totalLoads returns the load of all VMs by server, according to the last reports.
func (p *Peers) totalLoads() map[string]pick.Load {
	if p.Lease.Held(p.Now()) {
		return p.Controller.Loads()
	}
	subtree := p.subtreeLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := make(map[string]pick.Load, len(p.externalLoads))
	for _, part := range []map[string]pick.Load{subtree, p.externalLoads} {
		for id, l := range part {
			sum[id] = sum[id].Add(l)
		}
	}
	return sum
}

// updateOtherLoads updates the load of all other VMs that p.Balancer uses to choose servers.
func (p *Peers) updateOtherLoads() {
	p.Balancer.SetRemoteLoads(p.Now(), pick.SubtractLoads(p.totalLoads(), p.Balancer.LocalLoads()))
}

// mergeReport merges the report of a VM linked to this relay. It is forwarded to the controller with
// this VM's own report.
func (p *Peers) mergeReport(vm string, r *wire.VMReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := subtreeOf(r)
	s.loads = loadsOf(r.Loads)
	p.setSubtree(vm, s)
	for _, d := range demandOf(r.Wants) {
		p.addDemand(d)
	}
	for _, id := range r.Doubts {
		p.addUnverified(id)
	}
}

// subtreeOf returns the state of a VM's subtree in its report, without the loads.
func subtreeOf(r *wire.VMReport) subtree {
	return subtree{vms: r.Vms, relaying: r.Relaying, withoutPath: r.WithoutPath, withoutPathBelow: r.WithoutPathBelow, proxies: r.ZVmsWithPath, keepers: r.ZzStreamKeepers}
}

// setSubtree replaces the last report of a linked VM. p.mu must be held.
func (p *Peers) setSubtree(vm string, s subtree) {
	if p.subtrees == nil {
		p.subtrees = make(map[string]subtree)
	}
	last := p.subtrees[vm]
	if s.keepers == nil {
		// A report lists them only when they have changed.
		s.keepers = last.keepers
	} else {
		p.keepers.subtreeChanged = true
	}
	if s.relaying != last.relaying || s.withoutPath != last.withoutPath || s.withoutPathBelow != last.withoutPathBelow || !slices.Equal(s.proxies, last.proxies) {
		p.signalLoads()
	}
	p.subtrees[vm] = s
}

// addDemand adds to the demand of the next report to the controller. p.mu must be held.
func (p *Peers) addDemand(d steer.ModelDemand) {
	if p.demand == nil {
		p.demand = make(map[demandKey]*steer.ModelDemand)
	}
	key := demandKey{d.Service, d.Model, d.Adapter}
	if sum := p.demand[key]; sum != nil {
		sum.Requests += d.Requests
		sum.ServerTime += d.ServerTime
		return
	}
	p.demand[key] = &d
}

// addUnverified adds a server to those that the next report asks the controller to verify. p.mu must
// be held.
func (p *Peers) addUnverified(server string) {
	if p.unverified == nil {
		p.unverified = make(map[string]bool)
	}
	p.unverified[server] = true
}
