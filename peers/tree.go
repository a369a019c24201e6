package peers

import (
	"context"
	"time"

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
)

// relayExtraAge returns how much older the data of a relay may be than that of the controller, for a
// number of servers.
func relayExtraAge(servers int) time.Duration {
	return min(minRelayExtraAge+time.Duration(servers)*relayExtraAgePerServer, maxRelayExtraAge)
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
