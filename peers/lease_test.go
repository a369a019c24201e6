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

// testClock is a manually advanced clock.
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

func newLease(clock *testClock, o *stand.ObjectStore, name string) *peers.Lease {
	return &peers.Lease{
		Name: name, Address: "127.0.0.1:" + name, Objects: o.Client(), Duration: time.Second, Handover: 3 * time.Second,
		Now: clock.Now, Log: zerolog.Nop(),
	}
}

func maySendOrders(l *peers.Lease, now time.Time) bool {
	_, ok := l.FencingToken(now)
	return ok
}

// The controller crashes. Servers that do not check fencing tokens must not receive orders from two VMs
// within 3 s. The next VM acquires the lease after it expires, and sends its first order one handover
// time later.
func TestHandover(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	a, b := newLease(clock, o, "1"), newLease(clock, o, "2")
	ctx := t.Context()
	a.Step(ctx)
	require.True(t, maySendOrders(a, clock.Now()), "the first holder need not wait for the handover time")
	b.Step(ctx)
	var endedAt, beganAt time.Time
	for range 100 {
		clock.advance(100 * time.Millisecond)
		b.Step(ctx)
		if endedAt.IsZero() && !maySendOrders(a, clock.Now()) {
			endedAt = clock.Now()
		}
		if beganAt.IsZero() && maySendOrders(b, clock.Now()) {
			beganAt = clock.Now()
		}
	}
	require.False(t, beganAt.IsZero())
	require.GreaterOrEqual(t, beganAt.Sub(endedAt), 3*time.Second)
	require.LessOrEqual(t, beganAt.Sub(endedAt), 5*time.Second)
	tokenB, _ := b.FencingToken(clock.Now())
	tokenA, _ := a.FencingToken(clock.Now())
	require.Greater(t, tokenB, tokenA)
}

// The holder's process is suspended for longer than its lease. When it resumes, it must not send
// orders. Only its clock, which counts the pause, shows that time has passed.
func TestPausedHolderStops(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	a := newLease(clock, o, "1")
	a.Step(t.Context())
	require.True(t, maySendOrders(a, clock.Now()))
	clock.advance(5 * time.Second)
	require.False(t, maySendOrders(a, clock.Now()))
	require.Empty(t, a.LinkKey(clock.Now()))
}

// The response to a renewal is lost although the renewal took effect. The holder reads the record and
// continues, and no other VM acquires the lease.
func TestLostRenewalResponse(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	a, b := newLease(clock, o, "1"), newLease(clock, o, "2")
	a.Step(t.Context())
	clock.advance(400 * time.Millisecond)
	o.SetFaults(stand.ObjectStoreFaults{LostResponses: 1})
	a.Step(t.Context())
	for range 20 {
		clock.advance(100 * time.Millisecond)
		a.Step(t.Context())
		b.Step(t.Context())
		require.False(t, b.Held(clock.Now()))
	}
	require.True(t, maySendOrders(a, clock.Now()))
}

// A process that restarts at the same address may send orders at once. The previous process has ended,
// so no handover time is needed.
func TestRestartAtSameAddress(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	newLease(clock, o, "1").Step(t.Context())
	clock.advance(100 * time.Millisecond)
	restarted := newLease(clock, o, "1")
	restarted.Step(t.Context())
	require.True(t, maySendOrders(restarted, clock.Now()))
}

// The holder announces its renewals over the links. A VM that loses its link counts the lease duration
// from the last announced renewal, and takes over sooner than a VM that first reads the record then.
func TestAnnouncedRenewalShortensTakeover(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	holder, linked, unlinked := newLease(clock, o, "1"), newLease(clock, o, "2"), newLease(clock, o, "3")
	holder.Step(t.Context())
	linked.Step(t.Context())
	linked.ObserveAnnounced(holder.LatestRecord())
	clock.advance(900 * time.Millisecond)
	unlinked.Step(t.Context())
	clock.advance(300 * time.Millisecond)
	unlinked.Step(t.Context())
	require.False(t, unlinked.Held(clock.Now()))
	linked.Step(t.Context())
	require.True(t, linked.Held(clock.Now()))
}

// Dozens of weak VMs start at the same time and need the controller's address. They make stale reads,
// and make consistent reads only if these find no record for one second. Strong VMs, which acquire
// the lease first, make consistent reads at once.
func TestStaleLeaseReads(t *testing.T) {
	tests := map[string]struct {
		acquireDelay      time.Duration
		staleReads, reads int
	}{
		"weak":   {600 * time.Millisecond, 3, 2},
		"strong": {36 * time.Millisecond, 0, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
			holder, l := newLease(clock, o, "1"), newLease(clock, o, "2")
			l.AcquireDelay = tc.acquireDelay
			staleReads, reads := 0, 0
			get := l.Objects.Get
			l.Objects.Get = func(ctx context.Context, kind, name string) (store.Object, error) {
				reads++
				return get(ctx, kind, name)
			}
			l.Objects.GetCached = func(context.Context, string, string) (store.Object, error) {
				staleReads++
				return store.Object{}, trace.NotFound("no record yet")
			}
			holder.Step(t.Context())
			for range 5 {
				l.Step(t.Context())
			}
			require.Equal(t, tc.staleReads, staleReads)
			require.Equal(t, tc.reads, reads)
			address, _ := l.OtherHolder()
			require.Equal(t, holder.Address, address)
		})
	}
}

// Guards against losing blocked requests when the controller crashes or all processes exit at once:
// the lease record must restore them.
func TestBlockedRequestsSurviveControllerChange(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
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
	require.True(t, maySendOrders(b, clock.Now()))
	require.InDelta(t, time.Hour, b.Poison.BlockedFor(clock.Now(), request), float64(10*time.Second))
	require.Zero(t, b.Poison.BlockedFor(clock.Now(), "bb"))
	c.Step(t.Context())
	require.InDelta(t, time.Hour, c.Poison.BlockedFor(clock.Now(), request), float64(10*time.Second), "restored from the record written by the next holder")
}

// Guards against servers that wait, as a deployment starts for the first time, for orders that no controller has sent,
// and against a controller after another one that does not wait: only the term of the first record is the first one.
func TestFirstTermOfDeployment(t *testing.T) {
	clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
	a, b := newLease(clock, o, "1"), newLease(clock, o, "2")
	require.False(t, a.FirstTerm())
	a.Step(t.Context())
	require.True(t, a.FirstTerm())
	clock.advance(500 * time.Millisecond)
	a.Step(t.Context())
	require.True(t, a.FirstTerm(), "renewed")
	takeOver := func(l *peers.Lease) {
		t.Helper()
		for range 100 {
			clock.advance(100 * time.Millisecond)
			l.Step(t.Context())
		}
		require.True(t, l.Held(clock.Now()))
		require.False(t, l.FirstTerm())
	}
	takeOver(b)
	restarted := newLease(clock, o, "2")
	takeOver(restarted)
	takeOver(a)
}
