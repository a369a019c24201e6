// Package peers connects the VMs of a fleet. One VM, the controller, holds a lease and manages the
// backend servers. The other VMs are linked to it, directly or through a relay VM in their failure
// domain. The hub of a VM is the controller or relay that it is linked to.
package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Kind and name of the lease record in the store.
const (
	leaseKind = "leases"
	leaseName = "controller"
)

// leaseCallTimeout bounds one read or write of the lease record. It is shorter than the interval
// between renewals.
const leaseCallTimeout = 400 * time.Millisecond

const (
	// A VM with an acquire delay of at least minStaleReadDelay makes up to maxStaleReads stale
	// reads of the record when it starts. With the pauses between reads these take one second.
	// Then it makes consistent reads.
	minStaleReadDelay = 300 * time.Millisecond
	maxStaleReads     = 3
)

var errStaleNotFound = errors.New("stale read found no lease record")

// Lease is the controller's lease, the right to send orders to servers. Its record is in the store.
// Each write is conditional on the version that was read, so that only one of two concurrent writes
// succeeds. The revision written on acquisition is the fencing token of the term, or a higher one if the
// store has lost revisions.
type Lease struct {
	// Name is the name of this VM. Address is where it accepts links.
	Name, Address string
	Objects       store.Objects
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// Handover is the minimum time between the last order of one holder and the first order of the
	// next.
	Handover time.Duration
	// AcquireDelay is how long this VM waits before it acquires an expired lease, so that stronger VMs,
	// which have a larger CPU share, acquire it first.
	AcquireDelay time.Duration
	// CountVMs returns the number of VMs for the record. If nil, the number is unknown.
	CountVMs func() int
	// RecordAllotments adds to the record by which number VMs divide what all share. If nil, it is unknown.
	RecordAllotments func(r *wire.ControllerLease)
	// Poison tracks blocked requests. The record stores them, so that the next holder and VMs
	// that start also block them. If nil, the record stores none.
	Poison *poison.Tracker
	// PartTracker tracks blocked parts of prompts, which the record stores too. If nil, it stores none.
	PartTracker *poison.PartTracker
	// HasPath reports whether this VM has a path to the backend servers. If nil, it has one.
	HasPath func() bool
	// QuotaLevels returns what is left of each team's quota, for processes that start later. If nil,
	// the record has none.
	QuotaLevels func() []wire.TeamSpend
	// VersionHistory returns the software versions that have existed, for processes that start later, and
	// ObserveHistory gets what the record says of them. If nil, the record has none.
	VersionHistory func() backs.VersionHistory
	ObserveHistory func(h backs.VersionHistory)
	// OnRestored is called when the store is found to have come back from a copy, but not for a process that has not
	// known it before. It must not call the Lease.
	OnRestored func()
	Now        func() time.Time
	Log        zerolog.Logger

	mu sync.Mutex
	// expiredSince is when this VM first observed that the lease had expired.
	expiredSince time.Time
	keeper       lease.Keeper
	record       wire.ControllerLease
	// previousKey is the key of the term before that of record.
	previousKey string
	// startRecord is the first record that was read, nil before.
	startRecord  *wire.ControllerLease
	key          string
	fencingToken int
	tokens       knownTokens
	// releasing is set while the lease is being released; no orders are sent from then on.
	releasing bool
	// staleReads counts the stale reads made.
	staleReads int
	// handover is what this VM knows of the orders of other holders.
	handover handover
}

// FencingToken returns the fencing token, and whether this VM may send orders.
func (l *Lease) FencingToken(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.keeper.Held(now) && !l.releasing && !now.Before(l.handover.ordersFrom)
}

// Term returns the fencing token, and whether this VM holds the lease. It may hold the lease before it
// may send orders.
func (l *Lease) Term(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.keeper.Held(now)
}

// PreviousTermEnd returns the latest time at which the previous holder may have sent an order.
func (l *Lease) PreviousTermEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handover.previousTermEnd
}

// Held reports whether this VM holds the lease.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Held(now)
}

// LinkKey returns the key that VMs must present to link to this VM, or "" if it does not hold the lease.
func (l *Lease) LinkKey(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keeper.Held(now) {
		return ""
	}
	return l.key
}

// Expired reports whether the lease has expired or was released, according to the record last observed.
func (l *Lease) Expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Observed() && l.keeper.Next(now) == lease.Acquire
}

// OtherHolder returns the address and key of the holder in the record last observed, or "" if the holder
// is this VM or there is none.
func (l *Lease) OtherHolder() (address, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Holder == "" || l.record.Address == l.Address {
		return "", ""
	}
	return l.record.Address, l.record.Key
}

