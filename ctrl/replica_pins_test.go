package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// pinSimulation runs the controllers of three failure domains, each with a
// replaced predecessor that may act at any time, over models with replicas on
// several servers. The controllers unload and reload random replicas.
type pinSimulation struct {
	rng          *rand.Rand
	pinsEnforced bool
	version      int
	stored       wire.Keepers
	// ledgerVersions counts the writes of each server's ledger. A controller
	// must update the ledger before it unloads.
	ledgerVersions map[string]int
	loaded         map[ctrl.Replica]bool
	controllers    []*simulatedController
}

// simulatedController is one controller with the state that it has read.
type simulatedController struct {
	pins           *ctrl.ReplicaPins
	servers        []string
	ledgerVersions map[string]int
	loaded         map[ctrl.Replica]bool
	toUnload       []ctrl.Replica
	hasRead        bool
}

const modelCount = 3

func newPinSimulation(seed uint64, pinsEnforced bool) *pinSimulation {
	sim := &pinSimulation{
		rng: rand.New(rand.NewPCG(seed, 2)), pinsEnforced: pinsEnforced,
		ledgerVersions: make(map[string]int), loaded: make(map[ctrl.Replica]bool),
	}
	for d := range 3 {
		servers := []string{fmt.Sprint("s", d, "a"), fmt.Sprint("s", d, "b")}
		for i := range 2 {
			sim.controllers = append(sim.controllers, &simulatedController{
				pins: &ctrl.ReplicaPins{FailureDomain: fmt.Sprint("d", d), Controller: fmt.Sprint("c", d, i)}, servers: servers,
			})
		}
		for _, s := range servers {
			for m := range modelCount {
				sim.loaded[ctrl.Replica{Model: fmt.Sprint("m", m), Server: s}] = true
			}
		}
	}
	return sim
}

func (sim *pinSimulation) replicasOn(loaded map[ctrl.Replica]bool, servers []string) []ctrl.Replica {
	var all []ctrl.Replica
	for m := range modelCount {
		for _, s := range servers {
			if r := (ctrl.Replica{Model: fmt.Sprint("m", m), Server: s}); loaded[r] {
				all = append(all, r)
			}
		}
	}
	return all
}

// step lets one controller read, write, unload or reload. Steps of different
// controllers interleave at random.
func (sim *pinSimulation) step() {
	c := sim.controllers[sim.rng.IntN(len(sim.controllers))]
	switch sim.rng.IntN(4) {
	case 0:
		c.readState(sim)
	case 1:
		c.writePins(sim)
	case 2:
		c.unload(sim)
	default:
		c.reload(sim)
	}
}

// readState reads the pins and the replicas on the domain's servers, and writes
// the servers' ledgers, so that concurrent updates of them by other controllers
// fail.
func (c *simulatedController) readState(sim *pinSimulation) {
	c.pins.Reset(sim.version, sim.stored)
	c.ledgerVersions, c.loaded, c.hasRead = make(map[string]int), make(map[ctrl.Replica]bool), true
	for _, s := range c.servers {
		sim.ledgerVersions[s]++
		c.ledgerVersions[s] = sim.ledgerVersions[s]
	}
	for _, r := range sim.replicasOn(sim.loaded, c.servers) {
		c.loaded[r] = true
	}
	replicas := sim.replicasOn(c.loaded, c.servers)
	c.toUnload = nil
	for _, r := range replicas {
		if sim.rng.IntN(2) == 0 {
			c.toUnload = append(c.toUnload, r)
		}
	}
}

// writePins writes the pins. The response may be lost.
func (c *simulatedController) writePins(sim *pinSimulation) {
	if !c.hasRead {
		return
	}
	next, changed := c.pins.Propose(c.servers, sim.replicasOn(c.loaded, c.servers), c.toUnload, func(ctrl.Replica) bool { return true })
	if !changed || c.pins.Version() != sim.version {
		return
	}
	sim.version++
	sim.stored = next
	if sim.rng.IntN(5) > 0 {
		c.pins.Committed(sim.version)
	}
}

