package steer

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// phase is where a model is on its way into or out of a server.
type phase int

const (
	held phase = iota
	loading
	leaving
)

// resident is a model at a server, with the adapters that take places: those
// loaded, on their way, and leaving.
type resident struct {
	phase    phase
	since    time.Time
	adapters map[string]place
}

// place is an adapter's place: when it is usable, and whether it is being
// unloaded. A leaving adapter keeps its place until its runs have ended.
type place struct {
	ready   time.Time
	leaving bool
}

func (p place) usable(now time.Time) bool { return !p.leaving && !now.Before(p.ready) }

// Server is what the controller knows of one server: what it reported, and
// what has been ordered since.
type Server struct {
	entry  backs.Entry
	models map[string]*resident
	// sequence is the number of orders that it has accepted; known once a
	// report gave it.
	sequence int
	known    bool
	// unclear is when an order got no answer; zero otherwise. Until a later
	// report shows whether it was accepted, nothing more is ordered: with the
	// next accepted order the lost one is dead, whether it is late or not.
	unclear time.Time
	// busy is until when a model order that was accepted is taken to be under way at
	// most; underway is set while a report says that one is.
	busy     time.Time
	underway bool
	// done is when that order should be done.
	done     time.Time
	changed  time.Time
	ordered  time.Time
	listedAt time.Time
	// doubted is set when a VM found that the server is not what it is thought
	// to be, until a report; missed counts the reports that failed in a row.
	doubted bool
	missed  int
	// loaded is when a model load was ordered last.
	loaded time.Time
	// refused is when it refused an order last.
	refused time.Time
	// intent is the model that another one makes way for here, until intended.
	intent   string
	intended time.Time
	// late is when a model load got no answer that no later order has made dead,
	// lost when any order did, lostExpect the sequence that it expects.
	late, lost time.Time
	lostExpect int
	// rests is until when it gets no orders, as a lost one may still be carried out
	// that was decided on in another state.
	rests time.Time
	// inherited is set while the VM before may have begun a load here that this
	// one has not seen.
	inherited bool
	// stock is the copies of weights that it has; empty when not known for sure.
	stock stock
}

// NewServer returns the state of a server by its entry.
func NewServer(now time.Time, e backs.Entry) *Server {
	s := &Server{entry: e, models: make(map[string]*resident)}
	s.Listed(now, now, e)
	return s
}

// Entry returns the server's entry.
func (s *Server) Entry() backs.Entry { return s.entry }

// settleTime is how long after an own order the server's entry is not believed
// where it differs: it can be a heartbeat and the store's delay old.
const settleTime = 1500 * time.Millisecond

// Listed applies the server's entry in the platform, known since at. Changes are
// dated now, as ShownSince can miss one dated before its last call. An entry
// adds models and never takes one away: it can be old, above all after the
// store was away, and memory that is taken for free too early is overcommitted.
// Only a report, which the server gives itself, shows that a model is gone.
func (s *Server) Listed(now, at time.Time, e backs.Entry) {
	s.entry = e
	if !at.After(s.listedAt) {
		return
	}
	s.listedAt = at
	for _, h := range e.Models {
		r := s.models[h.Model]
		if r == nil && at.Sub(s.ordered) < settleTime {
			continue
		}
		s.add(now, h)
	}
}

// add takes in a model that the server shows.
func (s *Server) add(now time.Time, h backs.LoadedModel) {
	r := s.models[h.Model]
	if r == nil {
		r = &resident{since: now, adapters: make(map[string]place)}
		s.models[h.Model] = r
		s.changed = now
	}
	if r.phase == loading {
		r.phase, r.since, s.changed = held, now, now
		s.endOrder()
	}
	for _, a := range h.Adapters {
		if _, ok := r.adapters[a]; !ok {
			r.adapters[a] = place{ready: now}
			s.changed = now
		}
	}
}

func (s *Server) drop(now time.Time, model string) {
	if r := s.models[model]; r != nil && r.phase == leaving {
		s.endOrder()
	}
	delete(s.models, model)
	s.changed = now
}

// Reported takes in a report that was asked for at a time. What it shows of
// models can be older than its sequence, so one that was asked for within
// reportLag of a change says nothing yet: taken at its word, it frees the memory
// of a model that is on its way.
func (s *Server) Reported(now, asked time.Time, r Report) {
	s.missed = 0
	if asked.Sub(s.ordered) < reportLag {
		return
	}
	if !s.unclear.IsZero() {
		if asked.Sub(s.unclear) < reportLag {
			return
		}
		s.unclear = time.Time{}
		s.sequence = r.Sequence
		s.fearLost(r.Sequence)
	}
	if s.known && r.Sequence < s.sequence && asked.Sub(s.ordered) < settleTime {
		// It is from before the last order.
		return
	}
	if s.known && r.Sequence > s.sequence {
		// An order was carried out late; a later report shows what it did.
		s.sequence, s.unclear = r.Sequence, asked
		return
	}
	if !s.known {
		// A load that goes on was begun by the VM before.
		s.inherited = r.Busy
	}
	s.sequence, s.known = r.Sequence, true
	s.doubted = false
	s.copies(asked, r)
	for _, h := range append(slices.Clone(r.Models), r.Pending...) {
		s.add(now, h)
	}
	for name, m := range s.models {
		i := slices.IndexFunc(r.Models, func(h backs.LoadedModel) bool { return h.Model == name })
		if i < 0 {
			if !r.Busy {
				s.drop(now, name)
			}
			continue
		}
		s.dropAdapters(now, m, append(slices.Clone(r.Models[i].Adapters), pendingOf(r, name)...))
	}
	if s.underway = r.Busy; !s.underway {
		s.settled()
	}
}

