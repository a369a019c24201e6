package backs

import (
	"cmp"
	"sync"
	"time"
)

const (
	// returnHold is how long an entry that lapsed while the store was away may
	// still come back after its return: a live server writes its entry within
	// about two seconds.
	returnHold = 2 * time.Second
	// lapseBeats is how many heartbeats long an outage of the store is in which entries can
	// have lapsed. The store takes one away after three without a word of its server, the
	// last of which may have been due right before the outage.
	lapseBeats = 2
	// defaultHeartbeat is the time between two heartbeats of a server where it is not set.
	defaultHeartbeat = 1200 * time.Millisecond
	// ghostHold is how long an entry that was removed and stands again must
	// last before its server gets work. A late heartbeat of a server that left
	// lapses again after three heartbeats.
	ghostHold = 4 * time.Second
	// toldOutweighs is how long what the controller told of models and adapters outweighs
	// an entry, which can be a heartbeat old: adapters load in milliseconds, and a server
	// lists a model that it drops until the last run of it has ended.
	toldOutweighs = 2 * time.Second
	// settleEvery bounds how often all entries are searched for lapsed and forgotten ones.
	// Searched at each question about one server, 1,500 servers make a step of their placement
	// take 95 ms in place of 12 (BenchmarkStep).
	settleEvery = 10 * time.Millisecond
	// forgetAfter bounds the memory of servers that are gone; the ID of a start is
	// never used again, so it needs to outlive only late entries.
	forgetAfter = 2 * time.Minute
)

// record is an entry and what happened to it.
type record struct {
	// entry is what requests go by; its models may be newer than what the store
	// lists.
	entry Entry
	// listed is the entry as it stands in the store since listedAt.
	listed   Entry
	listedAt time.Time
	// drained stays set: a server returns from draining only by a new start, and an
	// old heartbeat may say otherwise.
	drained bool
	// gone is when the entry was removed; zero while it stands.
	gone time.Time
	// lapsing is when the entry went missing while the store had been away.
	lapsing time.Time
	// risen is when it stood again after having been removed.
	risen time.Time
	// unreadable is set while what stands in the store names no server.
	unreadable bool
	// heldAt is how new entry.Models is, toldAt when the controller told it
	// last.
	heldAt, toldAt time.Time
	// revision is the view's when the record changed last.
	revision int
}

// Missing is a server whose entry is not in the store any more.
type Missing struct {
	// ID is that of the server's start.
	ID string
	// Kept says that it stays in use for now, as its entry may have lapsed.
	Kept bool
}

// View is the servers known to a VM. The zero value works. It is safe for use
// by several goroutines.
type View struct {
	// Noted is told of each server that goes missing, and again when one that was kept is
	// given up; nil for nobody. It is called under the View's lock.
	Noted func(Missing)
	// Heartbeat is the time between two heartbeats of a server, 0 for the default.
	Heartbeat time.Duration

	mu      sync.Mutex
	records map[string]*record
	// starts has the ID of the newest start of each server by what it is called.
	starts map[string]string
	// away is set while the store can not be reached, back is when it could be
	// again after an outage in which entries can have lapsed.
	away bool
	back time.Time
	// heard is as of when what is known was current last, known since when all servers are.
	heard, known time.Time
	// contact is when the store was last there, by an answer to any call of this VM or by
	// the word of another one.
	contact time.Time
	// settled is when lapsed and forgotten entries were searched for last, zero when a
	// search is due.
	settled time.Time
	changed chan struct{}
	caught  bool
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

// Away notes that the store does not answer calls of this VM.
func (v *View) Away() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away, v.settled = true, time.Time{}
}

// Answered notes that the store answered a call of this VM, whatever it was for.
func (v *View) Answered(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.met(now, now)
}

// Current notes that what is known of the servers is current.
func (v *View) Current(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hear(now, now)
}

// hear notes at now that what is known was current as of a time.
func (v *View) hear(now, asOf time.Time) {
	if asOf.After(v.heard) {
		v.heard = asOf
	}
	v.met(now, asOf)
}

// met notes at now that the store was there at a time. Calls of this VM may have failed since
// the VM was slow, or cut off alone: entries have lapsed only where nobody told of the store
// for long.
func (v *View) met(now, at time.Time) {
	if !at.After(v.contact) {
		return
	}
	lost := now.Sub(v.contact)
	v.contact = at
	if !v.away {
		return
	}
	v.away = false
	if lost >= lapseBeats*cmp.Or(v.Heartbeat, defaultHeartbeat) {
		v.back, v.settled = now, time.Time{}
	}
}

// Known returns for how long all servers are known, 0 before they are.
func (v *View) Known(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.caught {
		return 0
	}
	return now.Sub(v.known)
}

// Caught reports whether a whole list has been taken in.
func (v *View) Caught() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.caught
}

// Put takes in an entry that stands in the store.
func (v *View) Put(now time.Time, e Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.put(now, e)
	v.notify()
}

func (v *View) put(now time.Time, e Entry) {
	if v.records == nil {
		v.records, v.starts = make(map[string]*record), make(map[string]string)
	}
	if !v.begin(now, e) {
		return
	}
	r := v.records[e.ID]
	if r == nil {
		r = &record{}
		v.records[e.ID] = r
	}
	if !r.gone.IsZero() {
		r.gone, r.risen = time.Time{}, now
	}
	r.lapsing, r.unreadable = time.Time{}, false
	r.drained = r.drained || e.Draining
	e.Draining = r.drained
	r.listed, r.listedAt = e, now
	if now.Sub(r.toldAt) < toldOutweighs {
		e.Models = joinTold(e.Models, r.entry.Models)
	}
	r.entry, r.heldAt = e, now
	v.touch(r)
}

