package backs

import "time"

// State is the state of a server as VMs send it to each other.
type State struct {
	Entry
	// Removed is set when the entry was removed.
	Removed bool
	// ReadmitAfter is how long a server whose entry reappeared still gets no requests.
	ReadmitAfter time.Duration
	// Unreadable is set while the stored entry describes no valid server.
	Unreadable bool
}

// sharedState is the part of a record that VMs send to each other.
type sharedState struct {
	entry               Entry
	removed, unreadable bool
	reappearedAt        time.Time
}

func (r *record) shared() sharedState {
	return sharedState{entry: r.entry, removed: !r.removedAt.IsZero(), unreadable: r.unreadable, reappearedAt: r.reappearedAt}
}

// sharedStateOf returns the shared state of a server, the zero state for an unknown one.
func (v *View) sharedStateOf(id string) sharedState {
	if r := v.records[id]; r != nil {
		return r.shared()
	}
	return sharedState{}
}

func (s sharedState) equal(other sharedState) bool {
	return s.removed == other.removed && s.unreadable == other.unreadable && s.reappearedAt.Equal(other.reappearedAt) && s.entry.sameUse(other.entry)
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
		s := State{Entry: r.entry, Removed: !r.removedAt.IsZero(), Unreadable: r.unreadable}
		if !r.reappearedAt.IsZero() {
			s.ReadmitAfter = max(0, readmitDelay-now.Sub(r.reappearedAt))
		}
		list = append(list, s)
	}
	return list, v.revision
}

// Update is an update from another VM that watches the store.
type Update struct {
	States []State
	// Full is set when States lists every existing server.
	Full bool
	// Age is the time since the store last confirmed that VM's state as current.
	Age time.Duration
	// SyncedFor is for how long that VM has had a complete server list.
	SyncedFor time.Duration
	// Superseded is set when a later update of that VM has been merged before. States then only tell which versions
	// have existed.
	Superseded bool
}

// Merge merges an update from another VM. When a full list omits a server, the entry may
// have expired during a store outage, and a sender that started during the outage lists
// only the servers whose entries have reappeared. If the view was out of date for longer
// than the sender has had a complete list, omitted servers are therefore treated as in
// Remove, and so they are while the store has just come back from a copy. Otherwise they are
// removed at once: a sender with a complete list throughout keeps servers with expired
// entries itself. A full list that is older than the view does not show that the servers which it omits have left: they
// are kept until they had time to write their entries, and the view is not current until it is confirmed again.
func (v *View) Merge(now time.Time, update Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	senderWasSynced := !now.Add(-update.SyncedFor).After(v.readAt)
	v.recordRead(now, now.Add(-update.Age))
	if update.Superseded {
		v.addSeen(now, update.States)
		return
	}
	older := update.Full && now.Add(-update.Age).Before(v.currentAt)
	revision := v.revision
	listed := make(map[string]bool, len(update.States))
	for _, s := range update.States {
		if !s.Removed && s.Validate() != nil {
			// A VM of an older build takes odd entries for servers.
			listed[v.instanceIDs[s.PlatformName()]] = true
			v.markUnreadable(s.PlatformName())
			continue
		}
		listed[s.ID] = true
		v.mergeState(now, s)
	}
	if update.Full {
		if older {
			v.setBackAt = now
			v.keepUnlisted(now, listed)
		} else {
			v.removeUnlisted(now, listed, senderWasSynced && !v.restoring(now))
		}
		v.markSynced(now)
	}
	if v.revision != revision || update.Full {
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

// keepUnlisted keeps the servers that an older full list omits for a grace period.
func (v *View) keepUnlisted(now time.Time, listed map[string]bool) {
	for id, r := range v.records {
		if listed[id] || !r.removedAt.IsZero() || !r.missingSince.IsZero() {
			continue
		}
		r.missingSince, r.keptUntil, v.scannedAt = now, now.Add(expiryGrace), time.Time{}
		v.reportMissing(Missing{ID: id, Kept: true})
	}
}

// addSeen records that the software versions of servers have existed until now at most.
func (v *View) addSeen(now time.Time, states []State) {
	for _, s := range states {
		if s.Service != "" {
			v.history.addGone(ServiceVersion{s.Service, s.SoftwareVersion}, now)
		}
	}
}

func (v *View) mergeState(now time.Time, s State) {
	if s.Removed {
		r := v.records[s.ID]
		if r == nil && s.Service != "" {
			// It came and went between two frames.
			v.history.addGone(ServiceVersion{s.Service, s.SoftwareVersion}, now)
		}
		if r != nil && r.removedAt.IsZero() {
			v.markRemoved(now, r)
		}
		return
	}
	before := v.sharedStateOf(s.ID)
	if s.SoftwareVersion == "" {
		// A hub of an older build does not tell versions. That of an instance does not change.
		s.SoftwareVersion = before.entry.SoftwareVersion
	}
	r := v.apply(now, s.Entry)
	if r == nil {
		// The state describes an earlier instance than the one in this view.
		return
	}
	if r.draining && !before.entry.Draining {
		v.reportNotice(NoticeChange{ID: s.ID, Notice: Notice{Leaving: true}, Source: FromHub})
	}
	r.unreadable = s.Unreadable
	// The other VM's list of models is newer than the store's.
	r.entry.Models, r.controllerAt = s.Models, now
	if s.ReadmitAfter > 0 {
		r.reappearedAt = now.Add(s.ReadmitAfter - readmitDelay)
	}
	v.bumpIfChanged(r, before)
}
