package peers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/peers"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// copiedStore holds one object and comes back from copies of itself, each time in its next era. It compares revisions
// only, and gives out again those of what it lost.
type copiedStore struct {
	era, revision int
	object        storedRecord
	copied        *copiedStore
	// unreachable holds the callers whose calls fail.
	unreachable map[string]bool
}

type storedRecord struct {
	revision int
	value    []byte
}

func (s *copiedStore) copy() { s.copied = &copiedStore{revision: s.revision, object: s.object} }

func (s *copiedStore) restore() {
	s.era, s.revision, s.object = s.era+1, s.copied.revision, s.copied.object
}

// write stores what another build or a backend server writes.
func (s *copiedStore) write(value []byte) {
	s.revision++
	s.object = storedRecord{s.revision, value}
}

func (s *copiedStore) client(caller string) store.Objects {
	return store.Objects{
		Get: func(_ context.Context, kind, name string) (store.Object, error) {
			switch {
			case s.unreachable[caller]:
				return store.Object{}, &store.UnavailableError{}
			case s.object.revision == 0:
				return store.Object{}, trace.NotFound("no record")
			}
			return store.Object{Kind: kind, Name: name, Version: store.VersionOf(s.era, s.object.revision), Value: s.object.value}, nil
		},
		Put: func(_ context.Context, _, _ string, ifVersion int, value any) (int, error) {
			era, revision := store.SplitVersion(ifVersion)
			switch {
			case s.unreachable[caller]:
				return 0, &store.UnavailableError{}
			case revision != s.object.revision:
				return 0, &store.ConflictError{Current: store.VersionOf(s.era, s.object.revision)}
			}
			data, err := json.Marshal(value)
			if err != nil {
				return 0, fmt.Errorf("encode: %w", err)
			}
			s.write(data)
			if ifVersion != 0 && era != s.era {
				return 0, &store.ResponseLostError{}
			}
			return store.VersionOf(s.era, s.object.revision), nil
		},
	}
}

// restoredFleet is a fleet of VMs at a store that comes back from copies. It records who may send orders.
type restoredFleet struct {
	clock testClock
	store copiedStore
	vms   map[string]*peers.Lease
	// sender is the VM that may send orders or did so last, until lastAt and with the given token.
	sender string
	lastAt time.Time
	token  int
	// shortestTurn is the shortest time between orders of two VMs, loweredToken set if a token was no higher than one
	// that another VM used before.
	shortestTurn time.Duration
	loweredToken bool
}

const restoredHandover = 3 * time.Second

// firstEras are the eras in which the store of a test may begin. A platform may tell none before the first restore.
var firstEras = map[string]int{"": 1, ", first restore of the store": 0}

