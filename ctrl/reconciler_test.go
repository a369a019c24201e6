package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	memoryBytes   = 100
	maxOrderDelay = 5 * time.Second
	// maxLeaseOverrun is how long a controller may continue after another has
	// replaced it, as it can be paused between its lease check and its step.
	maxLeaseOverrun = time.Second
)

// safeguards are the parts of the protocol that a simulation can disable to show
// that each is necessary.
type safeguards struct {
	ledgerWrite, fencing, delayWait bool
}

var allSafeguards = safeguards{ledgerWrite: true, fencing: true, delayWait: true}

// simulatedEngine is a model of an engine. It accepts orders from any controller
// unless it checks fencing tokens, and executes each order identifier once until
// it restarts. A restart clears its state except for the fencing token.
type simulatedEngine struct {
	checksFencing  bool
	fencingToken   int
	executedOrders map[string]bool
	residents      map[ctrl.Artifact]bool // false while loading
	overcommitted  bool
}

func (s *simulatedEngine) apply(o wire.Order, fencingToken int) {
	if s.checksFencing && fencingToken < s.fencingToken {
		return
	}
	s.fencingToken = max(s.fencingToken, fencingToken)
	if s.executedOrders[o.Order] {
		return
	}
	s.executedOrders[o.Order] = true
	a := ctrl.Artifact{Model: o.Model, Version: o.Version, Bytes: o.Bytes}
	switch o.Action {
	case wire.OrderActionLoad:
		if _, ok := s.residents[a]; !ok {
			s.residents[a] = false
		}
	case wire.OrderActionUnload:
		delete(s.residents, a)
	}
	used := 0
	for a := range s.residents {
		used += a.Bytes
	}
	s.overcommitted = s.overcommitted || used > memoryBytes
}

func (s *simulatedEngine) report() wire.LoadReport {
	r := wire.LoadReport{Fence: s.fencingToken}
	for a, loaded := range s.residents {
		state := wire.ResidentStateLoading
		if loaded {
			state = wire.ResidentStateLoaded
		}
		r.Residents = append(r.Residents, wire.Resident{Model: a.Model, Version: a.Version, Bytes: a.Bytes, State: state})
	}
	return r
}

// delivery is an order in flight.
type delivery struct {
	at           time.Time
	order        wire.Order
	fencingToken int
}

// simulation runs two controllers of one server over a store, with delayed,
// duplicated and lost orders, lost store responses, and controllers that pause
// or crash.
type simulation struct {
	rng         *rand.Rand
	enabled     safeguards
	now         time.Time
	engine      *simulatedEngine
	version     int
	ledger      wire.Ledger
	reconcilers [2]*ctrl.Reconciler
	newOrderID  func() string
	inFlight    []delivery
	wanted      []ctrl.Artifact
	// lastWriter is the controller that wrote last, and takeoverAt is when it
	// replaced the other one.
	lastWriter int
	takeoverAt time.Time
}

func newSimulation(seed uint64, fencing bool, enabled safeguards) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), enabled: enabled, now: time.Unix(1_000_000, 0),
		engine:     &simulatedEngine{checksFencing: fencing && enabled.fencing, executedOrders: map[string]bool{}, residents: map[ctrl.Artifact]bool{}},
		newOrderID: ctrl.NewOrderIDGenerator("o"),
	}
	for i := range sim.reconcilers {
		sim.reconcilers[i] = sim.newReconciler(fencing)
	}
	return sim
}

