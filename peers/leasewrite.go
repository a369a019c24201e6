package peers

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// leaseWrite is a write of the lease record, as decided when it begins.
type leaseWrite struct {
	action    lease.Action
	startedAt time.Time
	// version is the version of the record that the write replaces, 0 if there is none.
	version int
	next    lease.Record
	// previous is the record that the write replaces, found what this VM knows of it.
	previous wire.ControllerLease
	found    foundRecord
	// leastToken is the lower bound of the fencing token, handover the state of the handover if the
	// write succeeds.
	leastToken int
	handover   handover
}

// write acquires or renews the lease.
func (l *Lease) write(ctx context.Context, action lease.Action) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	vms := 0
	if l.CountVMs != nil {
		vms = l.CountVMs()
	}
	w := l.beginWrite(action)
	record := l.newRecord(w, vms)
	newVersion, err := l.Objects.Put(ctx, leaseKind, leaseName, w.version, record)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.keeper.UpdateFailed()
		return fmt.Errorf("write lease: %w", err)
	}
	l.applyWritten(w, record, newVersion)
	return nil
}

// beginWrite returns the write that acquires or renews the lease now.
func (l *Lease) beginWrite(action lease.Action) leaseWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := leaseWrite{action: action, startedAt: l.Now(), previous: l.record, leastToken: l.fencingToken, handover: l.handover}
	w.next, w.version = l.keeper.NextRecord()
	w.found = l.foundRecord(w.version)
	if action == lease.Acquire {
		w.leastToken, w.handover = l.tokens.next(w.version), l.handover.acquired(w.startedAt, w.found)
	}
	return w
}

// newRecord returns the record of a write, for a number of VMs. l.mu must not be held, because
// functions that fill in the record take the lock of Peers, which also calls the Lease while it holds it.
func (l *Lease) newRecord(w leaseWrite, vms int) wire.ControllerLease {
	record := wire.ControllerLease{
		Holder: w.next.Holder, Boot: w.next.BootID, DurationMs: w.next.DurationMs, Renewals: w.next.Renewals,
		Address: l.Address, Key: l.key, Vms: vms,
		ZzzzEra: w.next.Era, ZzzzHandoverMs: w.handover.leftMs(w.startedAt), ZzzzLeastToken: w.leastToken,
		ZzDomainVms: w.previous.ZzDomainVms, ZzAllotmentVms: w.previous.ZzAllotmentVms, ZzSettledVms: w.previous.ZzSettledVms,
	}
	if l.RecordAllotments != nil && w.action == lease.Renew {
		// A new holder has not counted any VMs in this term, and keeps what the one before has.
		l.RecordAllotments(&record)
	}
	if l.Poison != nil {
		record.Blocked = blockedList(l.Poison.Suspects(w.startedAt))
	}
	record.ZzzBlockedParts = suspectParts(l.PartTracker.Suspects(w.startedAt), true)
	if l.QuotaLevels != nil {
		record.QuotaLevels = l.QuotaLevels()
	}
	if l.VersionHistory != nil {
		record.ZVersionHistory = historyRecord(time.Now(), l.VersionHistory())
	}
	return record
}

// applyWritten applies a write that succeeded, with the version that it got. l.mu must be held.
func (l *Lease) applyWritten(w leaseWrite, record wire.ControllerLease, newVersion int) {
	l.keeper.UpdateSucceeded(w.startedAt, newVersion, w.next)
	l.setRecord(record)
	l.tokens.observe(newVersion, record)
	first := w.version == 0 && !w.found.restored
	if first {
		l.observeFirstTerm()
	}
	if w.action == lease.Acquire {
		_, revision := store.SplitVersion(newVersion)
		l.fencingToken, l.firstTerm = max(w.leastToken, revision), first
		l.Log.Info().Int("fence", l.fencingToken).Str("before", w.previous.Holder).Bool("restored", w.found.restored).Time("begun", w.startedAt).Msg("controller lease acquired")
	}
	l.handover = w.handover.held(w.startedAt, newVersion)
}
