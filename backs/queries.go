package backs

import "time"

// Serving returns the servers of a service that may get new requests, apart from rests that they asked this
// VM for.
func (v *View) Serving(now time.Time, service string) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	var list []Entry
	for _, r := range v.records {
		if r.entry.Service == service && r.usable(now) {
			list = append(list, r.entry)
		}
	}
	return list
}

func (r *record) usable(now time.Time) bool {
	if r.draining || r.unreadable || !r.removedAt.IsZero() {
		return false
	}
	return r.reappearedAt.IsZero() || now.Sub(r.reappearedAt) >= readmitDelay
}

// StoredEntry is an entry as stored, with the time at which this VM received it. Unreadable
// is set when the stored entry can't be read now; Entry is then the last readable one. Rest is how
// much longer the server wants nothing from this VM.
type StoredEntry struct {
	Entry
	ReceivedAt time.Time
	Unreadable bool
	Rest       time.Duration
}

// StoredEntries returns the stored entry of every server that is not removed, including
// draining ones.
func (v *View) StoredEntries(now time.Time) []StoredEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	var list []StoredEntry
	for _, r := range v.records {
		if r.removedAt.IsZero() {
			list = append(list, StoredEntry{Entry: r.stored, ReceivedAt: r.receivedAt, Unreadable: r.unreadable, Rest: v.restRemaining(now, r.entry.ID)})
		}
	}
	return list
}

// All returns every server that is not removed, with the newest information on its models.
func (v *View) All(now time.Time) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	var list []Entry
	for _, r := range v.records {
		if r.removedAt.IsZero() {
			list = append(list, r.entry)
		}
	}
	return list
}

// Entry returns the entry of a server, and whether there is one.
func (v *View) Entry(id string) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.records[id]
	if r == nil || !r.removedAt.IsZero() {
		return Entry{}, false
	}
	return r.entry, true
}

// CurrentAt returns the last time of which the view certainly has every change that the store had made by then, zero if
// there is none because an older full state was applied since.
func (v *View) CurrentAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.currentAt.After(v.setBackAt) {
		return time.Time{}
	}
	return v.currentAt
}

// Revision returns the number of changes so far.
func (v *View) Revision() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Usable reports whether a server may get new requests now, apart from a rest that it asked this VM for.
func (v *View) Usable(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	r := v.records[id]
	return r != nil && r.usable(now)
}

// MaySend reports whether this VM may send a caller's request to a server now.
func (v *View) MaySend(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	r := v.records[id]
	return r != nil && r.usable(now) && v.restRemaining(now, id) == 0
}

// StartsTold reports whether the entry of any server has told when its instance started. A name then stands for several
// instances, also where the entry under it does not tell the start.
func (v *View) StartsTold() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startsTold
}
