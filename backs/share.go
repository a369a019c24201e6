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

// Adopt takes in what another VM tells, which watches the store. A full list
// names all servers there are. Right after the store's return as this VM saw it,
// servers that the list leaves out are given time to come back: the other VM may
// have started meanwhile, and lists only those whose entries stand again.
func (v *View) Adopt(now time.Time, states []State, full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		v.away, v.back = false, now
	}
	named := make(map[string]bool, len(states))
	for _, s := range states {
		named[s.ID] = true
		v.adopt(now, s)
	}
	if full {
		for id := range v.records {
			if !named[id] {
				v.remove(now, id)
			}
		}
		v.caught = true
	}
	if len(states) > 0 || full {
		v.notify()
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