func (sim *simulation) newReconciler(fencing bool) *ctrl.Reconciler {
	orderDelay := maxOrderDelay
	if !sim.enabled.delayWait {
		orderDelay = 0
	}
	return &ctrl.Reconciler{Server: wire.Server{Name: "s", MemoryBytes: memoryBytes, ChecksFencing: fencing}, MaxOrderDelay: orderDelay}
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// drawWanted draws a new set of wanted models. Each needs 40 of the 100 bytes.
func (sim *simulation) drawWanted() {
	sim.wanted = nil
	for _, i := range sim.rng.Perm(5)[:2] {
		sim.wanted = append(sim.wanted, ctrl.Artifact{Model: fmt.Sprint("m", i), Version: 1, Bytes: 40})
	}
}

func (sim *simulation) step(faults bool) {
	sim.now = sim.now.Add(time.Duration(sim.rng.IntN(600)) * time.Millisecond)
	sim.deliverDue()
	for a, loaded := range sim.engine.residents {
		if !loaded && sim.chance(0.6) {
			sim.engine.residents[a] = true
		}
	}
	if sim.chance(0.1) && faults {
		sim.drawWanted()
	}
	if sim.chance(0.03) && faults {
		clear(sim.engine.executedOrders)
		clear(sim.engine.residents)
	}
	// Mostly the first controller acts. The second is its successor, or a
	// replaced controller that has not yet detected the loss of its lease.
	i := 0
	if faults && sim.chance(0.3) {
		i = 1
	}
	sim.controllerStep(i, faults)
}

func (sim *simulation) deliverDue() {
	remaining := sim.inFlight[:0]
	for _, d := range sim.inFlight {
		if d.at.After(sim.now) {
			remaining = append(remaining, d)
			continue
		}
		sim.engine.apply(d.order, d.fencingToken)
	}
	sim.inFlight = remaining
}

// controllerStep runs one step of a controller.
func (sim *simulation) controllerStep(i int, faults bool) {
	r := sim.reconcilers[i]
	// With servers that check fencing tokens, a replaced controller may continue
	// without limit. With other servers, its lease check stops it after
	// maxLeaseOverrun.
	leaseExpired := sim.lastWriter != i && sim.now.Sub(sim.takeoverAt) > maxLeaseOverrun
	if leaseExpired && !r.Server.ChecksFencing && sim.enabled.ledgerWrite {
		r.Reset(0, wire.Ledger{})
	}
	if r.FencingToken() == 0 {
		r.Reset(sim.version, sim.ledger)
	}
	next, changed := r.Reconcile(sim.now, sim.engine.report(), sim.wanted, func(ctrl.Artifact) bool { return true }, nil, sim.newOrderID)
	if changed && !sim.writeLedger(i, next, faults) && sim.enabled.ledgerWrite {
		return
	}
	for _, o := range r.DueOrders(sim.now) {
		sim.sendOrder(o, r.FencingToken(), faults)
	}
}

// writeLedger makes the conditional update. Its response may be lost.
func (sim *simulation) writeLedger(i int, next wire.Ledger, faults bool) bool {
	r := sim.reconcilers[i]
	if r.Version() != sim.version {
		if !sim.enabled.ledgerWrite {
			r.Committed(r.Version() + 1)
			return false
		}
		r.Reset(0, wire.Ledger{})
		return false
	}
	sim.version++
	sim.ledger = next
	if sim.lastWriter != i {
		sim.lastWriter, sim.takeoverAt = i, sim.now
	}
	if faults && sim.chance(0.1) {
		r.Reset(0, wire.Ledger{})
		return false
	}
	r.Committed(sim.version)
	return true
}

func (sim *simulation) sendOrder(o wire.Order, fencingToken int, faults bool) {
	if !faults {
		sim.engine.apply(o, fencingToken)
		return
	}
	switch sim.rng.IntN(5) {
	case 0: // lost
	case 1, 2: // delayed and duplicated
		for range 2 {
			delay := time.Duration(sim.rng.Int64N(int64(maxOrderDelay - maxLeaseOverrun)))
			sim.inFlight = append(sim.inFlight, delivery{sim.now.Add(delay), o, fencingToken})
		}
	default:
		sim.engine.apply(o, fencingToken)
	}
}

// converged reports whether the server and its ledger hold exactly the wanted
// models.
func (sim *simulation) converged() bool {
	for _, a := range sim.wanted {
		if !sim.engine.residents[a] {
			return false
		}
	}
	return len(sim.engine.residents) == len(sim.wanted) && len(sim.ledger.Holdings) == len(sim.wanted)
}

// run returns whether the memory was overcommitted, and whether the server held
// the wanted models after the faults had ended.
func (sim *simulation) run() (overcommitted, converged bool) {
	sim.drawWanted()
	for range 150 {
		sim.step(true)
	}
	for range 400 {
		sim.step(false)
		if sim.converged() && len(sim.inFlight) == 0 {
			break
		}
	}
	return sim.engine.overcommitted, sim.converged()
}

const simulationRuns = 1000

// Two controllers of one server act in turn on their cached state, while orders
// are lost, delayed and duplicated and responses of the store are lost. The
// server must never hold more than its memory, and after the faults end every
// intent must complete.
func TestMemoryNeverOvercommitted(t *testing.T) {
	for name, fencing := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simulationRuns) {
				overcommitted, converged := newSimulation(seed, fencing, allSafeguards).run()
				require.False(t, overcommitted, "seed %d", seed)
				require.True(t, converged, "seed %d: an intent is stuck", seed)
			}
		})
	}
}

