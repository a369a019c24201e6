package backs

import (
	"sync"
	"time"
)

const (
	// expiryGrace is how long a server whose entry expired during a store outage is kept
	// after the store recovers. A live server writes its entry within about two seconds.
	expiryGrace = 2 * time.Second
	// expiryHeartbeats is the shortest store outage, in heartbeats, in which entries can
	// expire. The store removes an entry after three heartbeats without a write, and the
	// last write may have been due just before the outage.
	expiryHeartbeats = 2
	// defaultHeartbeat is the interval between heartbeats of a server when none is set.
	defaultHeartbeat = 1200 * time.Millisecond
	// readmitDelay is how long an entry that reappeared after its removal must exist before
	// the server gets requests. An entry written by a late heartbeat of a server that has
	// exited expires after three heartbeats.
	readmitDelay = 4 * time.Second
	// controllerPrecedence is how long models and adapters reported by the controller take
	// precedence over an entry. An entry can be a heartbeat old, while adapters load in
	// milliseconds, and a server lists a model that it is unloading until the model's last
	// request has ended.
	controllerPrecedence = 2 * time.Second
	// expiryScanInterval is the minimum interval between scans of all entries for expired
	// ones. With a scan at each query, a placement step over 1,500 servers takes 95 ms
	// instead of 12 ms (BenchmarkStep).
	expiryScanInterval = 10 * time.Millisecond
	// removedRetention is how long removed servers are kept. Instance IDs are never reused,
	// so the record only needs to outlive late entries.
	removedRetention = 2 * time.Minute
)

// record is the state of one server instance.
type record struct {
	// entry is what requests are routed by. Its models may be newer than the stored ones.
	entry Entry
	// stored is the entry in the store, received at receivedAt.
	stored     Entry
	receivedAt time.Time
	// draining is never reset: a draining server is only replaced by a new instance, and a
	// late heartbeat may report otherwise.
	draining bool
	// copied is the entry in the store while its models may be those of a copy, and older than the ones known.
	copied *Entry
	// removedAt is when the entry was removed, zero while it exists.
	removedAt time.Time
	// missingSince is when the entry was found missing during or just after a store outage.
	missingSince time.Time
	// keptUntil is until when a missing server is kept because the list that omits it is older than the view.
	keptUntil time.Time
	// reappearedAt is when the entry reappeared after its removal. It may be in the future if only the copy
	// of a store has brought the entry back.
	reappearedAt time.Time
	// unreadable is set while the stored entry describes no valid server.
	unreadable bool
	// modelsAt is when entry.Models was observed, controllerAt when another VM or the
	// controller last reported them.
	modelsAt, controllerAt time.Time
	// revision is the view's revision at the last change of the record.
	revision int
}

// Missing is a server whose entry is no longer in the store.
type Missing struct {
	// ID is the ID of the server instance.
	ID string
	// Kept is set when the server stays in use because its entry may only have expired.
	Kept bool
}

