package steer

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// ApplyResult applies the result of an order that was sent at sentAt. expectedTime is how long its
// execution takes, e the capacity of the server.
func (s *Server) ApplyResult(now, sentAt time.Time, e *routes.Engine, o Order, result OrderResult, expectedTime time.Duration) {
	switch result {
	case Unknown:
		s.holdLate(now.Add(maxOrderDelay))
		s.outcomeUnknownAt, s.unansweredOrder, s.unansweredSequence = now, now, o.ExpectedSequence
		if !o.Unload && o.Adapter == "" {
			s.unansweredLoad = now
		}
		return
	case Conflict:
		// The sequence did not match, or a model order that this VM has no record of is in
		// progress.
		s.outcomeUnknownAt = sentAt
		return
	case Refused:
		// Another server has the address, or the server's state is not as expected.
		s.reportRequired, s.lastRefused = true, now
		return
	case Accepted, Done:
	}
	s.lastOrder, s.changedAt, s.unansweredLoad, s.unansweredOrder = now, now, time.Time{}, time.Time{}
	if result == Accepted || o.Adapter != "" {
		s.sequence++
	}
	s.apply(now, e, o, result, expectedTime)
}

// loadTimeoutFactor is the multiple of its expected time after which a load counts as ended unless
// a report shows it in progress: concurrent loads slow each other down.
const loadTimeoutFactor = 4

func (s *Server) apply(now time.Time, e *routes.Engine, o Order, result OrderResult, expectedTime time.Duration) {
	if o.Adapter != "" {
		r := s.models[o.Model]
		if r == nil {
			return
		}
		switch {
		case !o.Unload:
			r.adapters[o.Adapter] = adapterSlot{readyAt: now.Add(expectedTime)}
		case result == Done:
			delete(r.adapters, o.Adapter)
		default:
			// Requests still use the adapter. Its slot is free only when a report shows that it is
			// unloaded, and the server accepts no orders until then. A slot that is reused earlier
			// exceeds the server's slots, and the server crashes.
			r.adapters[o.Adapter] = adapterSlot{readyAt: now, unloading: true}
			s.busyUntil, s.expectedDone = now.Add(loadTimeoutFactor*time.Second), now.Add(maxReportAge)
		}
		return
	}
	if result == Done {
		if o.Unload {
			delete(s.models, o.Model)
		} else {
			s.addModel(now, backs.LoadedModel{Model: o.Model})
		}
		return
	}
	s.busyUntil, s.expectedDone = now.Add(loadTimeoutFactor*max(expectedTime, time.Second)), now.Add(max(expectedTime+maxReportAge/2, maxReportAge))
	if !o.Unload {
		s.lastLoad = now
		s.cache.add(e, o.Model)
		s.models[o.Model] = &modelState{phase: loading, since: now, adapters: make(map[string]adapterSlot)}
		return
	}
	if r := s.models[o.Model]; r != nil {
		r.phase, r.since = unloading, now
	}
}

// reservationTTL is how long memory stays reserved for a model while another one is unloaded: long
// enough for that model's requests to end and the load to be ordered.
const reservationTTL = 8 * time.Second

// Reserve reserves memory for a model while another one is unloaded. Otherwise each placement step
// until the load finds the model as short of replicas as before and unloads another replica for it.
func (s *Server) Reserve(now time.Time, model string) {
	s.reservedModel, s.reservedUntil = model, now.Add(reservationTTL)
}

// ReservedFor returns the model that memory is reserved for, "" for none.
func (s *Server) ReservedFor(now time.Time) string {
	if s.reservedModel == "" || !now.Before(s.reservedUntil) || s.models[s.reservedModel] != nil {
		return ""
	}
	return s.reservedModel
}
