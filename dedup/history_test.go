package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// variant selects a correct or a deliberately broken protocol. The broken ones
// show that the checker detects violations.
type variant int

const (
	correct variant = iota
	// grantBeforeCommit reports a grant before the response to the update.
	grantBeforeCommit
	// unconditionalWrite writes the head whatever its version.
	unconditionalWrite
)

// operationKind is the type of an operation in the history.
type operationKind int

const (
	opClaim operationKind = iota
	// opLateGrant is the update of a refused claim, which may take effect late.
	opLateGrant
	opRelease
	opFinish
)

// operation is the input of one operation on one key.
type operation struct {
	kind  operationKind
	key   int
	grant string
}

// keyState is the state of one key in the model: free, granted or finished.
type keyState struct {
	grant    string
	finished bool
}

// model defines the permitted verdicts: a claim is granted only while the key
// is free, and refused as used only while it is not. Releases and late effects
// of refused claims occur at any time after the call, or never.
var model = (&porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyState{}} },
	Step:      func(s, in, out any) []any { return stepModel(s.(keyState), in.(operation), out.(dedup.Verdict)) },
}).ToModel()

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, simKeys)
	for _, o := range history {
		key := o.Input.(operation).key
		parts[key] = append(parts[key], o)
	}
	return parts
}

func stepModel(s keyState, in operation, out dedup.Verdict) []any {
	free := s.grant == ""
	heldByGrant := s.grant == in.grant && !s.finished
	switch in.kind {
	case opClaim:
		switch out {
		case dedup.Granted:
			if free {
				return []any{keyState{grant: in.grant}}
			}
			return nil
		case dedup.Unavailable:
			return []any{s}
		}
		if free {
			return nil
		}
		return []any{s}
	case opLateGrant:
		if free {
			return []any{s, keyState{grant: in.grant}}
		}
	case opRelease:
		if heldByGrant {
			return []any{s, keyState{}}
		}
	case opFinish:
		if heldByGrant {
			return []any{s, keyState{grant: s.grant, finished: true}}
		}
	}
	return []any{s}
}

const (
	simKeys       = 3
	simVMs        = 3
	simSteps      = 120
	simClaims     = 24
	neverReturned = int64(1) << 40
)

// vm is one VM that writes the shard.
type vm struct {
	shard *dedup.Shard
	// receiveResponse, when set, delivers the response to the VM's update. The VM
	// is paused until then.
	receiveResponse func()
	pausedUntil     int
}

// pendingClaim is a claim that a caller waits for.
type pendingClaim struct {
	request  dedup.Request
	key      int
	vmIndex  int
	calledAt int64
}

// lateUpdate is an update that reaches the store long after it was sent.
type lateUpdate struct {
	deliveryStep int
	batch        dedup.Batch
}

// sim simulates claims on several VMs with one store.
type sim struct {
	t           *testing.T
	rng         *rand.Rand
	variant     variant
	store       *memoryStore
	vms         [simVMs]*vm
	pending     map[string]pendingClaim
	granted     []pendingClaim
	lateUpdates []lateUpdate
	history     []porcupine.Operation
	runs        map[int]int
	now         time.Time
	logicalTime int64
	grantCount  int
}

func newSim(t *testing.T, seed uint64, v variant) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), variant: v, store: newMemoryStore(),
		pending: make(map[string]pendingClaim), runs: make(map[int]int), now: start,
	}
	for i := range s.vms {
		s.vms[i] = &vm{shard: &dedup.Shard{MaxHeadClaims: 4}}
	}
	return s
}

func (s *sim) tick() int64 {
	s.logicalTime++
	return s.logicalTime
}

func (s *sim) record(o operation, calledAt, returnedAt int64, v dedup.Verdict) {
	s.history = append(s.history, porcupine.Operation{ClientId: len(s.history), Input: o, Call: calledAt, Output: v, Return: returnedAt})
}