// fearLost makes the server rest when it has not come yet to the sequence that a lost
// order expects: the count had been taken too high, by an answer that did not count.
// Where the lost order's turn comes only after others, it is carried out on top of
// what they did, and the server exceeds its memory or places.
func (s *Server) fearLost(sequence int) {
	if !s.lost.IsZero() && sequence < s.lostExpect {
		s.rests = s.lost.Add(lateFor)
	}
}

// settled notes that no model order is under way: one that is still listed as
// leaving was not carried out.
func (s *Server) settled() {
	s.endOrder()
	for _, m := range s.models {
		if m.phase == leaving {
			m.phase = held
		}
	}
}

func (s *Server) endOrder() { s.busy, s.underway = time.Time{}, false }

func pendingOf(r Report, model string) []string {
	for _, h := range r.Pending {
		if h.Model == model {
			return h.Adapters
		}
	}
	return nil
}

// dropAdapters forgets the adapters that a report does not show and that were
// not just ordered.
func (s *Server) dropAdapters(now time.Time, m *resident, shown []string) {
	for a, at := range m.adapters {
		if !slices.Contains(shown, a) && (at.leaving || now.Sub(at.ready) > settleTime) {
			delete(m.adapters, a)
			s.changed = now
		}
	}
}

// copies takes in which copies of weights the server has. A load may push out
// others, so a report from before the last load says nothing.
func (s *Server) copies(asked time.Time, r Report) {
	if asked.Sub(s.loaded) < reportLag {
		return
	}
	s.stock = stock{memory: r.InMemory, disk: r.OnDisk}
}

// Free reports whether an order may be sent: the sequence is known, no order is
// unclear, and no model is on its way. What a report said to be under way may be a
// load that the VM before ordered and this one does not know of: its memory shows in
// no list until it is done, however long that takes. Only a report ends that, or the
// server is ordered beyond its memory and crashes.
func (s *Server) Free(now time.Time) bool {
	if !s.refused.IsZero() && now.Sub(s.refused) < refusalRest || now.Before(s.rests) {
		return false
	}
	return s.known && s.missed == 0 && !s.doubted && s.unclear.IsZero() && !s.underway && !now.Before(s.busy)
}

// NeedsReport reports whether the server's state must be asked for before it
// can be given orders.
func (s *Server) NeedsReport() bool {
	return !s.known || s.doubted || s.missed > 0 || !s.unclear.IsZero()
}

// Doubt makes the server's state be asked for at once.
func (s *Server) Doubt() { s.doubted = true }

// refusalRest is how long a server that refused an order gets none. Another one
// may have its address and give reports as if it were meant; its entry lapses
// after three heartbeats.
const refusalRest = 2 * time.Second

// lateFor is how long an order without an answer can still be carried out: up to
// twelve seconds later by the deployments' word.
const lateFor = 15 * time.Second

// Late reports whether a model load that got no answer may still be carried out.
func (s *Server) Late(now time.Time) bool {
	return !s.late.IsZero() && now.Sub(s.late) < lateFor
}

// Succeeds takes in that this is the next start of a server under its name. It counts
// orders from none again, and an order to the start before that got no answer has a
// number which may fit here once more: carried out then, on top of one that was
// decided on without it, it exceeds the server's memory. Until it must be dead, no
// order is given.
func (s *Server) Succeeds(now time.Time, before *Server) {
	if lost := before.lost; !lost.IsZero() && now.Sub(lost) < lateFor {
		s.rests = lost.Add(lateFor)
	}
}

// downAfter is how many reports in a row must fail for a server to count as
// down; one is lost now and then.
const downAfter = 2

// Missed notes that a report could not be had.
func (s *Server) Missed() { s.missed++ }

// Down reports whether the server can not be reached. It gets no orders, and
// its models count as missing until it answers again; its entry lapses only
// after three heartbeats.
func (s *Server) Down() bool { return s.missed >= downAfter }

// Finishing reports whether a model order should be done about now, or is of
// unknown length, so that a report would show its end.
func (s *Server) Finishing(now time.Time) bool {
	return (s.underway || !s.busy.IsZero()) && !now.Before(s.done)
}

// Forget makes the state unknown until a report: another VM, or a process on
// this one that has ended, gave orders up to a time. It may lie ahead.
func (s *Server) Forget(ended time.Time) {
	s.ordered = ended
	s.known, s.unclear = false, time.Time{}
	s.endOrder()
	s.inherited = true
	s.stock = stock{}
}

// Inherited returns how many loads the VM before may have begun here after a
// time: one if no report has told yet or one goes on, and one for each model
// that was not there before that time as far as this VM has heard.
func (s *Server) Inherited(after time.Time) int {
	n := 0
	if s.inherited {
		n++
	}
	for _, r := range s.models {
		if r.since.After(after) {
			n++
		}
	}
	return n
}

// Sequence returns the number of orders it is taken to have accepted.
func (s *Server) Sequence() int { return s.sequence }
