package backs

import (
	"cmp"
	"slices"
	"time"
)

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

// expiryTime is the number of heartbeats without a write after which the store removes an entry.
const expiryTime = 3

// putListed applies an entry of a full list, and counts the change. The list may be that of a copy: if this view has
// removed the server before, it gets no requests until the store would have removed the entry of a server that has left,
// and models that differ count only once the server has had time to write its entry again.
func (v *View) putListed(now time.Time, e Entry) {
	before, known := v.sharedStateOf(e.ID), record{}
	if r := v.records[e.ID]; r != nil {
		known = *r
	}
	r := v.apply(now, e)
	if r == nil {
		return
	}
	expiry := v.restoredAt.Add(expiryTime * cmp.Or(v.Heartbeat, defaultHeartbeat))
	if !known.removedAt.IsZero() && known.removedAt.Before(v.restoredAt) && expiry.After(now) {
		r.reappearedAt = expiry
	}
	if known.entry.ID == e.ID && v.restoring(now) && !slices.EqualFunc(known.stored.Models, e.Models, LoadedModel.equal) {
		r.copied = &e
		r.stored.Models, r.entry.Models = known.stored.Models, known.entry.Models
	}
	v.bumpIfChanged(r, before)
}

// applyCopied applies the entries whose models did not count because the servers might have written them again, and
// have not.
func (v *View) applyCopied(now time.Time) {
	if v.restoring(now) {
		return
	}
	for _, r := range v.records {
		if r.copied != nil && r.removedAt.IsZero() {
			v.put(now, *r.copied)
			v.notify()
		}
	}
}
