package fleet

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// server is a VM's state for one backend server.
type server struct {
	doc                 wire.Server
	report              wire.LoadReport
	reportedAt          time.Time
	inFlight            int
	loadChanges         []loadChange
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// probing is set while a request is in progress on a server whose ejection is over. No
	// other request is sent until it has ended.
	probing   bool
	fullUntil time.Time
	// saidLeavingAt is when the server refused a request because it is leaving, zero if it has
	// not, or if a later report says otherwise.
	saidLeavingAt  time.Time
	notLoadedUntil map[string]time.Time
	cachedPrefixes map[uint64]bool
	lastCacheEvent int
}

// loadChange is the start (+1) or end (-1) of one of this VM's requests, kept until a load
// report must include it.
type loadChange struct {
	at    time.Time
	delta int
}

// leaving reports whether the server's document, its last report or a refusal says that it
// leaves.
func (s *server) leaving() bool {
	return s.doc.Leaving || s.report.Draining || !s.saidLeavingAt.IsZero()
}

// load returns the reported load, corrected by this VM's requests that the report cannot
// include yet.
func (s *server) load(now time.Time) int {
	n := s.report.Running + s.report.Queued
	for _, c := range s.loadChanges {
		n += c.delta
	}
	if now.Before(s.fullUntil) {
		n = max(n, fullFactor*s.report.Slots)
	}
	return max(n, s.inFlight, 0)
}

func (s *server) recordChange(now time.Time, delta int) {
	s.inFlight += delta
	s.loadChanges = append(s.loadChanges, loadChange{at: now, delta: delta})
}

// discardIncluded discards the changes that a report taken at the given time includes.
func (s *server) discardIncluded(takenAt time.Time) {
	kept := s.loadChanges[:0]
	for _, c := range s.loadChanges {
		if c.at.After(takenAt) {
			kept = append(kept, c)
		}
	}
	s.loadChanges = kept
}

// ejected reports whether the server must get no requests. After the time of an ejection it
// gets one request at a time, the probe.
func (s *server) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.ejections > 0 && s.probing
}

// hasLoaded reports whether a model, and the adapter if one is named, is loaded.
func (s *server) hasLoaded(model, adapter string) bool {
	baseLoaded, adapterLoaded := false, adapter == ""
	for _, r := range s.report.Residents {
		if r.Model != model || r.State != wire.ResidentStateLoaded {
			continue
		}
		if r.Adapter == "" {
			baseLoaded = true
		}
		if r.Adapter == adapter {
			adapterLoaded = true
		}
	}
	return baseLoaded && adapterLoaded
}

func artifactKey(model, adapter string) string { return model + "/" + adapter }
