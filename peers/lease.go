// Package peers lets the VMs act as one: it keeps the lease of the VM that
// steers the servers, and the links of the others to it.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Where the lease lies in the store.
const (
	leaseKind = "leases"
	leaseName = "controller"
)

// leaseCall bounds one call to the store for the lease. It is shorter than the
// time between renewals.
const leaseCall = 400 * time.Millisecond

const (
	// recallFrom is the weakness from which a VM that starts reads the record
	// without the promise that it is current, recallMost how often: with the pause
	// between reads a second, after which it wants to know for sure.
	recallFrom = 300 * time.Millisecond
	recallMost = 3
)

var errNotYet = errors.New("there was no record some seconds ago")

// orderSlack is for an order that the VM before sent right before its lease
// ended: it is on its way until its call times out.
const orderSlack = 400 * time.Millisecond

// Lease is the right to give orders to servers. Its record lies in the store
// and is written only under the version that was read, so that of two VMs that
// race one loses. The version at which it was taken is the fence of the
// orders.
type Lease struct {
	// Name is the VM's, Address where it takes links.
	Name, Address string
	Objects       store.Objects
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// Handover is the least time between the last order of one VM and the first
	// of the next.
	Handover time.Duration
	// Weakness is how long this VM leaves a free lease to stronger ones.
	Weakness time.Duration
	// Count returns how many VMs there are, for the record; nil for not known.
	Count func() int
	// Poison tracks blocked requests. The record stores them, so that the next holder and VMs
	// that start also block them. If nil, the record stores none.
	Poison *poison.Tracker
	Now    func() time.Time
	Log    zerolog.Logger

	mu sync.Mutex
	// freeSince is when the lease was first seen to be free.
	freeSince time.Time
	keeper    lease.Keeper
	record    wire.ControllerLease
	key       string
	fence     int
	// recalls counts the reads that may have been old.
	recalls int
	// ended is when the VM before gave its last order at the latest, orders from
	// when this one may give any.
	ended, orders time.Time
}

// Fence returns the fencing number while orders may be given.
func (l *Lease) Fence(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.keeper.Held(now) && !now.Before(l.orders)
}

// Term returns the fencing number while this VM holds the lease, also before it
// may give orders.
func (l *Lease) Term(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.keeper.Held(now)
}

// Ended returns when the VM that held the lease before gave its last order at the
// latest.
func (l *Lease) Ended() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// Held reports whether this VM holds the lease.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Held(now)
}

// Key returns what links to this VM must present, "" when it takes none.
func (l *Lease) Key(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keeper.Held(now) {
		return ""
	}
	return l.key
}

// Free reports whether the lease has run out, as far as this VM knows.
func (l *Lease) Free(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Known() && l.keeper.Next(now) == lease.Take
}

// Holder returns the address and key of another VM that holds the lease, as
// read last.
func (l *Lease) Holder() (address, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Holder == "" || l.record.Address == l.Address {
		return "", ""
	}
	return l.record.Address, l.record.Key
}

// VMs returns how many VMs there were by the record as read last, 0 when not known.
func (l *Lease) VMs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Vms
}

// Step does what is due: it reads the record unless the lease is held, and
// takes or renews the lease.
func (l *Lease) Step(ctx context.Context) {
	l.prepare()
	if !l.renewing() {
		if err := l.read(ctx); err != nil {
			l.Log.Info().Err(err).Msg("lease not read")
			return
		}
	}
	l.mu.Lock()
	action := l.keeper.Next(l.Now())
	l.mu.Unlock()
	if action == lease.Wait || action == lease.Take && l.yields() {
		return
	}
	if err := l.write(ctx, action); err != nil {
		l.Log.Info().Err(err).Msg("lease not written")
	}
}

// yields reports whether a free lease is left to stronger VMs for now.
func (l *Lease) yields() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.record.Address == l.Address {
		return false
	}
	if l.freeSince.IsZero() {
		l.freeSince = now
	}
	return now.Sub(l.freeSince) < l.Weakness
}

func (l *Lease) prepare() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeper.Name == "" {
		// The address tells runs apart: a process that starts again at the same
		// address knows that the one before it has ended, and may go on at once.
		l.keeper = lease.Keeper{Name: l.Name, Boot: l.Address, Duration: l.Duration}
		l.key = uuid.NewString()
	}
}

