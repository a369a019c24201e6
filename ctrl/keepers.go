package ctrl

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Keepers decides which replicas of models may be unloaded. One object in the
// platform lists the pinned replicas; only a replica without a pin may be
// unloaded. The controller of each failure domain adds and removes the pins of
// its own domain's servers, and unpins a loaded replica only while another
// pinned replica of the model remains. As all controllers write one object by
// conditional update, two domains can not unpin the last two replicas
// concurrently.
//
// Domain and Controller must be set.
type Keepers struct {
	Domain string
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

// Copy is a replica of a model on a server.
type Copy struct {
	Model  string
	Server string
}

// Load replaces the cached object with the one read from the platform.
func (k *Keepers) Load(version int, doc wire.Keepers) {
	k.version, k.stored = version, doc
}

// Version returns the version that the next update is conditional on.
func (k *Keepers) Version() int { return k.version }

func (k *Keepers) registeredController() string {
	for _, e := range k.stored.Epochs {
		if e.FailureDomain == k.Domain {
			return e.Controller
		}
	}
	return ""
}

// Revise returns the next object. It pins the loaded replicas on the domain's
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
func (k *Keepers) Revise(servers []string, loaded, toUnload []Copy, alive func(Copy) bool) (wire.Keepers, bool) {
	if k.Succeeded() {
		return k.stored, false
	}
	next := wire.Keepers{Keepers: []wire.Keeper{}, Epochs: []wire.Epoch{}}
	for _, c := range k.stored.Keepers {
		ownServer := slices.Contains(servers, c.Server)
		if !ownServer || slices.Contains(loaded, Copy(c)) {
			next.Keepers = append(next.Keepers, c)
		}
	}
	for _, c := range loaded {
		if !slices.Contains(next.Keepers, wire.Keeper(c)) && !slices.Contains(toUnload, c) {
			next.Keepers = append(next.Keepers, wire.Keeper(c))
		}
	}
	for _, c := range toUnload {
		if otherReplicaAlive(next.Keepers, c, alive) {
			next.Keepers = slices.DeleteFunc(next.Keepers, func(x wire.Keeper) bool { return Copy(x) == c })
		}
	}
	next.Epochs = k.epochsWithOwn()
	changed := !slices.Equal(next.Keepers, k.stored.Keepers) || !slices.Equal(next.Epochs, k.stored.Epochs)
	k.proposed = next
	return next, changed
}

// otherReplicaAlive reports whether the model has another pinned replica that is
// alive.
func otherReplicaAlive(pins []wire.Keeper, c Copy, alive func(Copy) bool) bool {
	return slices.ContainsFunc(pins, func(x wire.Keeper) bool {
		return x.Model == c.Model && x.Server != c.Server && alive(Copy(x))
	})
}

func (k *Keepers) epochsWithOwn() []wire.Epoch {
	epochs := []wire.Epoch{}
	for _, e := range k.stored.Epochs {
		if e.FailureDomain != k.Domain {
			epochs = append(epochs, e)
		}
	}
	return append(epochs, wire.Epoch{FailureDomain: k.Domain, Controller: k.Controller})
}

// Written records that the platform stored the object of the last Revise under a
// version.
func (k *Keepers) Written(version int) {
	k.version, k.stored, k.registered = version, k.proposed, true
}

// Succeeded reports whether another controller has registered for the domain
// after this one.
func (k *Keepers) Succeeded() bool { return k.registered && k.registeredController() != k.Controller }

// Keeps reports whether a replica is pinned.
func (k *Keepers) Keeps(c Copy) bool { return slices.Contains(k.stored.Keepers, wire.Keeper(c)) }

// MayUnload reports whether a replica on a server of the domain may be unloaded:
// it is not pinned, and only this controller can pin it.
func (k *Keepers) MayUnload(c Copy) bool {
	return k.registered && k.registeredController() == k.Controller && !slices.Contains(k.stored.Keepers, wire.Keeper(c))
}