// View is the set of servers known to a VM. The zero value is ready to use. It is safe for
// concurrent use.
type View struct {
	// OnMissing, if not nil, is called for each server that goes missing, and again when a
	// kept server is removed. It is called with the View's lock held.
	OnMissing func(Missing)
	// OnNotice, if not nil, is called when this VM learns, other than from a server's entry, that the
	// server leaves, and when a server asks this VM for rest. It is called with the View's lock held.
	OnNotice func(NoticeChange)
	// Heartbeat is the interval between heartbeats of a server; 0 selects the default.
	Heartbeat time.Duration

	mu      sync.Mutex
	records map[string]*record
	// instanceIDs maps a server's platform name to the ID of its newest instance.
	instanceIDs map[string]string
	// startsTold is set once an entry has told when its instance started.
	startsTold bool
	// leaving holds the servers that said in a response to any VM that they leave, and restUntil the
	// ends of the rests that servers asked this VM for, both by server ID. They outlive the records,
	// as an entry may be removed and stored again.
	leaving   map[string]*leavingServer
	restUntil map[string]time.Time
	// limited holds the servers that crash if they have to reject too many requests, by server ID.
	limited map[string]*limitedServer
	// storeUnreachable is set while the store is unreachable. recoveredAt is when the last outage
	// ended that was long enough for entries to expire.
	storeUnreachable bool
	recoveredAt      time.Time
	// restoredAt is when the store was last found to have come back from a copy.
	restoredAt time.Time
	// currentAt is the last time of which the view certainly has every change that the store had made by then.
	// readAt is the same by what answers and frames said when they were read. They may have been on the way for long.
	currentAt, readAt time.Time
	// setBackAt is when a full state that is older than currentAt was last applied. It may have replaced what is newer.
	setBackAt time.Time
	// syncedAt is when the first full list arrived.
	syncedAt time.Time
	history  history
	// contactAt is when the store was last known to be reachable, from a response to any
	// call of this VM or from another VM's update.
	contactAt time.Time
	// scannedAt is when entries were last scanned for expiry, zero when a scan is due.
	scannedAt time.Time
	changed   chan struct{}
	synced    bool
	// revision counts changes.
	revision int
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

func (v *View) notify() {
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}

// SyncedFor returns the time since the first full list was received, 0 before that.
func (v *View) SyncedFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.synced {
		return 0
	}
	return now.Sub(v.syncedAt)
}

// Count returns the number of servers known, including those removed in the last minutes.
func (v *View) Count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.records)
}

// Synced reports whether a full list has been received.
func (v *View) Synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.synced
}

// Put applies an entry that is in the store.
func (v *View) Put(now time.Time, e Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision := v.revision
	v.put(now, e)
	if v.revision != revision {
		v.notify()
	}
}

// put applies an entry and counts the change, if there is one.
func (v *View) put(now time.Time, e Entry) {
	before := v.sharedStateOf(e.ID)
	if r := v.apply(now, e); r != nil {
		v.bumpIfChanged(r, before)
	}
}

// apply applies an entry and returns its record, or nil if the entry is of an earlier instance.
func (v *View) apply(now time.Time, e Entry) *record {
	if v.records == nil {
		v.records, v.instanceIDs = make(map[string]*record), make(map[string]string)
	}
	if !v.acceptInstance(now, e) {
		return nil
	}
	v.startsTold = v.startsTold || !e.StartedAt.IsZero()
	r := v.records[e.ID]
	if r == nil {
		r = &record{}
		v.records[e.ID] = r
	}
	if !r.removedAt.IsZero() {
		r.removedAt, r.reappearedAt = time.Time{}, now
	}
	r.missingSince, r.unreadable = time.Time{}, false
	r.draining = r.draining || e.Draining || v.leaving[e.ID] != nil
	e.Draining = r.draining
	if before := r.entry.SoftwareVersion; before != "" && before != e.SoftwareVersion {
		v.history.addGone(ServiceVersion{r.entry.Service, before}, now)
	}
	r.stored, r.receivedAt, r.copied = e, now, nil
	if now.Sub(r.controllerAt) < controllerPrecedence {
		e.Models = mergeControllerModels(e.Models, r.entry.Models)
	}
	r.entry, r.modelsAt = e, now
	return r
}

// acceptInstance records which instance an entry belongs to. It reports false for an entry
// of an earlier instance, from a late heartbeat of a process that has exited. A new
// instance ends the previous one, whose connections, prompts, models and orders are lost.
// It gets requests at once, without the delay for an entry that reappears.
func (v *View) acceptInstance(now time.Time, e Entry) bool {
	previousID, ok := v.instanceIDs[e.PlatformName()]
	if !ok || previousID == e.ID {
		v.instanceIDs[e.PlatformName()] = e.ID
		return true
	}
	r := v.records[previousID]
	if r != nil && e.StartedAt.Before(r.entry.StartedAt) {
		return false
	}
	v.instanceIDs[e.PlatformName()] = e.ID
	v.history.hiddenAt = now
	if r != nil && r.removedAt.IsZero() {
		v.markRemoved(now, r)
	}
	return true
}

