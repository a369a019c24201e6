package ctrl

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// ReplicaPins decides which replicas of models may be unloaded. One object in
// the platform lists the pinned replicas; only a replica without a pin may be
// unloaded. The controller of each failure domain adds and removes the pins of
// its own domain's servers, and unpins a loaded replica only while another
// pinned replica of the model remains. As all controllers write one object by
// conditional update, two domains cannot unpin the last two replicas
// concurrently.
//
// FailureDomain and Controller must be set.
type ReplicaPins struct {
	FailureDomain string
	// Controller is unique to one run of a controller. A succeeding controller
	// registers its own in the object, which makes the state that a paused
	// predecessor has read stale.
	Controller string

	version  int
	stored   wire.Keepers
	proposed wire.Keepers
	// registered is set once this controller's registration is stored.
	registered bool
}

// Replica identifies the replica of a model on a server.
type Replica struct {
	Model  string
	Server string
}

// Reset replaces the cached object with the one read from the platform.
func (p *ReplicaPins) Reset(version int, doc wire.Keepers) {
	p.version, p.stored = version, doc
}

// Version returns the version that the next update is conditional on.
func (p *ReplicaPins) Version() int { return p.version }

func (p *ReplicaPins) registeredController() string {
	for _, e := range p.stored.Epochs {
		if e.FailureDomain == p.FailureDomain {
			return e.Controller
		}
	}
	return ""
}

// Propose returns the next object. It pins the loaded replicas on the domain's
// servers, removes the pins of replicas that are not loaded any more, and
// removes those of toUnload where another pinned replica of the model is alive.
// It reports whether the object must be written.
//
// loaded must come from ledgers that this controller has written in its current
// term. A paused predecessor could still update any other ledger, and unload a
// replica that was just pinned.
//
// After another controller has registered for the domain, this one changes
// nothing.
func (p *ReplicaPins) Propose(servers []string, loaded, toUnload []Replica, alive func(Replica) bool) (wire.Keepers, bool) {
	if p.Superseded() {
		return p.stored, false
	}
	next := wire.Keepers{Keepers: []wire.Keeper{}, Epochs: []wire.Epoch{}}
	for _, r := range p.stored.Keepers {
		ownServer := slices.Contains(servers, r.Server)
		if !ownServer || slices.Contains(loaded, Replica(r)) {
			next.Keepers = append(next.Keepers, r)
		}
	}
	for _, r := range loaded {
		if !slices.Contains(next.Keepers, wire.Keeper(r)) && !slices.Contains(toUnload, r) {
			next.Keepers = append(next.Keepers, wire.Keeper(r))
		}
	}
	for _, r := range toUnload {
		if otherReplicaAlive(next.Keepers, r, alive) {
			next.Keepers = slices.DeleteFunc(next.Keepers, func(x wire.Keeper) bool { return Replica(x) == r })
		}
	}
	next.Epochs = p.epochsWithOwn()
	changed := !slices.Equal(next.Keepers, p.stored.Keepers) || !slices.Equal(next.Epochs, p.stored.Epochs)
	p.proposed = next
	return next, changed
}

// otherReplicaAlive reports whether the model has another pinned replica that is
// alive.
func otherReplicaAlive(pins []wire.Keeper, r Replica, alive func(Replica) bool) bool {
	return slices.ContainsFunc(pins, func(x wire.Keeper) bool {
		return x.Model == r.Model && x.Server != r.Server && alive(Replica(x))
	})
}

func (p *ReplicaPins) epochsWithOwn() []wire.Epoch {
	epochs := []wire.Epoch{}
	for _, e := range p.stored.Epochs {
		if e.FailureDomain != p.FailureDomain {
			epochs = append(epochs, e)
		}
	}
	return append(epochs, wire.Epoch{FailureDomain: p.FailureDomain, Controller: p.Controller})
}

// Committed records that the platform stored the object of the last Propose
// under a version.
func (p *ReplicaPins) Committed(version int) {
	p.version, p.stored, p.registered = version, p.proposed, true
}

// Superseded reports whether another controller has registered for the domain
// after this one.
func (p *ReplicaPins) Superseded() bool {
	return p.registered && p.registeredController() != p.Controller
}

// Pinned reports whether a replica is pinned.
func (p *ReplicaPins) Pinned(r Replica) bool {
	return slices.Contains(p.stored.Keepers, wire.Keeper(r))
}

// MayUnload reports whether a replica on a server of the domain may be unloaded:
// it is not pinned, and only this controller can pin it.
func (p *ReplicaPins) MayUnload(r Replica) bool {
	return p.registered && p.registeredController() == p.Controller && !slices.Contains(p.stored.Keepers, wire.Keeper(r))
}
