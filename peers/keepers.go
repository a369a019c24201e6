package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM that keeps origins for others is named to all VMs as a keeper. Hubs collect the keepers of their subtrees in
// the reports, and the controller's list goes down all links, whole and only when it has changed: a list in every
// frame would be the larger part of it.

const (
	// maxKeepers bounds the keepers in a report or list, and with them the size of a frame. Each failure domain
	// has an equal part of them.
	maxKeepers = 128
	// keeperLinger is how long a VM that is no longer named is still asked and told. A new controller names
	// few VMs until all have linked to it, which takes them a second or two.
	keeperLinger = 5 * time.Second
	// keeperMemory is how long one is known as a VM that may be asked for the lease record.
	keeperMemory = 10 * time.Minute
	// keeperUpdateInterval is how long a list is used before it is made anew: it is used for each stream.
	keeperUpdateInterval = 100 * time.Millisecond
)

// keeperList holds the keepers that this VM knows. The zero value is ready to use. Peers.mu must be held.
type keeperList struct {
	// named is the list that the hub sent last, sent the list last sent on all links and reported the one last
	// reported to the hub.
	named, sent, reported []wire.OriginKeeper
	// lostAt is when a keeper was named last, for those that are named no more.
	lostAt map[wire.OriginKeeper]time.Time
	// current is the list that update recorded last, at currentAt, and keepers what it returned.
	current   []wire.OriginKeeper
	currentAt time.Time
	keepers   []origin.Keeper
	// subtree is the list of this VM's subtree, made anew when subtreeChanged is set.
	subtree        []wire.OriginKeeper
	subtreeChanged bool
}

// update records a list and returns its keepers with those that were on it until shortly before now. It is called
// whenever the list changes.
func (k *keeperList) update(now time.Time, list []wire.OriginKeeper) []origin.Keeper {
	for _, keeper := range k.current {
		if !slices.Contains(list, keeper) {
			if k.lostAt == nil {
				k.lostAt = make(map[wire.OriginKeeper]time.Time)
			}
			k.lostAt[keeper] = now
		}
	}
	k.current, k.currentAt = list, now
	for keeper, at := range k.lostAt {
		if now.Sub(at) >= keeperMemory || slices.Contains(list, keeper) {
			delete(k.lostAt, keeper)
		}
	}
	k.boundLost()
	keepers := make([]origin.Keeper, 0, len(list)+len(k.lostAt))
	for _, keeper := range list {
		keepers = append(keepers, origin.Keeper{Address: keeper.Address, Domain: keeper.Domain})
	}
	for keeper, at := range k.lostAt {
		if now.Sub(at) < keeperLinger {
			keepers = append(keepers, origin.Keeper{Address: keeper.Address, Domain: keeper.Domain})
		}
	}
	k.keepers = keepers
	return keepers
}

// boundLost forgets the keepers that were lost first, of more than maxKeepers.
func (k *keeperList) boundLost() {
	for len(k.lostAt) > maxKeepers {
		var first wire.OriginKeeper
		for keeper, at := range k.lostAt {
			if lostAt, ok := k.lostAt[first]; !ok || at.Before(lostAt) {
				first = keeper
			}
		}
		delete(k.lostAt, first)
	}
}

// OriginKeepers returns the VMs that keep origins. This VM may be one of them.
func (p *Peers) OriginKeepers(now time.Time) []origin.Keeper {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since := now.Sub(p.keepers.currentAt); since >= 0 && since < keeperUpdateInterval {
		return p.keepers.keepers
	}
	return p.keepers.update(now, p.fleetKeepers())
}

// fleetKeepers returns the keepers of the whole fleet as far as this VM knows them: the list of its hub, or that of
// its subtree if it has none. p.mu must be held.
func (p *Peers) fleetKeepers() []wire.OriginKeeper {
	if len(p.keepers.named) > 0 {
		return p.keepers.named
	}
	return p.subtreeKeepers()
}

// subtreeKeepers returns the keepers of this VM's subtree, itself among them. p.mu must be held.
func (p *Peers) subtreeKeepers() []wire.OriginKeeper {
	if p.keepers.subtree != nil && !p.keepers.subtreeChanged {
		return p.keepers.subtree
	}
	p.keepers.subtreeChanged = false
	var list []wire.OriginKeeper
	if p.KeepsOrigins {
		list = append(list, wire.OriginKeeper{Address: p.Address, Domain: p.Domain})
	}
	for d := range p.links {
		if d.hello.ZKeepsOrigins && d.hello.Address != "" {
			list = append(list, wire.OriginKeeper{Address: d.hello.Address, Domain: d.hello.FailureDomain})
		}
		list = append(list, p.subtrees[d.vm].keepers...)
	}
	p.keepers.subtree = boundKeepers(list)
	return p.keepers.subtree
}

// boundKeepers returns a list sorted and without duplicates. Of too many keepers those of each domain stay whose
// addresses rank first, so that all VMs that choose from the same fleet choose alike.
func boundKeepers(list []wire.OriginKeeper) []wire.OriginKeeper {
	slices.SortFunc(list, func(a, b wire.OriginKeeper) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)), cmp.Compare(a.Address, b.Address))
	})
	list = slices.Compact(list)
	if len(list) <= maxKeepers {
		return list
	}
	perDomain := make(map[string]int)
	for _, k := range list {
		perDomain[k.Domain]++
	}
	part := max(maxKeepers/len(perDomain), 1)
	clear(perDomain)
	return slices.DeleteFunc(list, func(k wire.OriginKeeper) bool {
		perDomain[k.Domain]++
		return perDomain[k.Domain] > part
	})
}

// takeChangedKeepers returns the keepers to send on all links, nil if they have not changed since it was called
// last. p.mu must be held.
func (p *Peers) takeChangedKeepers() []wire.OriginKeeper {
	list := p.fleetKeepers()
	p.keepers.update(p.Now(), list)
	if slices.Equal(list, p.keepers.sent) {
		return nil
	}
	p.keepers.sent = list
	return list
}

// takeKeeperReport returns the keepers of this VM's subtree to report to the hub, nil if they have not changed
// since they were reported last. p.mu must be held.
func (p *Peers) takeKeeperReport() []wire.OriginKeeper {
	if len(p.links) == 0 && p.keepers.reported == nil {
		// The hub knows this VM from its greeting.
		return nil
	}
	list := p.subtreeKeepers()
	if slices.Equal(list, p.keepers.reported) {
		return nil
	}
	p.keepers.reported = list
	return list
}

// AcceptedKeys returns the keys of the current term and of the one before: not all VMs learn of a new controller at
// the same time.
func (l *Lease) AcceptedKeys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []string{l.record.Key, l.previousKey}
}
