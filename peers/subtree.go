package peers

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A hub keeps the last report of each VM linked to it. A relay reports the sums of its subtree to its own hub, so
// that the controller knows the load and the number of all VMs.

// recountPeriod is how long a new term keeps the VM count of the previous term. With a count that is too low, each
// VM would take too large a share of what servers that limit their requests accept. It equals the default window of
// the retry budget, which was divided by this count before there were allotments.
const recountPeriod = 10 * time.Second

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

// subtreeVMs returns the number of VMs in this VM's subtree, including itself. p.mu must be held.
func (p *Peers) subtreeVMs() int {
	n := 1
	for d := range p.links {
		n += max(p.subtrees[d.vm].vms, 1)
	}
	return n
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
