package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/member"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	roundLength = 500 * time.Millisecond
	silence     = 6 * time.Second
	budget      = 1500
)

var start = time.Unix(1_000_000, 0)

func size(h wire.Heartbeat) int { return 60 + len(h.Node) + len(h.FailureDomain) + len(h.PeerAddress) }

// fleet runs the lists of several VMs over a network that loses, delays, duplicates and
// reorders messages.
type fleet struct {
	rng   *rand.Rand
	now   time.Time
	vms   map[string]*vm
	names []string
	// blocked reports whether messages from one VM to another are lost.
	blocked   func(from, to string) bool
	faulty    bool
	inTransit []delivery
	bytes     int
}

type vm struct {
	list      *member.List
	heartbeat wire.Heartbeat
	running   bool
}

type delivery struct {
	arrivesAt  time.Time
	to         string
	heartbeats []wire.Heartbeat
}

func newFleet(seed uint64, domains, perDomain int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 4)), now: start, vms: make(map[string]*vm), faulty: true}
	f.blocked = func(string, string) bool { return false }
	var docs []wire.VM
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("d%d-%d", d, i)
			docs = append(docs, wire.VM{Name: name, FailureDomain: fmt.Sprint("d", d), PeerAddress: name})
			f.names = append(f.names, name)
		}
	}
	for _, doc := range docs {
		f.boot(doc, 1)
		f.vms[doc.Name].list.MergePlatformList(f.now, docs)
	}
	return f
}

// boot starts or restarts a VM.
func (f *fleet) boot(doc wire.VM, incarnation int) {
	f.vms[doc.Name] = &vm{
		list: &member.List{Name: doc.Name, Domain: doc.FailureDomain, DeadAfter: silence}, running: true,
		heartbeat: wire.Heartbeat{
			Node: doc.Name, FailureDomain: doc.FailureDomain, PeerAddress: doc.PeerAddress,
			Incarnation: incarnation, State: wire.HeartbeatStateAlive,
		},
	}
}

func (f *fleet) round() {
	f.now = f.now.Add(roundLength)
	for _, name := range f.names {
		if v := f.vms[name]; v.running {
			f.gossip(v)
		}
	}
	f.deliver()
}

func (f *fleet) gossip(v *vm) {
	v.list.BeginRound(f.now, v.heartbeat)
	targets := v.list.GossipTargets(f.now, f.rng)
	batch := v.list.Batch(budget, size)
	for _, h := range batch {
		f.bytes += size(h) * len(targets)
	}
	for _, to := range targets {
		f.send(v.heartbeat.Node, to, batch)
	}
}

func (f *fleet) send(from, to string, batch []wire.Heartbeat) {
	if f.blocked(from, to) || f.faulty && f.rng.IntN(10) < 2 {
		return
	}
	copies := 1
	if f.faulty && f.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(0)
		if f.faulty {
			delay = time.Duration(f.rng.IntN(1500)) * time.Millisecond
		}
		f.inTransit = append(f.inTransit, delivery{arrivesAt: f.now.Add(delay), to: to, heartbeats: batch})
	}
}

func (f *fleet) deliver() {
	f.rng.Shuffle(len(f.inTransit), func(i, j int) { f.inTransit[i], f.inTransit[j] = f.inTransit[j], f.inTransit[i] })
	kept := f.inTransit[:0]
	for _, x := range f.inTransit {
		if x.arrivesAt.After(f.now) {
			kept = append(kept, x)
			continue
		}
		if v := f.vms[x.to]; v.running {
			v.list.Merge(f.now, x.heartbeats)
		}
	}
	f.inTransit = kept
}

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

// requireAgreement checks that every running VM counts exactly the running VMs as alive.
func (f *fleet) requireAgreement(t *testing.T, msg string) {
	t.Helper()
	for _, name := range f.names {
		if !f.vms[name].running {
			continue
		}
		for _, other := range f.names {
			require.Equal(t, f.vms[other].running, f.vms[name].list.Alive(f.now, other), "%s: %s about %s", msg, name, other)
		}
	}
}

func (f *fleet) doc(name string) wire.VM {
	h := f.vms[name].heartbeat
	return wire.VM{Name: name, FailureDomain: h.FailureDomain, PeerAddress: name}
}

// VMs fail and restart while a fifth of the messages is lost and others are delayed,
// duplicated and reordered. All VMs must agree again within a minute, and late heartbeats
// of a dead VM must not make it alive again.
func TestFailuresAndRestarts(t *testing.T) {
	for seed := range uint64(30) {
		f := newFleet(seed, 3, 4)
		f.rounds(60)
		f.requireAgreement(t, fmt.Sprint("seed ", seed, ": start"))
		var dead []string
		for _, i := range f.rng.Perm(len(f.names))[:3] {
			f.vms[f.names[i]].running = false
			dead = append(dead, f.names[i])
		}
		f.rounds(160)
		f.requireAgreement(t, fmt.Sprint("seed ", seed, ": failures"))
		for _, name := range dead {
			f.boot(f.doc(name), 2)
			f.vms[name].list.MergePlatformList(f.now, []wire.VM{f.doc(f.names[0]), f.doc(f.names[11])})
		}
		f.rounds(120)
		f.requireAgreement(t, fmt.Sprint("seed ", seed, ": restarts"))
	}
}