func (l *Lease) renewing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Known() && l.keeper.Held(l.Now())
}

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	get, recalled := l.reader()
	obj, err := get(ctx, leaseKind, leaseName)
	var record wire.ControllerLease
	switch {
	case trace.IsNotFound(err) && recalled:
		return errNotYet
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
	l.observe(obj.Version, record)
	return nil
}

// reader returns the call to read the record with. A weak VM that starts wants to
// know where the controller is, and leaves the lease to others at first: a read
// that may be some seconds old tells it mostly, and costs the platform little.
// Dozens of VMs start together.
func (l *Lease) reader() (get func(ctx context.Context, kind, name string) (store.Object, error), recalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Objects.GetCached == nil || l.Weakness < recallFrom || l.recalls >= recallMost || l.keeper.Known() {
		return l.Objects.Get, false
	}
	l.recalls++
	return l.Objects.GetCached, true
}

func (l *Lease) observe(version int, record wire.ControllerLease) {
	if version != 0 && record.Renewals != l.record.Renewals {
		l.freeSince = time.Time{}
	}
	l.record = record
	if l.Poison != nil {
		l.Poison.MergeSuspects(l.Now(), suspectsOf(record.Blocked))
	}
	l.keeper.Observe(l.Now(), version, lease.Record{
		Holder: record.Holder, Boot: record.Boot, DurationMs: record.DurationMs, Renewals: record.Renewals,
	})
}

// Told takes in the record as the holder wrote it last, so that a VM which loses
// the link knows from when the lease runs and need not wait its whole length from
// then.
func (l *Lease) Told(version int, record wire.ControllerLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ := l.keeper.Version()
	if version <= known || l.keeper.Held(l.Now()) {
		return
	}
	l.observe(version, record)
}

// Renewed returns the record as it is known, and its version.
func (l *Lease) Renewed() (version int, record wire.ControllerLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, _ = l.keeper.Version()
	return version, l.record
}

func (l *Lease) write(ctx context.Context, action lease.Action) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	vms := 0
	if l.Count != nil {
		vms = l.Count()
	}
	l.mu.Lock()
	begun := l.Now()
	next, version := l.keeper.Record()
	before, seen := l.record, l.keeper.Changed()
	l.mu.Unlock()
	record := wire.ControllerLease{
		Holder: next.Holder, Boot: next.Boot, DurationMs: next.DurationMs, Renewals: next.Renewals,
		Address: l.Address, Key: l.key, Vms: vms,
	}
	if l.Poison != nil {
		record.Blocked = blockedList(l.Poison.Suspects(begun))
	}
	got, err := l.Objects.Put(ctx, leaseKind, leaseName, version, record)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.keeper.Lost()
		return fmt.Errorf("write lease: %w", err)
	}
	l.keeper.Won(begun, got, next)
	l.record = record
	if action == lease.Take {
		l.took(begun, got, before, seen)
	}
	return nil
}

// took notes that the lease was taken. The VM before gave its last order when
// its lease ended at the latest, which was a lease's length after this VM saw
// its last renewal; the first order of this one comes a handover later.
func (l *Lease) took(begun time.Time, version int, before wire.ControllerLease, seen time.Time) {
	l.fence, l.ended = version, begun
	if before.Address != "" && before.Address != l.Address {
		length := time.Duration(before.DurationMs) * time.Millisecond
		l.ended = seen.Add(length + orderSlack)
		l.orders = l.ended.Add(l.Handover)
	}
	l.Log.Info().Int("fence", version).Str("before", before.Holder).Time("begun", begun).Msg("lease taken")
}

// Extend renews the lease a last time, for long enough that the process can
// start again and go on with it. A change of controller costs the time of the
// lease and the pause between orders of two VMs, during which no model moves;
// a restart takes a second. It reports whether the lease was held.
func (l *Lease) Extend(ctx context.Context, duration time.Duration) bool {
	l.mu.Lock()
	held := l.keeper.Held(l.Now())
	l.keeper.Duration = duration
	l.mu.Unlock()
	if !held {
		return false
	}
	if err := l.write(ctx, lease.Renew); err != nil {
		l.Log.Info().Err(err).Msg("lease not extended")
	}
	return true
}
