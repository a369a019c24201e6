package peers

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// orderTimeout covers an order that the previous holder sent right before its lease ended. It may be in
// flight until its call times out.
const orderTimeout = 400 * time.Millisecond

// handover keeps the orders of two holders of the lease apart. The zero value knows no other holder.
type handover struct {
	// previousTermEnd is the latest time at which the previous holder may have sent an order.
	// ordersFrom is when this VM may send its first order.
	previousTermEnd, ordersFrom time.Time
	// heldAt is when this VM began the last write that acquired or renewed the lease, in heldEra of the
	// store; zero if it has released it since.
	heldAt  time.Time
	heldEra int
}

// foundRecord is what a VM that acquires the lease knows of the record that it found.
type foundRecord struct {
	// own is set if the record is this VM's, or there is none.
	own        bool
	observedAt time.Time
	// handoverLeft is how long its holder was to send no orders from the last renewal on.
	handoverLeft time.Duration
	// duration is how long the lease lasted from the last renewal, lost how long one may have lasted of
	// which the store has lost the record.
	duration, lost time.Duration
	handover       time.Duration
	// restored is set if the record may lack later ones, because the store has come back from a copy, in
	// this era.
	restored bool
	era      int
}

// foundRecord describes the record last observed, for a write on its version. l.mu must be held.
func (l *Lease) foundRecord(version int) foundRecord {
	era, _ := store.SplitVersion(version)
	return foundRecord{
		own: l.record.Holder != oddHolder && (l.record.Address == "" || l.record.Address == l.Address), observedAt: l.keeper.ObservedAt(),
		handoverLeft: time.Duration(l.record.ZzzzHandoverMs) * time.Millisecond,
		duration:     time.Duration(l.record.DurationMs) * time.Millisecond, lost: l.Duration, handover: l.Handover,
		restored: l.keeper.Restored(), era: era,
	}
}

// acquired returns h for a VM that acquires the lease with a write that it begins at a time. The previous
// holder sent its last order before its lease expired, which is at most one lease duration after this VM
// observed its last renewal; if its record is lost, it wrote that before the store came back. This VM sends
// its first order one handover time later. A VM that goes on with its own lease keeps to what it knew before,
// and to its record, which a process that ended may have written.
func (h handover) acquired(startedAt time.Time, found foundRecord) handover {
	previousTermEnd, ordersFrom := startedAt, time.Time{}
	duration := found.duration
	if found.restored {
		duration = max(duration, found.lost)
	}
	switch {
	case found.restored && h.onlyToOrder(startedAt, found):
	case found.restored || !found.own:
		previousTermEnd = found.observedAt.Add(duration + orderTimeout)
		ordersFrom = previousTermEnd.Add(found.handover)
	case found.handoverLeft > 0:
		ordersFrom = found.observedAt.Add(found.handoverLeft)
		previousTermEnd = ordersFrom.Add(-found.handover)
	}
	h.previousTermEnd, h.ordersFrom = later(h.previousTermEnd, previousTermEnd), later(h.ordersFrom, ordersFrom)
	return h
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// onlyToOrder reports whether no other VM can have sent orders since this one held the lease. From its last
// renewal to the first order of another holder, it takes a lease duration and a handover at least. An era
// later, others may count on the same.
func (h handover) onlyToOrder(now time.Time, found foundRecord) bool {
	return !h.heldAt.IsZero() && now.Sub(h.heldAt) < found.lost+found.handover && found.era == h.heldEra+1
}

// leftMs returns the milliseconds until this VM may send orders, 0 if it may, rounded up.
func (h handover) leftMs(now time.Time) int {
	return int((max(h.ordersFrom.Sub(now), 0) + time.Millisecond - 1).Milliseconds())
}

// held returns h after a write that acquired or renewed the lease, begun at a time, with its version.
func (h handover) held(startedAt time.Time, version int) handover {
	h.heldAt = startedAt
	h.heldEra, _ = store.SplitVersion(version)
	return h
}
