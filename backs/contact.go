package backs

import (
	"cmp"
	"time"
)

// MarkStoreUnreachable records that the store does not respond to calls of this VM.
func (v *View) MarkStoreUnreachable() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeUnreachable, v.scannedAt = true, time.Time{}
}

// RecordStoreAnswer records that the store responded to any call of this VM.
func (v *View) RecordStoreAnswer(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordContact(now, now)
}

// MarkRead records that an answer of the store was read, which may have been made long before. It is called before what
// the answer says is applied.
func (v *View) MarkRead(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordRead(now, now)
}

// MarkCurrent records that the view has every change that the store had made by a time. It takes an answer that was
// asked for at that time or later, and is called once all that the answer says has been applied.
func (v *View) MarkCurrent(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markCurrent(asOf)
}

func (v *View) markCurrent(asOf time.Time) {
	if asOf.After(v.currentAt) && !v.restoring(asOf) {
		v.currentAt = asOf
	}
	v.recordRead(asOf, asOf)
}

// recordRead records at time now that what was read is said to have been current at a time.
func (v *View) recordRead(now, at time.Time) {
	if at.After(v.readAt) {
		v.readAt = at
	}
	v.recordContact(now, at)
}

// recordContact records at time now that the store was reachable at the given time. Failed
// calls alone don't prove an outage, because this VM may have been slow or partitioned.
// Entries can have expired only if no VM has reported contact with the store for long
// enough.
func (v *View) recordContact(now, at time.Time) {
	if !at.After(v.contactAt) {
		return
	}
	outage := now.Sub(v.contactAt)
	v.contactAt = at
	if !v.storeUnreachable {
		return
	}
	v.storeUnreachable = false
	if outage >= expiryHeartbeats*cmp.Or(v.Heartbeat, defaultHeartbeat) {
		v.recoveredAt, v.scannedAt = now, time.Time{}
	}
}
