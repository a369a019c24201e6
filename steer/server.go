package steer

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// phase is the loading state of a model at a server.
type phase int

const (
	loaded phase = iota
	loading
	unloading
)

// modelState is a model at a server, with its adapters that take a slot: those loaded, loading and
// unloading.
type modelState struct {
	phase    phase
	since    time.Time
	adapters map[string]adapterSlot
	// configured is the model as the last configuration had it that had it at all, without a name if there was none.
	configured routes.Model
}

// adapterSlot is an adapter's slot: when the adapter is usable, and whether it is unloading. An
// unloading adapter keeps its slot until its requests have ended.
type adapterSlot struct {
	readyAt   time.Time
	unloading bool
}

func (s adapterSlot) usable(now time.Time) bool { return !s.unloading && !now.Before(s.readyAt) }

// Server is the controller's view of one server: its reported state, updated by the orders sent
// since.
type Server struct {
	entry  backs.Entry
	models map[string]*modelState
	// sequence is the number of orders that the server has accepted. It is valid once
	// sequenceKnown is set by a report.
	sequence      int
	sequenceKnown bool
	// outcomeUnknownAt is when an order got no response or a conflict, or a report showed that a
	// delayed order was executed; zero otherwise. No order is sent until a later report shows the
	// sequence. The next accepted order then invalidates the unanswered one, delayed or not.
	outcomeUnknownAt time.Time
	// busyUntil is the latest expected end of an accepted order. orderInProgress is set while
	// reports show a model order in progress.
	busyUntil       time.Time
	orderInProgress bool
	// expectedDone is when that order is expected to end.
	expectedDone time.Time
	changedAt    time.Time
	lastOrder    time.Time
	entryAt      time.Time
	// reportRequired is set until the next report if a VM found that the server's state differs
	// from this one. failedReports counts the report requests that failed in a row.
	reportRequired bool
	failedReports  int
	// lastLoad is when a model load was last ordered.
	lastLoad time.Time
	// lastRefused is when the server last refused an order.
	lastRefused time.Time
	// reservedModel is the model that memory is being freed for here. The reservation ends at
	// reservedUntil.
	reservedModel string
	reservedUntil time.Time
	// unansweredLoad is when a model load got no response, and unansweredOrder when any order got
	// none. The next accepted order clears both. unansweredSequence is the sequence that the
	// unanswered order expects.
	unansweredLoad, unansweredOrder time.Time
	unansweredSequence              int
	// blockedUntil is the end of a period without orders, as an unanswered order that was decided
	// on in another state may still be executed.
	blockedUntil time.Time
	// lateUntil is until when an order without a response, to this instance or one before it, may be executed by an
	// instance that restarts under the server's name. Accepted orders do not clear it.
	lateUntil time.Time
	// sequenceBefore is the sequence that was known when the entry was removed, if it was, until the first report.
	sequenceBefore int
	// mayInheritLoad is set while the previous controller may have begun a load that this one has
	// not seen.
	mayInheritLoad bool
	// cache is the weights that the server caches, empty while they are not known for certain.
	cache weightCache
	// restUntil is until when the server wants neither orders nor report requests of this VM.
	restUntil time.Time
	// pace is the pace that placement assumes.
	pace assumedPace
}

// NewServer returns a server with the models of its entry.
func NewServer(now time.Time, e backs.Entry) *Server {
	s := &Server{entry: e, models: make(map[string]*modelState)}
	s.ApplyEntry(now, now, e)
	return s
}

// Entry returns the server's entry.
func (s *Server) Entry() backs.Entry { return s.entry }

// settleTime is how long after an order the server's entry or report is ignored where it
// contradicts the order: an entry can be as old as a heartbeat plus the delay of the store.
const settleTime = 1500 * time.Millisecond

// ApplyEntry applies the server's entry in the platform, received at receivedAt. Changes get the
// time now, as ChangedSince can miss a change dated before its last call. An entry can add models
// but never remove one: it can be old, especially after a store outage, and memory that is
// considered free too early is overcommitted. Only a report from the server itself shows that a
// model is unloaded.
func (s *Server) ApplyEntry(now, receivedAt time.Time, e backs.Entry) {
	s.entry = e
	if !receivedAt.After(s.entryAt) {
		return
	}
	s.entryAt = receivedAt
	for _, m := range e.Models {
		r := s.models[m.Model]
		if r == nil && receivedAt.Sub(s.lastOrder) < settleTime {
			continue
		}
		s.addModel(now, m)
	}
}