// A domain is partitioned from the others, so that the two sides count each other as dead
// or silent. Within the domain no VM may count as dead. When the partition heals, all VMs
// must be alive again without a restart.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 3, 4)
		f.rounds(60)
		f.blocked = func(from, to string) bool { return (from[:2] == "d2") != (to[:2] == "d2") }
		f.rounds(500)
		for _, name := range f.names {
			for _, other := range f.names {
				if name[:2] == other[:2] {
					require.True(t, f.vms[name].list.Alive(f.now, other), "seed %d: %s about %s", seed, name, other)
				}
			}
		}
		f.blocked = func(string, string) bool { return false }
		f.rounds(200)
		f.requireAgreement(t, fmt.Sprint("seed ", seed, ": healed"))
	}
}

// One link is broken permanently, in one direction or both. Its two VMs receive each
// other's heartbeats through other VMs, so neither may count as dead.
func TestBrokenLink(t *testing.T) {
	for name, both := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 1, 4)
			f.faulty = false
			f.blocked = func(from, to string) bool {
				return from == "d0-0" && to == "d0-1" || both && from == "d0-1" && to == "d0-0"
			}
			f.rounds(10) // until each VM has received the heartbeats of all others
			for range 200 {
				f.round()
				f.requireAgreement(t, "broken link")
			}
		})
	}
}

// A VM is wrongly declared dead while it is paused. When it resumes, it receives this
// report and refutes it with a higher incarnation. Without the refutation it would stay
// dead for the others, because its heartbeats have the incarnation that was declared dead.
func TestFalseDeathIsRefuted(t *testing.T) {
	for name, refutes := range map[string]bool{"refuted": true, "not refuted": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 1, 4)
			f.faulty = false
			f.rounds(20)
			paused := f.vms["d0-0"]
			paused.running = false
			f.rounds(40)
			require.False(t, f.vms["d0-1"].list.Alive(f.now, "d0-0"))
			paused.running = true
			if !refutes {
				// The paused VM never receives the report of its death.
				f.blocked = func(_, to string) bool { return to == "d0-0" }
			}
			f.rounds(40)
			require.Equal(t, refutes, f.vms["d0-1"].list.Alive(f.now, "d0-0"))
		})
	}
}

func TestLateHeartbeatDoesNotRevive(t *testing.T) {
	l := &member.List{Name: "a", Domain: "d", DeadAfter: silence}
	heartbeat := func(sequence int, state wire.HeartbeatState) wire.Heartbeat {
		return wire.Heartbeat{Node: "b", FailureDomain: "d", Incarnation: 1, Sequence: sequence, State: state}
	}
	l.Merge(start, []wire.Heartbeat{heartbeat(5, wire.HeartbeatStateAlive)})
	require.True(t, l.Alive(start, "b"))
	l.Merge(start, []wire.Heartbeat{heartbeat(5, wire.HeartbeatStateDead)})
	l.Merge(start, []wire.Heartbeat{heartbeat(7, wire.HeartbeatStateAlive)})
	require.False(t, l.Alive(start, "b"))
	restarted := heartbeat(1, wire.HeartbeatStateAlive)
	restarted.Incarnation = 2
	l.Merge(start, []wire.Heartbeat{restarted})
	require.True(t, l.Alive(start, "b"))
}

func TestElected(t *testing.T) {
	f := newFleet(1, 1, 5)
	f.faulty = false
	f.rounds(20)
	elected := func() (names []string) {
		for _, name := range f.names {
			if f.vms[name].running && f.vms[name].list.Elected(f.now, "watch", 2) {
				names = append(names, name)
			}
		}
		return names
	}
	first := elected()
	require.Len(t, first, 2)
	f.vms[first[0]].running = false
	f.rounds(60)
	second := elected()
	require.Len(t, second, 2)
	require.Contains(t, second, first[1], "the remaining VM stays elected")
}

// In each domain one of the two VMs that the platform lists was never started. The running
// VMs must still connect across domains, although each has a silent VM in its domain.
func TestDomainsConnectPastSilentVMs(t *testing.T) {
	f := newFleet(1, 4, 2)
	for d := range 4 {
		f.vms[fmt.Sprintf("d%d-1", d)].running = false
	}
	f.rounds(80)
	f.requireAgreement(t, "half of the VMs never started")
}

func TestUnlistedDeadVMIsDiscarded(t *testing.T) {
	f := newFleet(1, 1, 3)
	f.faulty = false
	f.rounds(10)
	f.vms["d0-2"].running = false
	f.rounds(300)
	l := f.vms["d0-0"].list
	require.Len(t, l.Heartbeats(), 2)
	l.MergePlatformList(f.now, []wire.VM{f.doc("d0-0"), f.doc("d0-1")})
	require.Len(t, l.Heartbeats(), 1)
}

func TestBatchBudget(t *testing.T) {
	f := newFleet(1, 3, 26)
	f.rounds(20)
	f.bytes = 0
	f.rounds(20)
	perVM := float64(f.bytes) / float64(len(f.names)) / (20 * roundLength.Seconds())
	require.Less(t, perVM, float64(budget)*7/roundLength.Seconds(), "a round sends at most seven frames")
	for _, h := range f.vms["d0-0"].list.Batch(budget, size) {
		require.NotEmpty(t, h.Node)
	}
}