// With any one safeguard disabled, some simulation must overcommit the memory.
// Otherwise the simulation could not detect a missing safeguard.
func TestMissingSafeguardOvercommits(t *testing.T) {
	cases := map[string]struct {
		fencing bool
		enabled safeguards
	}{
		"ledger write before order": {false, safeguards{fencing: true, delayWait: true}},
		"fencing token":             {true, safeguards{ledgerWrite: true, delayWait: true}},
		"wait for delayed orders":   {false, safeguards{ledgerWrite: true, fencing: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simulationRuns) {
				if overcommitted, _ := newSimulation(seed, c.fencing, c.enabled).run(); overcommitted {
					return
				}
			}
			t.Fatal("no simulation overcommitted the memory: the check can not fail")
		})
	}
}

func TestUnrecordedResidentsAreCounted(t *testing.T) {
	r := &ctrl.Reconciler{Server: wire.Server{MemoryBytes: memoryBytes}}
	r.Reset(0, wire.Ledger{})
	report := wire.LoadReport{Residents: []wire.Resident{{Model: "by-hand", Version: 1, Bytes: 70, State: wire.ResidentStateLoaded}}}
	next, changed := r.Reconcile(time.Unix(1, 0), report, []ctrl.Artifact{{Model: "m", Version: 1, Bytes: 40}},
		func(ctrl.Artifact) bool { return false }, nil, ctrl.NewOrderIDGenerator("o"))
	require.True(t, changed)
	require.Len(t, next.Holdings, 1, "the wanted model does not fit in addition to the manually loaded one")
	require.Equal(t, "by-hand", next.Holdings[0].Model)
}

func TestNoOrderBeforeLedgerWrite(t *testing.T) {
	r := &ctrl.Reconciler{Server: wire.Server{MemoryBytes: memoryBytes}}
	r.Reset(7, wire.Ledger{Holdings: []wire.Holding{{Model: "m", Version: 1, Bytes: 1, State: wire.HoldingStateLoading, Order: "x"}}})
	require.Empty(t, r.DueOrders(time.Unix(1, 0)), "a new controller sent an order before it wrote the ledger")
	r.Reconcile(time.Unix(1, 0), wire.LoadReport{}, []ctrl.Artifact{{Model: "m", Version: 1, Bytes: 1}}, nil, nil, ctrl.NewOrderIDGenerator("o"))
	r.Committed(8)
	orders := r.DueOrders(time.Unix(1, 0))
	require.Len(t, orders, 1)
	require.Equal(t, "x", orders[0].Order, "the order of a recorded intent must keep its identifier")
	require.Empty(t, r.DueOrders(time.Unix(1, 0)), "an order was resent before its back-off")
	require.Len(t, r.DueOrders(time.Unix(2, 0)), 1)
}