// unload unloads the replicas that may be unloaded, after an update of the
// server's ledger.
func (c *simulatedController) unload(sim *pinSimulation) {
	for _, r := range c.toUnload {
		if sim.pinsEnforced && !c.pins.MayUnload(r) || c.ledgerVersions[r.Server] != sim.ledgerVersions[r.Server] {
			continue
		}
		sim.ledgerVersions[r.Server]++
		c.ledgerVersions[r.Server]++
		delete(sim.loaded, r)
		delete(c.loaded, r)
	}
}

// reload loads the domain's replicas again.
func (c *simulatedController) reload(sim *pinSimulation) {
	for _, s := range c.servers {
		if c.ledgerVersions[s] != sim.ledgerVersions[s] || sim.rng.IntN(2) == 0 || !c.hasRead {
			continue
		}
		sim.ledgerVersions[s]++
		c.ledgerVersions[s]++
		for m := range modelCount {
			r := ctrl.Replica{Model: fmt.Sprint("m", m), Server: s}
			sim.loaded[r] = true
			c.loaded[r] = true
		}
	}
}

func (sim *pinSimulation) everyModelLoaded() bool {
	for m := range modelCount {
		found := false
		for r := range sim.loaded {
			found = found || r.Model == fmt.Sprint("m", m)
		}
		if !found {
			return false
		}
	}
	return true
}

func (sim *pinSimulation) run() bool {
	for range 400 {
		sim.step()
		if !sim.everyModelLoaded() {
			return false
		}
	}
	return true
}

// Controllers of several domains and their paused predecessors unload replicas
// concurrently, each on the state that it has read. Some server must hold each
// model at all times. Without pins, two domains unload the last two replicas
// concurrently, each relying on the replica of the other.
func TestLastReplicaStays(t *testing.T) {
	for seed := range uint64(simulationRuns) {
		require.True(t, newPinSimulation(seed, true).run(), "seed %d", seed)
	}
	for seed := range uint64(simulationRuns) {
		if !newPinSimulation(seed, false).run() {
			return
		}
	}
	t.Fatal("no simulation without pins lost a model: the check can not fail")
}

// Domains acquire and return loads on the state that they have read, and some
// are partitioned and keep their share. The sum of the shares must stay within
// the limits, and when the others want nothing one domain must get all loads.
func TestBudgetNeverExceeded(t *testing.T) {
	const limit = 4
	for seed := range uint64(simulationRuns) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var doc wire.Budget
		version := 0
		var budgets []*ctrl.Budget
		for d := range 5 {
			budgets = append(budgets, &ctrl.Budget{FailureDomain: fmt.Sprint("d", d), ModelLimit: limit, AdapterLimit: 7})
		}
		for range 200 {
			b := budgets[rng.IntN(len(budgets))]
			if rng.IntN(2) == 0 {
				b.Reset(version, doc)
				continue
			}
			share := b.Share()
			inProgress := ctrl.LoadQuota{Models: rng.IntN(share.Models + 1), Adapters: rng.IntN(share.Adapters + 1)}
			next, changed := b.Propose(ctrl.LoadQuota{Models: rng.IntN(6), Adapters: rng.IntN(9)}, inProgress)
			if !changed || b.Version() != version {
				continue
			}
			version++
			doc = next
			b.Committed(version)
			require.GreaterOrEqual(t, b.Share().Models, inProgress.Models)
			loads, adapters := 0, 0
			for _, s := range doc.Shares {
				loads += s.Loads
				adapters += s.Adapters
			}
			require.LessOrEqual(t, loads, limit, "seed %d", seed)
			require.LessOrEqual(t, adapters, 7, "seed %d", seed)
		}
		for _, b := range append(slices.Clone(budgets[1:]), budgets[0]) {
			b.Reset(version, doc)
			wanted := ctrl.LoadQuota{}
			if b == budgets[0] {
				wanted.Models = limit
			}
			if next, changed := b.Propose(wanted, ctrl.LoadQuota{}); changed {
				version++
				doc = next
				b.Committed(version)
			}
		}
		require.Equal(t, limit, budgets[0].Share().Models)
	}
}