// recordDeferred records an operation that may take effect at any later time.
func (s *sim) recordDeferred(kind operationKind, claim pendingClaim, calledAt int64) {
	s.record(operation{kind: kind, key: claim.key, grant: claim.request.GrantID}, calledAt, neverReturned, dedup.Unavailable)
}

func (s *sim) run() {
	for step := range simSteps {
		s.now = s.now.Add(time.Duration(s.rng.IntN(300)) * time.Millisecond)
		s.deliverLateUpdates(step)
		switch i := s.rng.IntN(simVMs); s.rng.IntN(5) {
		case 0:
			s.submitClaim(i)
		case 1:
			s.finishGranted()
		case 2:
			s.cancelPending()
		default:
			s.stepVM(step, i)
		}
	}
}

// submitClaim submits a claim to a VM.
func (s *sim) submitClaim(i int) {
	if s.grantCount >= simClaims {
		return
	}
	s.grantCount++
	key := s.rng.IntN(simKeys)
	claim := pendingClaim{request: request(key, s.grantCount), key: key, vmIndex: i, calledAt: s.tick()}
	d, decided := s.vms[i].shard.Propose(s.now, claim.request)
	if decided {
		s.recordDecision(claim, d)
		return
	}
	s.pending[claim.request.GrantID] = claim
}

// recordDecision records the decision that the caller receives.
func (s *sim) recordDecision(claim pendingClaim, d dedup.Decision) {
	delete(s.pending, claim.request.GrantID)
	s.record(operation{kind: opClaim, key: claim.key, grant: claim.request.GrantID}, claim.calledAt, s.tick(), d.Verdict)
	switch d.Verdict {
	case dedup.Granted:
		s.granted = append(s.granted, claim)
	case dedup.Unavailable:
		s.recordDeferred(opLateGrant, claim, claim.calledAt)
		s.recordDeferred(opRelease, claim, claim.calledAt)
	}
}

func (s *sim) recordReplies(replies []dedup.Reply) {
	for _, r := range replies {
		if claim, waits := s.pending[r.GrantID]; waits {
			s.recordDecision(claim, r.Decision)
		}
	}
}

// finishGranted completes a granted request, cancels it or simulates a crash
// of its VM.
func (s *sim) finishGranted() {
	if len(s.granted) == 0 {
		return
	}
	i := s.rng.IntN(len(s.granted))
	claim := s.granted[i]
	s.granted = append(s.granted[:i], s.granted[i+1:]...)
	shard := s.vms[s.rng.IntN(simVMs)].shard
	switch s.rng.IntN(4) {
	case 0:
		s.recordDeferred(opRelease, claim, s.tick())
		shard.Cancel(s.now, claim.request)
	case 1: // the VM crashes after it has sent the request
		s.runs[claim.key]++
	default:
		s.runs[claim.key]++
		s.recordDeferred(opFinish, claim, s.tick())
		shard.RecordOutcome(s.now, claim.request, wire.ClaimStateDone, "")
	}
}

// cancelPending cancels a caller's wait before the decision.
func (s *sim) cancelPending() {
	for _, grant := range s.pendingGrants() {
		claim := s.pending[grant]
		s.vms[claim.vmIndex].shard.Cancel(s.now, claim.request)
		s.recordDecision(claim, dedup.Decision{Verdict: dedup.Unavailable})
		return
	}
}

func (s *sim) pendingGrants() []string {
	var grants []string
	for g := 1; g <= s.grantCount; g++ {
		if _, ok := s.pending[fmt.Sprint("g", g)]; ok {
			grants = append(grants, fmt.Sprint("g", g))
		}
	}
	return grants
}

// stepVM runs one step of a VM.
func (s *sim) stepVM(step, i int) {
	n := s.vms[i]
	if n.pausedUntil > step {
		return
	}
	if n.receiveResponse != nil {
		n.receiveResponse()
		n.receiveResponse = nil
		return
	}
	if !n.shard.Loaded() {
		s.recordReplies(s.store.load(s.now, n.shard))
		return
	}
	s.store.maintain(s.now, n.shard)
	if n.shard.CanWrite() {
		s.sendUpdate(step, n)
	}
}

