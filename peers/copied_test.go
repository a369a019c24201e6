package peers_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/peers"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// copiedRecord is a lease record written in an era, with all that processes that start take from it.
func copiedRecord(era int) wire.ControllerLease {
	return wire.ControllerLease{
		Holder: "other", Boot: "o", Address: "other:1", DurationMs: 1000, Renewals: 7, Key: "k", Vms: 5, ZzzzEra: era, ZzzzLeastToken: 3,
		QuotaLevels:     []wire.TeamSpend{{Team: "t", Tokens: 900}},
		ZVersionHistory: &wire.VersionHistory{AsOfMs: int(time.Now().UnixMilli()), CompleteMs: 60_000, Gone: []wire.GoneVersion{{Service: "s", Version: "v1", AgoMs: 5}}},
		ZzAllotmentVms:  5,
		ZzzBlockedParts: []wire.SuspectPart{{Part: "p", Crashes: 4, LeftMs: 60_000}},
		Blocked:         []wire.SuspectRequest{{Request: "r", Crashes: 3, LeftMs: 60_000}},
	}
}

// restoredReader is a VM at a store that holds a record.
type restoredReader struct {
	lease    *peers.Lease
	store    copiedStore
	clock    testClock
	complete time.Duration
	gone     []backs.GoneVersion
}

func newRestoredReader(t *testing.T, era int, record wire.ControllerLease) *restoredReader {
	r := &restoredReader{store: copiedStore{era: era, revision: 20}, clock: testClock{now: time.Unix(1000, 0)}}
	data, err := json.Marshal(record)
	require.NoError(t, err)
	r.store.write(data)
	r.lease = &peers.Lease{
		Name: "vm", Address: "vm:1", Objects: r.store.client("vm"), Duration: time.Second, Now: r.clock.Now, Log: zerolog.Nop(),
		Poison: &poison.Tracker{}, PartTracker: &poison.PartTracker{},
		ObserveHistory: func(h backs.VersionHistory) { r.complete, r.gone = h.CompleteFor, h.Gone },
	}
	return r
}

// Guards against a process that starts and takes what an older record says for what is left of the quotas, or for all
// versions that have existed. It goes on blocking what was blocked.
func TestStartFromCopiedRecord(t *testing.T) {
	for name, c := range map[string]struct {
		written, era int
		copied       bool
	}{
		"record of this era":       {written: 1, era: 1},
		"record of the era before": {written: 1, era: 2, copied: true},
		"record of the first era":  {written: 0, era: 1, copied: true},
		"store without eras":       {},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredReader(t, c.era, copiedRecord(c.written))
			r.lease.Step(t.Context())
			record, known := r.lease.StartRecord()
			require.True(t, known)
			require.Equal(t, c.copied, len(record.QuotaLevels) == 0)
			require.Equal(t, c.copied, r.complete == 0)
			require.Len(t, r.gone, 1)
			require.Positive(t, r.lease.Poison.BlockedFor(r.clock.Now(), "r"))
			_, left := r.lease.PartTracker.BlockedFor(r.clock.Now(), []poison.Part{"p"})
			require.Positive(t, left)
		})
	}
}

// Guards against a VM that runs on and forgets what it has learned since the copy was made: that a part of prompts is
// blocked no more, and among how many VMs the retries are divided.
func TestRunOnFromCopiedRecord(t *testing.T) {
	r := newRestoredReader(t, 1, copiedRecord(1))
	r.lease.Step(t.Context())
	r.lease.PartTracker.MergeSuspects(r.clock.Now(), []poison.PartSuspect{{Part: "p"}}, true)
	_, left := r.lease.PartTracker.BlockedFor(r.clock.Now(), []poison.Part{"p"})
	require.Zero(t, left)
	r.store.copy()
	later := copiedRecord(1)
	later.Renewals, later.ZzAllotmentVms, later.ZzzBlockedParts = 8, 9, nil
	data, err := json.Marshal(later)
	require.NoError(t, err)
	r.store.write(data)
	r.lease.Step(t.Context())
	r.store.restore()
	for range 30 {
		r.clock.advance(100 * time.Millisecond)
		r.lease.Step(t.Context())
	}
	_, left = r.lease.PartTracker.BlockedFor(r.clock.Now(), []poison.Part{"p"})
	require.Zero(t, left)
	require.True(t, r.lease.Held(r.clock.Now()))
	_, record := r.lease.LatestRecord()
	require.Equal(t, 9, record.ZzAllotmentVms)
}

// Guards against a weak VM that starts with a stale read, gets a record that the store has lost, and takes all that it reads
// later for older: it would acquire the lease of a live holder once that writes the same revision again.
func TestStaleReadOfLostRecord(t *testing.T) {
	r := newRestoredReader(t, 2, copiedRecord(1))
	r.lease.AcquireDelay = time.Second
	lost := store.Object{Version: store.VersionOf(2, 95), Value: r.store.object.value}
	r.lease.Objects.GetCached = func(context.Context, string, string) (store.Object, error) { return lost, nil }
	for range 2 {
		r.lease.Step(t.Context())
		address, _ := r.lease.OtherHolder()
		require.Equal(t, "other:1", address)
	}
	version, _ := r.lease.LatestRecord()
	require.Equal(t, store.VersionOf(2, r.store.object.revision), version)
}