// addModel records that the server shows a model as loaded.
func (s *Server) addModel(now time.Time, m backs.LoadedModel) {
	r := s.models[m.Model]
	if r == nil {
		r = &modelState{since: now, adapters: make(map[string]adapterSlot)}
		s.models[m.Model] = r
		s.changedAt = now
	}
	if r.phase == loading {
		r.phase, r.since, s.changedAt = loaded, now, now
		s.clearOrder()
	}
	for _, a := range m.Adapters {
		if _, ok := r.adapters[a]; !ok {
			r.adapters[a] = adapterSlot{readyAt: now}
			s.changedAt = now
		}
	}
}

func (s *Server) removeModel(now time.Time, model string) {
	if r := s.models[model]; r != nil && r.phase == unloading {
		s.clearOrder()
	}
	delete(s.models, model)
	s.changedAt = now
}

// ApplyReport applies a report that was requested at a time. Its models can be older than its
// sequence, so a report requested within maxReportAge of an order is ignored: otherwise it would
// free the memory of a model that is loading.
func (s *Server) ApplyReport(now, requestedAt time.Time, r Report) {
	s.failedReports = 0
	if requestedAt.Sub(s.lastOrder) < maxReportAge {
		return
	}
	if !s.outcomeUnknownAt.IsZero() {
		if requestedAt.Sub(s.outcomeUnknownAt) < maxReportAge {
			return
		}
		s.outcomeUnknownAt = time.Time{}
		s.sequence = r.Sequence
		s.blockForUnanswered(r.Sequence)
	}
	if s.sequenceKnown && r.Sequence < s.sequence && requestedAt.Sub(s.lastOrder) < settleTime {
		// The report is older than the last order.
		return
	}
	if s.sequenceKnown && r.Sequence > s.sequence {
		// A delayed order was executed. A later report shows its effect.
		s.sequence, s.outcomeUnknownAt = r.Sequence, requestedAt
		return
	}
	if !s.sequenceKnown {
		// A load in progress was begun by the previous controller.
		s.mayInheritLoad = r.Busy
		if r.Sequence < s.sequenceBefore {
			s.block(s.lateUntil)
		}
		s.sequenceBefore = 0
	}
	s.sequence, s.sequenceKnown = r.Sequence, true
	s.reportRequired = false
	s.updateCache(requestedAt, r)
	for _, h := range append(slices.Clone(r.Models), r.Pending...) {
		s.addModel(now, h)
	}
	for name, m := range s.models {
		i := slices.IndexFunc(r.Models, func(h backs.LoadedModel) bool { return h.Model == name })
		if i < 0 {
			if !r.Busy {
				s.removeModel(now, name)
			}
			continue
		}
		s.removeAdapters(now, m, append(slices.Clone(r.Models[i].Adapters), pendingAdapters(r, name)...))
	}
	if s.orderInProgress = r.Busy; !s.orderInProgress {
		s.orderEnded()
	}
}

// blockForUnanswered blocks orders to the server if its sequence is below the one that an
// unanswered order expects: the controller's count was too high, because the server reported
// success for an order that it did not count. The unanswered order becomes valid only after further
// orders. It is then executed in addition to them, and the server exceeds its memory or adapter
// slots.
func (s *Server) blockForUnanswered(sequence int) {
	if !s.unansweredOrder.IsZero() && sequence < s.unansweredSequence {
		s.block(s.unansweredOrder.Add(maxOrderDelay))
	}
}

// orderEnded records that no model order is in progress. A model that is still listed as unloading
// was not unloaded.
func (s *Server) orderEnded() {
	s.clearOrder()
	for _, m := range s.models {
		if m.phase == unloading {
			m.phase = loaded
		}
	}
}

func (s *Server) clearOrder() { s.busyUntil, s.orderInProgress = time.Time{}, false }

func pendingAdapters(r Report, model string) []string {
	for _, m := range r.Pending {
		if m.Model == model {
			return m.Adapters
		}
	}
	return nil
}

// removeAdapters removes the adapters that a report does not show and that were not just ordered.
func (s *Server) removeAdapters(now time.Time, m *modelState, reported []string) {
	for a, slot := range m.adapters {
		if !slices.Contains(reported, a) && (slot.unloading || now.Sub(slot.readyAt) > settleTime) {
			delete(m.adapters, a)
			s.changedAt = now
		}
	}
}