// sendUpdate sends one update with a randomly chosen result.
func (s *sim) sendUpdate(step int, n *vm) {
	b := n.shard.NextBatch(s.now)
	if s.variant == unconditionalWrite {
		b.IfVersion = s.store.version
	}
	if s.variant == grantBeforeCommit {
		for _, grant := range s.pendingGrants() {
			if claim := s.pending[grant]; s.vms[claim.vmIndex] == n && batchContains(b, claim) {
				s.recordDecision(claim, dedup.Decision{Verdict: dedup.Granted, GrantID: grant})
			}
		}
	}
	switch s.rng.IntN(10) {
	case 0: // no effect, and the VM receives the error
		n.shard.BatchFailed()
		s.recordReplies(n.shard.RefuseAll(s.now))
	case 1: // no effect, and the response is lost
		s.loseResponse(n)
	case 2: // takes effect late, and the response is lost
		s.lateUpdates = append(s.lateUpdates, lateUpdate{deliveryStep: step + s.rng.IntN(30), batch: b})
		s.loseResponse(n)
	case 3: // takes effect, and the response is lost
		s.store.put(b)
		s.loseResponse(n)
	default:
		won := s.store.put(b)
		version := s.store.version
		n.receiveResponse = func() { s.handleResponse(n, won, version) }
		n.pausedUntil = step + s.rng.IntN(12)
	}
}

func batchContains(b dedup.Batch, claim pendingClaim) bool {
	for _, c := range b.Recent {
		if c.Grant == claim.request.GrantID {
			return true
		}
	}
	return false
}

func (s *sim) loseResponse(n *vm) {
	n.shard.Invalidate()
}

// handleResponse processes the response to a VM's update.
func (s *sim) handleResponse(n *vm, won bool, version int) {
	if !won {
		n.shard.Invalidate()
		return
	}
	s.recordReplies(n.shard.BatchCommitted(s.now, version))
}

func (s *sim) deliverLateUpdates(step int) {
	undelivered := s.lateUpdates[:0]
	for _, u := range s.lateUpdates {
		if u.deliveryStep > step {
			undelivered = append(undelivered, u)
			continue
		}
		s.store.put(u.batch)
	}
	s.lateUpdates = undelivered
}

// closePending records the calls without a decision as unavailable.
func (s *sim) closePending() {
	for _, grant := range s.pendingGrants() {
		s.recordDecision(s.pending[grant], dedup.Decision{Verdict: dedup.Unavailable})
	}
}

// atMostOnce reports whether no key ran twice.
func (s *sim) atMostOnce() bool {
	for _, n := range s.runs {
		if n > 1 {
			return false
		}
	}
	return true
}

const simHistories = 3000

// TestNoKeyRunsTwiceUnderFaults runs claims of few keys on three VMs that all
// write the shard. Updates fail, lose their responses or take effect long
// after they were sent, and VMs are paused before they receive a response. No
// key may run twice, and the model must permit each history.
func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(simHistories) {
		s := newSim(t, seed, correct)
		s.run()
		s.closePending()
		require.True(t, s.atMostOnce(), "seed %d", seed)
		require.True(t, porcupine.CheckOperations(model, s.history), "seed %d", seed)
	}
}

// TestCheckerFindsBrokenProtocol checks that omitting either part of the
// protocol produces a history that violates the model, so the checker is able
// to fail.
func TestCheckerFindsBrokenProtocol(t *testing.T) {
	for name, v := range map[string]variant{"grant before commit": grantBeforeCommit, "unconditional write": unconditionalWrite} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simHistories) {
				s := newSim(t, seed, v)
				s.run()
				s.closePending()
				if !s.atMostOnce() && !porcupine.CheckOperations(model, s.history) {
					return
				}
			}
			t.Fatal("no broken history was detected: the checker can not fail")
		})
	}
}
