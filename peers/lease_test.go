package peers_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/peers"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// testClock is moved by the test.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *testClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newLease(clock *testClock, o *stand.Objects, name string) *peers.Lease {
	return &peers.Lease{
		Name: name, Address: "127.0.0.1:" + name, Objects: o.Client(), Duration: time.Second, Handover: 3 * time.Second,
		Now: clock.Now, Log: zerolog.Nop(),
	}
}

func mayOrder(l *peers.Lease, now time.Time) bool {
	_, ok := l.Fence(now)
	return ok
}

// The controller dies. Servers that do not check fencing numbers must not get
// orders of two VMs within three seconds: the next VM takes the lease when it
// has run out, and gives its first order a handover later.
func TestHandover(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	a, b := newLease(clock, o, "1"), newLease(clock, o, "2")
	ctx := t.Context()
	a.Step(ctx)
	require.True(t, mayOrder(a, clock.Now()), "the first VM need not wait")
	b.Step(ctx)
	var ended, began time.Time
	for range 100 {
		clock.advance(100 * time.Millisecond)
		b.Step(ctx)
		if ended.IsZero() && !mayOrder(a, clock.Now()) {
			ended = clock.Now()
		}
		if began.IsZero() && mayOrder(b, clock.Now()) {
			began = clock.Now()
		}
	}
	require.False(t, began.IsZero())
	require.GreaterOrEqual(t, began.Sub(ended), 3*time.Second)
	require.LessOrEqual(t, began.Sub(ended), 5*time.Second)
	fenceB, _ := b.Fence(clock.Now())
	fenceA, _ := a.Fence(clock.Now())
	require.Greater(t, fenceB, fenceA)
}

// The holder stands still for longer than its lease and believes, when it wakes,
// that no time has passed but for the clock that counts the pause. It must not
// give orders.
func TestPausedHolderStops(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	a := newLease(clock, o, "1")
	a.Step(t.Context())
	require.True(t, mayOrder(a, clock.Now()))
	clock.advance(5 * time.Second)
	require.False(t, mayOrder(a, clock.Now()))
	require.Empty(t, a.Key(clock.Now()))
}

// The answer to a renewal is lost although it took effect. The holder reads the
// record back and goes on; nobody else takes the lease.
func TestLostRenewal(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	a, b := newLease(clock, o, "1"), newLease(clock, o, "2")
	a.Step(t.Context())
	clock.advance(400 * time.Millisecond)
	o.SetFaults(stand.ObjectFaults{LoseAnswers: 1})
	a.Step(t.Context())
	for range 20 {
		clock.advance(100 * time.Millisecond)
		a.Step(t.Context())
		b.Step(t.Context())
		require.False(t, b.Held(clock.Now()))
	}
	require.True(t, mayOrder(a, clock.Now()))
}

// A process that ends and starts again at the same address goes on at once: the
// one before it has ended, so no handover is needed.
func TestRestartAtTheSameAddress(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	newLease(clock, o, "1").Step(t.Context())
	clock.advance(100 * time.Millisecond)
	again := newLease(clock, o, "1")
	again.Step(t.Context())
	require.True(t, mayOrder(again, clock.Now()))
}

// The holder tells its renewals over the links. A VM that loses the link counts
// the lease from the last one told, and takes over sooner than one that begins
// to look at the record only then.
func TestToldRenewalsShortenTheWait(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	a, told, untold := newLease(clock, o, "1"), newLease(clock, o, "2"), newLease(clock, o, "3")
	a.Step(t.Context())
	told.Step(t.Context())
	told.Told(a.Renewed())
	clock.advance(900 * time.Millisecond)
	untold.Step(t.Context())
	clock.advance(300 * time.Millisecond)
	untold.Step(t.Context())
	require.False(t, untold.Held(clock.Now()))
	told.Step(t.Context())
	require.True(t, told.Held(clock.Now()))
}

// Dozens of weak VMs start together and want to know where the controller is. They
// read the record without the promise that it is current, and only when that does
// not tell for a second the true one; strong VMs, which are to take the lease, read
// that at once.
func TestWeakVMsRecallTheRecord(t *testing.T) {
	tests := map[string]struct {
		weakness       time.Duration
		recalls, reads int
	}{
		"weak":   {600 * time.Millisecond, 3, 2},
		"strong": {36 * time.Millisecond, 0, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
			holder, l := newLease(clock, o, "1"), newLease(clock, o, "2")
			l.Weakness = tc.weakness
			recalls, reads := 0, 0
			get := l.Objects.Get
			l.Objects.Get = func(ctx context.Context, kind, name string) (store.Object, error) {
				reads++
				return get(ctx, kind, name)
			}
			l.Objects.GetCached = func(context.Context, string, string) (store.Object, error) {
				recalls++
				return store.Object{}, trace.NotFound("not yet")
			}
			holder.Step(t.Context())
			for range 5 {
				l.Step(t.Context())
			}
			require.Equal(t, tc.recalls, recalls)
			require.Equal(t, tc.reads, reads)
			address, _ := l.Holder()
			require.Equal(t, holder.Address, address)
		})
	}
}

// Guards against losing blocked requests when the controller dies or all processes end at once:
// the lease record must restore them.
func TestBlockedRequestsSurviveControllerChange(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.Objects{}
	a, b, c := newLease(clock, o, "1"), newLease(clock, o, "2"), newLease(clock, o, "3")
	a.Poison, b.Poison, c.Poison = &poison.Tracker{}, &poison.Tracker{}, &poison.Tracker{}
	const request = poison.Fingerprint("aa")
	a.Step(t.Context())
	a.Poison.MergeSuspects(clock.Now(), []poison.Suspect{{Request: request, Crashes: 3, BlockedFor: time.Hour}, {Request: "bb", Crashes: 2}})
	clock.advance(time.Second / 2)
	a.Step(t.Context())
	for range 80 {
		clock.advance(100 * time.Millisecond)
		b.Step(t.Context())
	}
	require.True(t, mayOrder(b, clock.Now()))
	require.InDelta(t, time.Hour, b.Poison.BlockedFor(clock.Now(), request), float64(10*time.Second))
	require.Zero(t, b.Poison.BlockedFor(clock.Now(), "bb"))
	c.Step(t.Context())
	require.InDelta(t, time.Hour, c.Poison.BlockedFor(clock.Now(), request), float64(10*time.Second), "restored from the record written by the next holder")
}
