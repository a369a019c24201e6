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

// MarkCurrent records that the view is current at the given time.
func (v *View) MarkCurrent(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordCurrent(now, now)
}

// recordCurrent records at time now that the view was current at asOf.
func (v *View) recordCurrent(now, asOf time.Time) {
	if asOf.After(v.currentAt) {
		v.currentAt = asOf
	}
	v.recordContact(now, asOf)
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