func newRestoredFleet(era int, names ...string) *restoredFleet {
	f := &restoredFleet{clock: testClock{now: time.Unix(1000, 0)}, vms: make(map[string]*peers.Lease), shortestTurn: time.Hour}
	f.store.era, f.store.unreachable = era, make(map[string]bool)
	// The store counts the writes of others too.
	f.store.revision = 20
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts a VM's process, or starts it again.
func (f *restoredFleet) start(name string) {
	f.vms[name] = &peers.Lease{
		Name: name, Address: "127.0.0.1:" + name, Objects: f.store.client(name), Duration: time.Second, Handover: restoredHandover,
		Now: f.clock.Now, Log: zerolog.Nop(),
	}
}

// run lets time pass in steps of a tenth of a second, at each of which the named VMs step in this order.
func (f *restoredFleet) run(t *testing.T, d time.Duration, stepping ...string) {
	for range int(d / (100 * time.Millisecond)) {
		f.clock.advance(100 * time.Millisecond)
		for _, name := range stepping {
			f.vms[name].Step(t.Context())
			f.observe()
		}
	}
}

func (f *restoredFleet) observe() {
	now := f.clock.Now()
	for name, vm := range f.vms {
		token, ok := vm.FencingToken(now)
		if !ok {
			continue
		}
		if name != f.sender && f.sender != "" {
			f.shortestTurn = min(f.shortestTurn, now.Sub(f.lastAt))
			f.loweredToken = f.loweredToken || token <= f.token
		}
		f.loweredToken = f.loweredToken || token < f.token
		f.sender, f.lastAt, f.token = name, now, token
	}
}

// restoreCase is a course of events around a restore. a holds the lease from the start.
type restoreCase struct {
	play func(t *testing.T, f *restoredFleet)
	// sender is who may send orders 8 s after the end of play, "" for any VM.
	sender string
}

var restoreCases = map[string]restoreCase{
	"copy names the holder": {
		play: func(t *testing.T, f *restoredFleet) {
			f.store.copy()
			f.run(t, time.Second, "a", "b")
			f.store.restore()
		},
		sender: "a",
	},
	"copy names an earlier holder": {
		play: func(t *testing.T, f *restoredFleet) {
			f.store.copy()
			f.run(t, 8*time.Second, "b")
			f.store.restore()
		},
		sender: "a",
	},
	"copy names an earlier holder, the present one does not reach the store": {
		play: func(t *testing.T, f *restoredFleet) {
			f.store.copy()
			f.run(t, 8*time.Second, "b")
			f.store.unreachable["b"] = true
			f.store.restore()
		},
		sender: "a",
	},
	"process of an earlier holder starts right after": {
		play: func(t *testing.T, f *restoredFleet) {
			f.store.copy()
			f.run(t, 8*time.Second, "b")
			f.store.restore()
			f.start("a")
		},
		sender: "a",
	},
	"copy has a released lease": {
		play: func(t *testing.T, f *restoredFleet) {
			require.NoError(t, f.vms["a"].Release(t.Context()))
			f.store.copy()
			f.run(t, 8*time.Second, "b")
			f.store.restore()
			f.run(t, 200*time.Millisecond, "c")
		},
	},
	"copy is as old as the lease lasts, the store was away": {
		play: func(t *testing.T, f *restoredFleet) {
			f.store.copy()
			f.run(t, time.Second, "a", "b", "c")
			f.store.unreachable = map[string]bool{"a": true, "b": true, "c": true}
			f.run(t, 2*time.Second, "a", "b", "c")
			f.store.unreachable = nil
			f.store.restore()
		},
		sender: "a",
	},
}

func (c restoreCase) run(t *testing.T, era int) *restoredFleet {
	f := newRestoredFleet(era, "a", "b", "c")
	f.run(t, time.Second, "a", "b", "c")
	require.Equal(t, "a", f.sender)
	c.play(t, f)
	f.run(t, 8*time.Second, "a", "b", "c")
	require.Equal(t, f.clock.Now(), f.lastAt)
	if c.sender != "" {
		require.Equal(t, c.sender, f.sender)
	}
	return f
}

// Guards against orders of two VMs at the same time or in short turns, because the lease of one was lost from the store.
func TestHandoverAfterRestore(t *testing.T) {
	for first, era := range firstEras {
		for name, c := range restoreCases {
			t.Run(name+first, func(t *testing.T) {
				require.GreaterOrEqual(t, c.run(t, era).shortestTurn, restoredHandover)
			})
		}
	}
}

// Guards against a fencing token that another VM has used, or a lower one, because the store gives out revisions again.
func TestTokensRiseAfterRestore(t *testing.T) {
	for first, era := range firstEras {
		for name, c := range restoreCases {
			t.Run(name+first, func(t *testing.T) {
				f := c.run(t, era)
				require.False(t, f.loweredToken)
				require.Less(t, f.token, 1<<31, "a token has no era, and servers may keep it in 32 bits")
			})
		}
	}
}

// playRandomly restores the store at random while VMs stall, restart and lose the store.
func playRandomly(t *testing.T, seed uint64) *restoredFleet {
	r := rand.New(rand.NewPCG(seed, 0))
	names := []string{"a", "b", "c"}
	f := newRestoredFleet(int(seed%2), names...)
	f.run(t, time.Second, names...)
	f.store.copy()
	for range 60 {
		switch r.IntN(6) {
		case 0:
			f.store.copy()
		case 1:
			f.store.restore()
		case 2:
			f.store.unreachable = map[string]bool{names[r.IntN(3)]: true}
		case 3:
			f.start(names[r.IntN(3)])
		case 4:
			f.store.revision += r.IntN(30)
		}
		r.Shuffle(3, func(i, j int) { names[i], names[j] = names[j], names[i] })
		f.run(t, time.Duration(r.IntN(30))*100*time.Millisecond, names[:1+r.IntN(3)]...)
	}
	return f
}

// Guards against the same in the courses of events that the cases do not have.
func TestOrdersAfterRandomRestores(t *testing.T) {
	for seed := range uint64(200) {
		f := playRandomly(t, seed)
		require.GreaterOrEqual(t, f.shortestTurn, restoredHandover, "seed %d", seed)
		require.False(t, f.loweredToken, "seed %d", seed)
	}
}

// Guards against tokens that older builds in the fleet, whose tokens are revisions, can not follow while the store has
// lost nothing.
func TestTokensAreRevisionsInOneEra(t *testing.T) {
	f := newRestoredFleet(1, "a", "b")
	f.run(t, time.Second, "a", "b")
	f.run(t, 8*time.Second, "b")
	require.LessOrEqual(t, f.token, f.store.object.revision)
	f.clock.advance(2 * time.Second)
	f.writeOlder(t)
	f.run(t, 8*time.Second, "a")
	require.Equal(t, "a", f.sender)
	require.False(t, f.loweredToken)
	require.LessOrEqual(t, f.token, f.store.object.revision)
}

// Guards against a process that starts again at the address of a new holder and does not know how long that one was to
// leave the servers alone.
func TestRestartKeepsHandover(t *testing.T) {
	f := newRestoredFleet(1, "a", "b")
	f.run(t, time.Second, "a", "b")
	f.run(t, 2*time.Second, "b")
	require.True(t, f.vms["b"].Held(f.clock.Now()))
	f.start("b")
	f.run(t, 8*time.Second, "b")
	require.Equal(t, "b", f.sender)
	require.GreaterOrEqual(t, f.shortestTurn, restoredHandover)
	require.Less(t, f.shortestTurn, restoredHandover+3*time.Second)
}

// writeOlder lets a VM of an older build acquire the lease.
func (f *restoredFleet) writeOlder(t *testing.T) {
	data, err := json.Marshal(wire.ControllerLease{Holder: "older", Boot: "o", Address: "o", DurationMs: 1000, Renewals: 99, Key: "k"})
	require.NoError(t, err)
	f.store.revision += 10
	f.store.write(data)
	f.sender, f.token, f.lastAt = "older", f.store.object.revision, f.clock.Now()
}
