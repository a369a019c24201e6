package backs

import "time"

// State is the state of a server as VMs send it to each other.
type State struct {
	Entry
	// Gone is set when the entry was removed.
	Gone bool
	// Hold is how long a server whose entry reappeared still gets no requests.
	Hold time.Duration
	// Unreadable is set while the stored entry describes no valid server.
	Unreadable bool
}

// Since returns the servers that changed after the given revision of the view, all for 0,
// and the current revision.
func (v *View) Since(now time.Time, revision int) ([]State, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	var list []State
	for _, r := range v.records {
		if r.revision <= revision || revision == 0 && !r.removedAt.IsZero() {
			continue
		}
		s := State{Entry: r.entry, Gone: !r.removedAt.IsZero(), Unreadable: r.unreadable}
		if !r.reappearedAt.IsZero() {
			s.Hold = max(0, readmitDelay-now.Sub(r.reappearedAt))
		}
		list = append(list, s)
	}
	return list, v.revision
}

// Word is an update from another VM that watches the store.
type Word struct {
	States []State
	// Full is set when States lists every existing server.
	Full bool
	// Age is the time since the store last confirmed that VM's state as current.
	Age time.Duration
	// Known is for how long that VM has had a complete server list.
	Known time.Duration
}

// Adopt merges an update from another VM. When a full list omits a server, the entry may
// have expired during a store outage, and a sender that started during the outage lists
// only the servers whose entries have reappeared. If the view was out of date for longer
// than the sender has had a complete list, omitted servers are therefore treated as in
// Remove. Otherwise they are removed at once: a sender with a complete list throughout
// keeps servers with expired entries itself.
func (v *View) Adopt(now time.Time, w Word) {
	v.mu.Lock()
	defer v.mu.Unlock()
	senderWasSynced := !now.Add(-w.Known).After(v.currentAt)
	v.recordCurrent(now, now.Add(-w.Age))
	listed := make(map[string]bool, len(w.States))
	for _, s := range w.States {
		listed[s.ID] = true
		v.mergeState(now, s)
	}
	if w.Full {
		v.removeUnlisted(now, listed, senderWasSynced)
		v.markSynced(now)
	}
	if len(w.States) > 0 || w.Full {
		v.notify()
	}
}

// removeUnlisted removes the servers that a full list omits, without a grace period if
// confirmed is set.
func (v *View) removeUnlisted(now time.Time, listed map[string]bool, confirmed bool) {
	for id, r := range v.records {
		switch {
		case listed[id] || !r.removedAt.IsZero():
		case confirmed:
			v.markRemoved(now, r)
		default:
			v.remove(now, id)
		}
	}
}

func (v *View) mergeState(now time.Time, s State) {
	if s.Gone {
		if r := v.records[s.ID]; r != nil && r.removedAt.IsZero() {
			v.markRemoved(now, r)
		}
		return
	}
	v.put(now, s.Entry)
	r := v.records[s.ID]
	if r == nil {
		// The state describes an earlier instance than the one in this view.
		return
	}
	r.unreadable = s.Unreadable
	// The other VM's list of models is newer than the store's.
	r.entry.Models, r.controllerAt = s.Models, now
	if s.Hold > 0 {
		r.reappearedAt = now.Add(s.Hold - readmitDelay)
	}
}