// begin takes in which start of a server an entry is of. It reports false for one of
// an earlier start: a heartbeat that comes late, of a process that has ended. A new
// start ends the one before, whose connections, prompts, models and orders are gone;
// it need not wait as an entry does that rose again.
func (v *View) begin(now time.Time, e Entry) bool {
	before, ok := v.starts[e.Called()]
	if !ok || before == e.ID {
		v.starts[e.Called()] = e.ID
		return true
	}
	r := v.records[before]
	if r != nil && e.Born.Before(r.entry.Born) {
		return false
	}
	v.starts[e.Called()] = e.ID
	if r != nil && r.gone.IsZero() {
		v.end(now, r)
	}
	return true
}

// Unreadable takes in that a server's entry can not be read, or names no server. It
// gets no new work until its entry can be read again; the server's next heartbeat
// writes that, so it is neither gone nor has it to wait then.
func (v *View) Unreadable(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreadable(name)
	v.notify()
}

func (v *View) unreadable(name string) {
	if r := v.records[v.starts[name]]; r != nil && r.gone.IsZero() && !r.unreadable {
		r.unreadable, r.lapsing = true, time.Time{}
		v.touch(r)
	}
}

func (v *View) touch(r *record) {
	v.revision++
	r.revision = v.revision
}

// Remove takes in that the entry of a server's name was removed. Right after the return of a
// store that was away for long it is given time to come back.
func (v *View) Remove(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(now, v.starts[name])
	v.notify()
}

func (v *View) remove(now time.Time, id string) {
	r := v.records[id]
	if r == nil || !r.gone.IsZero() {
		return
	}
	lapsed := v.away || !v.back.IsZero() && now.Before(v.back.Add(returnHold))
	if lapsed && !r.drained {
		if r.lapsing.IsZero() {
			r.lapsing, v.settled = now, time.Time{}
			v.note(Missing{ID: id, Kept: true})
		}
		return
	}
	v.end(now, r)
}

// end takes a server for gone.
func (v *View) end(now time.Time, r *record) {
	r.gone, r.lapsing = now, time.Time{}
	v.touch(r)
	v.note(Missing{ID: r.entry.ID})
}

func (v *View) note(m Missing) {
	if v.Noted != nil {
		v.Noted(m)
	}
}

// Replace takes in a whole list, and the names of the entries in it that can not be
// read.
func (v *View) Replace(now time.Time, entries []Entry, unreadable ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(entries)+len(unreadable))
	for _, e := range entries {
		listed[e.ID] = true
		v.put(now, e)
	}
	for _, name := range unreadable {
		listed[v.starts[name]] = true
		v.unreadable(name)
	}
	for id := range v.records {
		if !listed[id] {
			v.remove(now, id)
		}
	}
	v.hear(now, now)
	v.catch(now)
	v.settle(now)
	v.notify()
}

// catch notes that a whole list has been taken in.
func (v *View) catch(now time.Time) {
	if !v.caught {
		v.caught, v.known = true, now
	}
}

// settle ends the time given to lapsed entries and forgets old ones.
func (v *View) settle(now time.Time) {
	if since := now.Sub(v.settled); since >= 0 && since < settleEvery {
		return
	}
	v.settled = now
	for id, r := range v.records {
		if !r.lapsing.IsZero() && !v.away && !now.Before(v.back.Add(returnHold)) {
			v.end(now, r)
			v.notify()
		}
		if !r.gone.IsZero() && now.Sub(r.gone) > forgetAfter {
			delete(v.records, id)
			if v.starts[r.entry.Called()] == id {
				delete(v.starts, r.entry.Called())
			}
		}
	}
}

// Serving returns the servers of a service that may get new work.
func (v *View) Serving(now time.Time, service string) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(now)
	var list []Entry
	for _, r := range v.records {
		if r.entry.Service == service && r.usable(now) {
			list = append(list, r.entry)
		}
	}
	return list
}

func (r *record) usable(now time.Time) bool {
	if r.drained || r.unreadable || !r.gone.IsZero() {
		return false
	}
	return r.risen.IsZero() || now.Sub(r.risen) >= ghostHold
}

// Listed is an entry as it stands in the store, and since when this VM knows it.
// Unreadable says that it can not be read now; Entry is what could be read last.
type Listed struct {
	Entry
	At         time.Time
	Unreadable bool
}

// Listed returns every server whose entry stands, leaving ones too, as the
// store lists them.
func (v *View) Listed(now time.Time) []Listed {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(now)
	var list []Listed
	for _, r := range v.records {
		if r.gone.IsZero() {
			list = append(list, Listed{Entry: r.listed, At: r.listedAt, Unreadable: r.unreadable})
		}
	}
	return list
}

// All returns every server whose entry stands, with what it holds by the newest
// word.
func (v *View) All(now time.Time) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(now)
	var list []Entry
	for _, r := range v.records {
		if r.gone.IsZero() {
			list = append(list, r.entry)
		}
	}
	return list
}

// Ended takes in that a start of a server is over, as another one answers under its
// name.
func (v *View) Ended(now time.Time, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.records[id]; r != nil && r.gone.IsZero() {
		v.end(now, r)
		v.notify()
	}
}

// Usable reports whether a server may get new work now.
func (v *View) Usable(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(now)
	r := v.records[id]
	return r != nil && r.usable(now)
}
