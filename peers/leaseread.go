package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// A VM with an acquire delay of at least minStaleReadDelay makes up to maxStaleReads stale
	// reads of the record when it starts. With the pauses between reads these take one second.
	// Then it makes consistent reads.
	minStaleReadDelay = 300 * time.Millisecond
	maxStaleReads     = 3
)

var errStaleNotFound = errors.New("stale read found no lease record")

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	get, stale := l.recordReader()
	obj, err := get(ctx, leaseKind, leaseName)
	var record wire.ControllerLease
	switch {
	case trace.IsNotFound(err) && stale:
		return errStaleNotFound
	case trace.IsNotFound(err):
		obj.Version = 0
	case err != nil:
		return fmt.Errorf("read lease: %w", err)
	default:
		record, err = decodeRecord(obj.Value)
	}
	if err != nil && stale {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && !trace.IsNotFound(err) {
		l.observeOdd(obj.Version, err)
		return nil
	}
	if l.startRecord == nil {
		start := startRecord(obj.Version, record)
		l.startRecord = &start
	}
	if stale {
		// It may have been lost since, and tells nothing about who may acquire the lease.
		l.learn(obj.Version, record)
		return nil
	}
	l.observe(obj.Version, record)
	return nil
}

// recordReader returns the store call to read the record with, and whether it is a stale read. A
// starting VM with a small CPU share needs the controller's address but does not acquire the lease at
// first. A read that may be some seconds old usually returns that address at little cost to the store.
// Dozens of VMs start at the same time.
func (l *Lease) recordReader() (get func(ctx context.Context, kind, name string) (store.Object, error), stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Objects.GetCached == nil || l.AcquireDelay < minStaleReadDelay || l.staleReads >= maxStaleReads || l.startRecord != nil {
		return l.Objects.Get, false
	}
	l.staleReads++
	return l.Objects.GetCached, true
}

// StartRecord returns the first record that was read, and whether one was read. Only records that are
// read have levels of quotas.
func (l *Lease) StartRecord() (record wire.ControllerLease, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startRecord == nil {
		return wire.ControllerLease{}, false
	}
	return *l.startRecord, true
}

// observe applies a record that was read or received. l.mu must be held.
func (l *Lease) observe(version int, record wire.ControllerLease) {
	l.learn(version, record)
	l.keeper.Observe(l.Now(), version, lease.Record{
		Holder: record.Holder, BootID: record.Boot, DurationMs: record.DurationMs, Renewals: record.Renewals, Era: record.ZzzzEra,
	})
}

// learn applies what a record says besides who may acquire the lease. l.mu must be held.
func (l *Lease) learn(version int, record wire.ControllerLease) {
	if version != 0 && record.Renewals != l.record.Renewals {
		l.expiredSince = time.Time{}
	}
	if record.Holder != "" && record.Address != l.record.Address {
		l.Log.Info().Str("holder", record.Holder).Int("version", version).Str("before", l.record.Holder).Msg("controller lease has another holder")
	}
	record = l.withKnown(version, record)
	l.setRecord(record)
	if l.tokens.observe(version, record) && l.OnRestored != nil {
		l.OnRestored()
	}
	if l.Poison != nil {
		l.Poison.MergeSuspects(l.Now(), suspectsOf(record.Blocked))
	}
	l.PartTracker.MergeSuspects(l.Now(), partSuspectsOf(record.ZzzBlockedParts), false)
	l.observeHistory(record.ZVersionHistory)
}

// ObserveAnnounced applies the record last announced by the holder. A VM that loses its link then
// counts the lease duration from the last announced renewal, and not from its own next read of the
// record.
func (l *Lease) ObserveAnnounced(version int, record wire.ControllerLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	observedVersion, _ := l.keeper.Version()
	if version <= observedVersion || l.keeper.Held(l.Now()) {
		return
	}
	l.observe(version, record)
}

// announcedVersion returns the version of the record in a hub's frame. A hub of an older build tells no
// era and is taken to be in the one that this VM has observed last: right after a restore it may not be, but
// it would never be again if it counted as older.
func (l *Lease) announcedVersion(s *wire.FleetState) int {
	if s.LeaseVersion == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return store.VersionOf(cmp.Or(s.ZzzzLeaseEra, l.tokens.era+1)-1, s.LeaseVersion)
}

// LatestRecord returns the record last observed or written, and its version.
func (l *Lease) LatestRecord() (version int, record wire.ControllerLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, _ = l.keeper.Version()
	return version, l.record
}