// MarkUnreadable records that a server's entry can't be parsed or describes no valid
// server. The server gets no new requests until its next heartbeat rewrites the entry. It
// is not removed, and gets requests at once after that.
func (v *View) MarkUnreadable(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markUnreadable(name)
	v.notify()
}

func (v *View) markUnreadable(name string) {
	if r := v.records[v.instanceIDs[name]]; r != nil && r.removedAt.IsZero() && !r.unreadable {
		r.unreadable, r.missingSince = true, time.Time{}
		v.bumpRevision(r)
	}
}

func (v *View) bumpRevision(r *record) {
	v.revision++
	r.revision = v.revision
}

// bumpIfChanged counts a change of a record if what VMs send each other about it differs from before.
// Servers rewrite their entries at each heartbeat, so that most entries change nothing.
func (v *View) bumpIfChanged(r *record, before sharedState) {
	if !r.shared().equal(before) {
		v.bumpRevision(r)
	}
}

// Remove records that the entry of the named server was removed. Shortly after a long store
// outage the server is kept for a grace period.
func (v *View) Remove(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(now, v.instanceIDs[name])
	v.notify()
}

func (v *View) remove(now time.Time, id string) {
	r := v.records[id]
	if r == nil || !r.removedAt.IsZero() {
		return
	}
	mayHaveExpired := v.storeUnreachable || !v.recoveredAt.IsZero() && now.Before(v.recoveredAt.Add(expiryGrace))
	if mayHaveExpired && !r.draining {
		if r.missingSince.IsZero() {
			r.missingSince, v.scannedAt = now, time.Time{}
			v.reportMissing(Missing{ID: id, Kept: true})
		}
		return
	}
	v.markRemoved(now, r)
}

// markRemoved removes a server from use.
func (v *View) markRemoved(now time.Time, r *record) {
	r.removedAt, r.missingSince = now, time.Time{}
	v.bumpRevision(r)
	v.reportMissing(Missing{ID: r.entry.ID})
}

func (v *View) reportMissing(m Missing) {
	if v.OnMissing != nil {
		v.OnMissing(m)
	}
}

// Replace applies a full list, with the names of its unreadable entries.
func (v *View) Replace(now time.Time, entries []Entry, unreadable ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(entries)+len(unreadable))
	for _, e := range entries {
		listed[e.ID] = true
		v.putListed(now, e)
	}
	for _, name := range unreadable {
		if v.instanceIDs[name] == "" {
			v.history.hiddenAt = now
		}
		listed[v.instanceIDs[name]] = true
		v.markUnreadable(name)
	}
	for id := range v.records {
		if !listed[id] {
			v.remove(now, id)
		}
	}
	v.recordRead(now, now)
	v.markSynced(now)
	v.expire(now)
	v.notify()
}

// markSynced records that a full list has been received.
func (v *View) markSynced(now time.Time) {
	if !v.synced {
		v.synced, v.syncedAt = true, now
	}
	v.recordList(now)
}

// expire removes kept servers after their grace period and deletes old records.
func (v *View) expire(now time.Time) {
	if since := now.Sub(v.scannedAt); since >= 0 && since < expiryScanInterval {
		return
	}
	v.scannedAt = now
	v.forgetNotices(now)
	v.applyCopied(now)
	for id, r := range v.records {
		if !r.missingSince.IsZero() && !v.storeUnreachable && !now.Before(v.recoveredAt.Add(expiryGrace)) && !now.Before(r.keptUntil) {
			v.markRemoved(now, r)
			v.notify()
		}
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > removedRetention {
			v.history.addGone(ServiceVersion{r.entry.Service, r.entry.SoftwareVersion}, r.removedAt)
			delete(v.records, id)
			if v.instanceIDs[r.entry.PlatformName()] == id {
				delete(v.instanceIDs, r.entry.PlatformName())
			}
		}
	}
}

// MarkEnded records that a server instance has ended because another instance answers under
// its name.
func (v *View) MarkEnded(now time.Time, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.records[id]; r != nil && r.removedAt.IsZero() {
		v.markRemoved(now, r)
		v.notify()
	}
}
