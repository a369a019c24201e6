package backs

import "time"

// State is a server as one VM tells another.
type State struct {
	Entry
	// Gone says that the entry was removed.
	Gone bool
	// Hold is how long a server whose entry rose again must still wait for work.
	Hold time.Duration
	// Unreadable says that what stands in the store names no server now.
	Unreadable bool
}

// Since returns the servers that changed after a revision of the view, 0 for
// all, and the revision that they are of.
func (v *View) Since(now time.Time, revision int) ([]State, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(now)
	var list []State
	for _, r := range v.records {
		if r.revision <= revision || revision == 0 && !r.gone.IsZero() {
			continue
		}
		s := State{Entry: r.entry, Gone: !r.gone.IsZero(), Unreadable: r.unreadable}
		if !r.risen.IsZero() {
			s.Hold = max(0, ghostHold-now.Sub(r.risen))
		}
		list = append(list, s)
	}
	return list, v.revision
}

// Word is what another VM tells, which watches the store.
type Word struct {
	States []State
	// Full says that the states are all servers there are.
	Full bool
	// Age is how long ago the store told that VM last that what it knows is current.
	Age time.Duration
	// Known is for how long that VM has known all servers.
	Known time.Duration
}

// Adopt takes in what another VM tells. Of the servers that a full list leaves out, those
// stay in use for a while whose entries may have lapsed with the store away, as both this VM
// heard nothing for long and the other one has started meanwhile: it lists only those that
// stand again. One that knew the servers all the while keeps what may have lapsed by itself.
func (v *View) Adopt(now time.Time, w Word) {
	v.mu.Lock()
	defer v.mu.Unlock()
	knew := !now.Add(-w.Known).After(v.heard)
	v.hear(now, now.Add(-w.Age))
	named := make(map[string]bool, len(w.States))
	for _, s := range w.States {
		named[s.ID] = true
		v.adopt(now, s)
	}
	if w.Full {
		v.leaveOut(now, named, knew)
		v.catch(now)
	}
	if len(w.States) > 0 || w.Full {
		v.notify()
	}
}

// leaveOut takes in that a list names only some of the servers. surely says that the others
// have left.
func (v *View) leaveOut(now time.Time, named map[string]bool, surely bool) {
	for id, r := range v.records {
		switch {
		case named[id] || !r.gone.IsZero():
		case surely:
			v.end(now, r)
		default:
			v.remove(now, id)
		}
	}
}

func (v *View) adopt(now time.Time, s State) {
	if s.Gone {
		if r := v.records[s.ID]; r != nil && r.gone.IsZero() {
			v.end(now, r)
		}
		return
	}
	v.put(now, s.Entry)
	r := v.records[s.ID]
	if r == nil {
		// It is of an earlier start than the one known here.
		return
	}
	r.unreadable = s.Unreadable
	// The other VM's word on what is held is newer than the store's.
	r.entry.Models, r.toldAt = s.Models, now
	if s.Hold > 0 {
		r.risen = now.Add(s.Hold - ghostHold)
	}
}