// VMs returns the number of VMs in the record last observed, or 0 if unknown.
func (l *Lease) VMs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Vms
}

// Step reads the record unless this VM holds the lease, and acquires or renews the lease if due.
func (l *Lease) Step(ctx context.Context) {
	l.initialize()
	if !l.holding() {
		if err := l.read(ctx); err != nil {
			l.Log.Info().Err(err).Msg("reading the controller lease failed")
			return
		}
	}
	l.mu.Lock()
	action := l.keeper.Next(l.Now())
	l.mu.Unlock()
	if action == lease.Wait || action == lease.Acquire && l.delaysAcquisition() {
		return
	}
	if err := l.write(ctx, action); err != nil {
		l.Log.Info().Err(err).Msg("writing the controller lease failed")
	}
}

// withoutPathDelay is how long a VM without a path to the backend servers leaves a free lease to others. It
// could give no orders, but a fleet in which no VM has a path needs a hub as well.
const withoutPathDelay = 3 * time.Second

// delaysAcquisition reports whether this VM still leaves a free lease to stronger VMs, or to VMs with a path
// to the backend servers.
func (l *Lease) delaysAcquisition() bool {
	hasPath := l.HasPath == nil || l.HasPath()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.expiredSince.IsZero() {
		l.expiredSince = now
	}
	freeFor := now.Sub(l.expiredSince)
	switch {
	case !hasPath:
		return freeFor < withoutPathDelay
	case l.record.Address == l.Address:
		return false
	}
	return freeFor < l.AcquireDelay
}

func (l *Lease) initialize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeper.Name == "" {
		// The address identifies the process, because only one can listen on it. A process
		// restarted at the same address may continue with the lease at once.
		l.keeper = lease.Keeper{Name: l.Name, BootID: l.Address, Duration: l.Duration}
		l.key = uuid.NewString()
	}
}

func (l *Lease) holding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Observed() && l.keeper.Held(l.Now())
}

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
		if err := json.Unmarshal(obj.Value, &record); err != nil {
			return fmt.Errorf("decode lease: %w", err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
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

func (l *Lease) write(ctx context.Context, action lease.Action) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	vms := 0
	if l.CountVMs != nil {
		vms = l.CountVMs()
	}
	l.mu.Lock()
	startedAt := l.Now()
	next, version := l.keeper.NextRecord()
	previous, found := l.record, l.foundRecord(version)
	leastToken, term := l.fencingToken, l.handover
	if action == lease.Acquire {
		leastToken, term = l.tokens.next(version), l.handover.acquired(startedAt, found)
	}
	l.mu.Unlock()
	record := wire.ControllerLease{
		Holder: next.Holder, Boot: next.BootID, DurationMs: next.DurationMs, Renewals: next.Renewals,
		Address: l.Address, Key: l.key, Vms: vms,
		ZzzzEra: next.Era, ZzzzHandoverMs: term.leftMs(startedAt), ZzzzLeastToken: leastToken,
		ZzDomainVms: previous.ZzDomainVms, ZzAllotmentVms: previous.ZzAllotmentVms, ZzSettledVms: previous.ZzSettledVms,
	}
	if l.RecordAllotments != nil && action == lease.Renew {
		// A new holder has not counted any VMs in this term, and keeps what the one before has.
		l.RecordAllotments(&record)
	}
	if l.Poison != nil {
		record.Blocked = blockedList(l.Poison.Suspects(startedAt))
	}
	record.ZzzBlockedParts = suspectParts(l.PartTracker.Suspects(startedAt), true)
	if l.QuotaLevels != nil {
		record.QuotaLevels = l.QuotaLevels()
	}
	if l.VersionHistory != nil {
		record.ZVersionHistory = historyRecord(time.Now(), l.VersionHistory())
	}
	newVersion, err := l.Objects.Put(ctx, leaseKind, leaseName, version, record)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.keeper.UpdateFailed()
		return fmt.Errorf("write lease: %w", err)
	}
	l.keeper.UpdateSucceeded(startedAt, newVersion, next)
	l.setRecord(record)
	l.tokens.observe(newVersion, record)
	if version == 0 && !found.restored {
		l.observeFirstTerm()
	}
	if action == lease.Acquire {
		_, revision := store.SplitVersion(newVersion)
		l.fencingToken = max(leastToken, revision)
		l.Log.Info().Int("fence", l.fencingToken).Str("before", previous.Holder).Bool("restored", found.restored).Time("begun", startedAt).Msg("controller lease acquired")
	}
	l.handover = term.held(startedAt, newVersion)
	return nil
}
