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

// In a large fleet the links form a tree: one VM of each failure domain, its
// relay, is linked to the controller, and the others of the domain to the relay.
// With every VM at the controller its frames grow with the VMs times the servers,
// and when it goes every VM asks the store at once. A relay that loses the
// controller watches the store for its domain; the others notice nothing.

const (
	// treeFrom is how many VMs there must be for the links to form a tree. Below,
	// a link less on the way is worth more than frames saved.
	treeFrom = 20
	// shunFor is how long a VM keeps away from a relay that it lost: the
	// controller names another one within some frames, or the same one again when
	// it has come back.
	shunFor = 5 * time.Second
	// relaySlack is how much older the word of a relay may get than that of the
	// controller before a VM asks the store itself: a relay that loses the
	// controller needs some of it to list what it passes on.
	relaySlack = 400 * time.Millisecond
	// farStronger is by how much a VM's processor share must exceed that of the
	// present relay to take its place.
	farStronger = 2
	// yieldAgain is how long a relay takes links of a far stronger VM that it has just
	// turned away: one that comes back does not reach the controller by itself.
	yieldAgain = 30 * time.Second
	// recountFor is how long a term counts the VMs of the one before: the window
	// of the retry budget.
	recountFor = 10 * time.Second
)

// branch is what a VM that is linked to this one has told.
type branch struct {
	loads map[string]pick.Load
	// vms is how many VMs the branch speaks for, relaying says that it takes links.
	vms      int
	relaying bool
}

// relayOf returns the address of the relay that this VM should be linked to, ""
// for the controller itself. p.mu is held.
func (p *Peers) relayOf(now time.Time) string {
	for _, r := range p.relays {
		if r.FailureDomain == p.Domain && r.Ready && r.Address != p.Address && now.Sub(p.shunned[r.Address]) >= shunFor {
			return r.Address
		}
	}
	return ""
}

// hub returns where this VM is to be linked to, and the key to present; an empty
// address when no controller is known.
func (p *Peers) hub(now time.Time) (address, controller, key string) {
	controller, key = p.Lease.Holder()
	if controller == "" {
		return "", "", ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.relayOf(now); r != "" && !p.relaying {
		return r, controller, key
	}
	return controller, controller, key
}

func (p *Peers) shun(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shunned == nil {
		p.shunned = make(map[string]time.Time)
	}
	p.shunned[address] = now
}

// takePlace does what the relays that were told mean for this VM: it begins or
// ends to be one, or moves from the controller to the one of its domain.
func (p *Peers) takePlace(ctx context.Context, now time.Time, up *uplink, relays []wire.Relay) {
	own, other := false, false
	for _, r := range relays {
		if r.FailureDomain == p.Domain {
			own, other = r.Address == p.Address, r.Address != p.Address
		}
	}
	p.mu.Lock()
	p.relays = relays
	// A controller that has just begun may name none yet; a relay goes on.
	begin, end := up.direct && own && !p.relaying, up.direct && other && p.relaying
	move := up.direct && other && p.relayOf(now) != ""
	p.mu.Unlock()
	switch {
	case begin:
		p.beginRelaying(ctx)
	case end:
		p.endRelaying()
		p.closeLinks()
	}
	if move {
		p.Log.Info().Msg("moving to the relay of the failure domain")
		up.conn.Close()
	}
}

// beginRelaying takes links and passes on what this VM is told, also after the
// link to the controller was lost.
func (p *Peers) beginRelaying(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	renewed := make(chan struct{}, 1)
	p.mu.Lock()
	p.relaying, p.stopRelaying, p.renewed = true, cancel, renewed
	p.mu.Unlock()
	p.Log.Info().Msg("relaying begins")
	go p.broadcast(ctx, renewed)
}

// endRelaying stops passing on; the links stay for a VM that takes the lease.
func (p *Peers) endRelaying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.relaying {
		return
	}
	p.stopRelaying()
	p.relaying, p.stopRelaying, p.renewed = false, nil, nil
	p.Log.Info().Msg("relaying ends")
}

// chooseRelays names a relay for each failure domain that has VMs linked: the
// present one while its link lasts, else the strongest. p.mu is held.
func (p *Peers) chooseRelays() []wire.Relay {
	if p.vms < treeFrom {
		return []wire.Relay{}
	}
	best := make(map[string]*downlink)
	for d := range p.links {
		h := d.conn.PeerHello()
		if h.Address == "" {
			continue
		}
		if b := best[h.FailureDomain]; b == nil || p.betterRelay(d, b) {
			best[h.FailureDomain] = d
		}
	}
	p.chosen = make(map[string]string, len(best))
	relays := make([]wire.Relay, 0, len(best))
	for _, domain := range slices.Sorted(maps.Keys(best)) {
		p.chosen[domain] = best[domain].vm
		d := best[domain]
		relays = append(relays, wire.Relay{FailureDomain: domain, Address: d.conn.PeerHello().Address, Ready: p.branches[d.vm].relaying})
	}
	return relays
}

