package backs

import "time"

// A store that comes back from a copy lacks what was written in the last seconds. Servers write their entries again
// within about two seconds, as after an outage in which they expired. Until then a list may lack servers, and have
// servers that have left.

// MarkRestored records that the store has come back from a copy. It is called before the first list after that is
// applied. It may be called more than once.
func (v *View) MarkRestored(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restoredAt, v.recoveredAt, v.scannedAt = now, now, time.Time{}
}

// restoring reports whether servers may not have written their entries again yet.
func (v *View) restoring(now time.Time) bool {
	return !v.restoredAt.IsZero() && now.Before(v.restoredAt.Add(expiryGrace))
}