// updateCache applies the report's cached weights. A load can evict other weights, so a report
// requested before or just after the last load is ignored.
func (s *Server) updateCache(requestedAt time.Time, r Report) {
	if requestedAt.Sub(s.lastLoad) < maxReportAge {
		return
	}
	s.cache = weightCache{memory: r.InMemory, disk: r.OnDisk}
}

// AcceptsOrders reports whether an order may be sent: the sequence is known, no order has an
// unknown outcome, and no model order is in progress. A reported order in progress may be a load
// from the previous controller that this one has no record of. Its memory shows in no list until
// it ends, however long that takes. Only a report can clear it, or the server gets orders beyond
// its memory and crashes.
func (s *Server) AcceptsOrders(now time.Time) bool {
	if !s.lastRefused.IsZero() && now.Sub(s.lastRefused) < refusalBackoff || now.Before(s.blockedUntil) || s.Resting(now) {
		return false
	}
	return s.sequenceKnown && s.failedReports == 0 && !s.reportRequired && s.outcomeUnknownAt.IsZero() && !s.orderInProgress && !now.Before(s.busyUntil)
}

// SetRest sets for how long the server wants neither orders nor report requests of this VM, 0 for no time.
func (s *Server) SetRest(now time.Time, rest time.Duration) {
	s.restUntil = time.Time{}
	if rest > 0 {
		s.restUntil = now.Add(rest)
	}
}

// Placeable reports whether the models at the server count as replicas: it is reachable, not draining, and
// not in a long rest.
func (s *Server) Placeable(now time.Time) bool {
	return !s.entry.Draining && !s.Unreachable() && s.restUntil.Sub(now) <= backs.LongRest
}

// Resting reports whether the server wants neither orders nor report requests of this VM.
func (s *Server) Resting(now time.Time) bool { return now.Before(s.restUntil) }

// NeedsReport reports whether the server can get no orders until it has sent a report.
func (s *Server) NeedsReport() bool {
	return !s.sequenceKnown || s.reportRequired || s.failedReports > 0 || !s.outcomeUnknownAt.IsZero()
}

// RequireReport marks the server's state as uncertain until its next report.
func (s *Server) RequireReport() { s.reportRequired = true }

// refusalBackoff is how long a server gets no orders after it refused one. Another server may have
// taken over its address and respond to its report requests; the old entry expires after three
// heartbeats.
const refusalBackoff = 2 * time.Second

// HasUnansweredLoad reports whether an unanswered model load may still be executed.
func (s *Server) HasUnansweredLoad(now time.Time) bool {
	return !s.unansweredLoad.IsZero() && now.Sub(s.unansweredLoad) < maxOrderDelay
}

// unreachableThreshold is how many reports in a row must fail for a server to count as unreachable.
// A single one is lost now and then.
const unreachableThreshold = 2

// ReportFailed records that a report request failed.
func (s *Server) ReportFailed() { s.failedReports++ }

// Unreachable reports whether the server is unreachable. It gets no orders, and its models count as
// missing until it responds again; its entry expires only after three heartbeats.
func (s *Server) Unreachable() bool { return s.failedReports >= unreachableThreshold }

// OrderDue reports whether an order is expected to have ended by now, or has an unknown duration,
// so that a report is needed to show its end.
func (s *Server) OrderDue(now time.Time) bool {
	return (s.orderInProgress || !s.busyUntil.IsZero()) && !now.Before(s.expectedDone)
}

// BeginTerm marks the state as unknown until a report. Another VM, or an earlier process on this
// one, may have sent orders until predecessorEnd, which may be in the future.
func (s *Server) BeginTerm(predecessorEnd time.Time) {
	s.lastOrder = predecessorEnd
	s.sequenceKnown, s.outcomeUnknownAt = false, time.Time{}
	s.clearOrder()
	s.mayInheritLoad = true
	s.cache = weightCache{}
}

// InheritedLoads returns how many loads the previous controller may have begun at the server after
// a time: one if no report has arrived or a report shows an order in progress, and one for each
// model that this VM first observed after that time.
func (s *Server) InheritedLoads(after time.Time) int {
	n := 0
	if s.mayInheritLoad {
		n++
	}
	for _, r := range s.models {
		if r.since.After(after) {
			n++
		}
	}
	return n
}

// Sequence returns the number of orders that the server has accepted, as far as is known.
func (s *Server) Sequence() int { return s.sequence }