// betterRelay reports whether a suits better than b. A far stronger one goes
// first: a relay writes to all VMs of its domain. Of those that can well do it, one
// that others are linked to already stays, so that a change of controller moves no
// links.
func (p *Peers) betterRelay(a, b *downlink) bool {
	ha, hb := a.conn.PeerHello(), b.conn.PeerHello()
	if ha.Millicores >= farStronger*hb.Millicores || hb.Millicores >= farStronger*ha.Millicores {
		return ha.Millicores > hb.Millicores
	}
	if ca, cb := p.chosen[ha.FailureDomain] == a.vm, p.chosen[hb.FailureDomain] == b.vm; ca != cb {
		return ca
	}
	if ha.Relaying != hb.Relaying {
		return ha.Relaying
	}
	if ha.Millicores != hb.Millicores {
		return ha.Millicores > hb.Millicores
	}
	return a.vm < b.vm
}

// yields reports whether this relay turns a link away, so that the VM links to the
// controller itself and is named in place of this one. The controller chooses among the VMs
// that are linked to it; those that came when a relay was named already are linked to that,
// and a weak VM that was the first of its domain would relay for good: it takes seconds for
// a view of all servers, at every change of controller. p.mu is held.
func (p *Peers) yields(now time.Time, h wire.Hello) bool {
	if h.FailureDomain != p.Domain || float64(h.Millicores) < farStronger*1000*p.Cores {
		return false
	}
	if at, before := p.yielded[h.Node]; before && now.Sub(at) < yieldAgain {
		return false
	}
	if p.yielded == nil {
		p.yielded = make(map[string]time.Time)
	}
	p.yielded[h.Node] = now
	return true
}

// countVMs notes how many VMs there are. For a while after a term began, those that
// are not linked again yet count too: each VM takes its part of the retry budget by
// this number, and one that is too small allows too many retries.
func (p *Peers) countVMs(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = p.vmCount()
	if now.Sub(p.began) < recountFor {
		p.vms = max(p.vms, p.inherited)
	}
}

// vmCount returns how many VMs this one and those linked to it are. p.mu is held.
func (p *Peers) vmCount() int {
	n := 1
	for d := range p.links {
		n += max(p.branches[d.vm].vms, 1)
	}
	return n
}

// inside returns what this VM and those linked to it have at the servers.
func (p *Peers) inside() map[string]pick.Load {
	sum := p.Book.Own()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.branches {
		addLoads(sum, b.loads)
	}
	return sum
}

// addLoads adds loads to sums. Adapters are joined: each counts as in use.
func addLoads(sums, loads map[string]pick.Load) {
	for id, l := range loads {
		s := sums[id]
		joined := s.Plus(l)
		joined.Adapters = append(slices.Clone(s.Adapters), l.Adapters...)
		slices.Sort(joined.Adapters)
		joined.Adapters = slices.Compact(joined.Adapters)
		sums[id] = joined
	}
}

// totals returns what all VMs together have at the servers, as this VM knows it.
func (p *Peers) totals() map[string]pick.Load {
	if p.Lease.Held(p.Now()) {
		return p.Controller.Loads()
	}
	inside := p.inside()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := make(map[string]pick.Load, len(p.outside))
	for _, part := range []map[string]pick.Load{inside, p.outside} {
		for id, l := range part {
			sum[id] = sum[id].Plus(l)
		}
	}
	return sum
}

// shareInside gives the choice of servers the load of all other VMs.
func (p *Peers) shareInside() {
	p.Book.Others(p.Now(), pick.Minus(p.totals(), p.Book.Own()))
}

// branchReport takes in what a VM that is linked to this relay told. It goes on
// to the controller with this VM's own report.
func (p *Peers) branchReport(vm string, r *wire.VMReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteBranch(vm, branch{loads: loadsOf(r.Loads), vms: r.Vms, relaying: r.Relaying})
	for _, w := range wantsOf(r.Wants) {
		p.addWant(w)
	}
	for _, id := range r.Doubts {
		p.addDoubt(id)
	}
}

// noteBranch replaces what is known of a branch. p.mu is held.
func (p *Peers) noteBranch(vm string, b branch) {
	if p.branches == nil {
		p.branches = make(map[string]branch)
	}
	p.branches[vm] = b
}

// addWant adds demand to what the controller will be told. p.mu is held.
func (p *Peers) addWant(w steer.Want) {
	if p.wants == nil {
		p.wants = make(map[wantKey]*steer.Want)
	}
	key := wantKey{w.Service, w.Model, w.Adapter}
	if sum := p.wants[key]; sum != nil {
		sum.Requests += w.Requests
		sum.Time += w.Time
		return
	}
	p.wants[key] = &w
}

// addDoubt adds a server to the doubts that the controller will be told. p.mu is
// held.
func (p *Peers) addDoubt(server string) {
	if p.doubts == nil {
		p.doubts = make(map[string]bool)
	}
	p.doubts[server] = true
}
