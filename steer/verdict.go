package steer

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Answered takes in the verdict on an order that was sent at a time. within is
// how long the order takes to be carried out, e what the server can hold.
func (s *Server) Answered(now, sent time.Time, e *routes.Engine, o Order, v Verdict, within time.Duration) {
	switch v {
	case Unknown:
		s.unclear, s.lost, s.lostExpect = now, now, o.Expect
		if !o.Unload && o.Adapter == "" {
			s.late = now
		}
		return
	case Conflict:
		// The sequence was not what was expected, or a model is on its way that
		// this VM does not know of.
		s.unclear = sent
		return
	case Refused:
		// It is not the server that is meant, or not what it was thought to be.
		s.doubted, s.refused = true, now
		return
	case Accepted, Done:
	}
	s.ordered, s.changed, s.late, s.lost = now, now, time.Time{}, time.Time{}
	if v == Accepted || o.Adapter != "" {
		s.sequence++
	}
	s.apply(now, e, o, v, within)
}

// loadSlack is how far beyond its time a load may go before the server's
// report is believed over the order: loads slow each other down.
const loadSlack = 4

func (s *Server) apply(now time.Time, e *routes.Engine, o Order, v Verdict, within time.Duration) {
	if o.Adapter != "" {
		r := s.models[o.Model]
		if r == nil {
			return
		}
		switch {
		case !o.Unload:
			r.adapters[o.Adapter] = place{ready: now.Add(within)}
		case v == Done:
			delete(r.adapters, o.Adapter)
		default:
			// Requests still use it: its place is free only when a report shows
			// it gone, and the server takes no orders until then. A place given
			// out before that is one too many, and the server crashes.
			r.adapters[o.Adapter] = place{ready: now, leaving: true}
			s.busy, s.done = now.Add(loadSlack*time.Second), now.Add(reportLag)
		}
		return
	}
	if v == Done {
		if o.Unload {
			delete(s.models, o.Model)
		} else {
			s.add(now, backs.LoadedModel{Model: o.Model})
		}
		return
	}
	s.busy, s.done = now.Add(loadSlack*max(within, time.Second)), now.Add(max(within+reportLag/2, reportLag))
	if !o.Unload {
		s.loaded = now
		s.stock.loaded(e, o.Model)
		s.models[o.Model] = &resident{phase: loading, since: now, adapters: make(map[string]place)}
		return
	}
	if r := s.models[o.Model]; r != nil {
		r.phase, r.since = leaving, now
	}
}

// intentFor is how long a place is kept for the model that another one makes way for:
// until its runs have ended, and the load has been ordered.
const intentFor = 8 * time.Second

// Intend keeps a place for a model while another one makes way for it. Without that,
// each look at the placement until it is there finds the model as short of copies as
// before, and takes one more place for it.
func (s *Server) Intend(now time.Time, model string) {
	s.intent, s.intended = model, now.Add(intentFor)
}

// Intent returns the model that a place is kept for, "" for none.
func (s *Server) Intent(now time.Time) string {
	if s.intent == "" || !now.Before(s.intended) || s.models[s.intent] != nil {
		return ""
	}
	return s.intent
}
