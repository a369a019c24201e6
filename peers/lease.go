// Package peers connects the VMs of a fleet. One VM, the controller, holds a lease and manages the
// backend servers. The other VMs are linked to it, directly or through a relay VM in their failure
// domain. The hub of a VM is the controller or relay that it is linked to.
package peers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
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
	startRecord *wire.ControllerLease
	// historyAsOfMs tells the history of versions that was applied last.
	historyAsOfMs int
	key           string
	fencingToken  int
	// firstTerm is set in the first term of the deployment.
	firstTerm bool
	tokens    knownTokens
	// releasing is set while the lease is being released; no orders are sent from then on.
	releasing bool
	// staleReads counts the stale reads made.
	staleReads int
	// unreadableSince is when the record could not be read first, zero once it was read or received.
	unreadableSince time.Time
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

// FirstTerm reports whether this VM's term is the first one of the deployment, so that no holder before it has sent orders.
func (l *Lease) FirstTerm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstTerm
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
			l.recordUnread(err)
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

// recordUnread records that the record could not be read.
func (l *Lease) recordUnread(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadableSince.IsZero() && !errors.Is(err, errStaleNotFound) {
		l.unreadableSince = l.Now()
	}
}

// unreadableFor returns how long the record has been neither read nor received though this VM tried to read it, and
// whether that is so.
func (l *Lease) unreadableFor(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.unreadableSince), !l.unreadableSince.IsZero()
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
