// Package fleet keeps a VM's view of the backend servers: which servers exist, which models
// they have loaded, how busy they are and which are healthy. Load reports lag, so the view
// corrects them with the VM's own requests. It does no I/O and reads no clock.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Defaults of a View.
const (
	defaultMaxReportAge = 200 * time.Millisecond
	defaultSilentAfter  = 3 * time.Second
	initialEjection     = time.Second
	maxEjection         = 30 * time.Second
	failuresToEject     = 3
	notLoadedTTL        = 500 * time.Millisecond
	fullTTL             = 100 * time.Millisecond
	// longRest is the rest from which the models of a server are loaded on others: longer than
	// the time after which it counts as silent, and a load.
	longRest = 10 * time.Second
	// fullFactor is the load, in multiples of the slots, that is assumed for a server which
	// refused a request for lack of capacity.
	fullFactor = 2
)

// View is a VM's view of the backend servers. The zero value is ready to use. It is safe
// for concurrent use.
type View struct {
	// MaxReportAge is the maximum age of a report when it arrives; 0 selects 200 ms.
	MaxReportAge time.Duration
	// SilentAfter is the time without a report after which a server counts as silent; 0
	// selects 3 s.
	SilentAfter time.Duration
	// RestRemaining returns how much longer the server at an address wants nothing from this VM; nil
	// if no server asks for that.
	RestRemaining func(now time.Time, address string) time.Duration

	mu      sync.Mutex
	servers map[string]*server
}

// Candidate is a server that can serve a request, with its state at the time of the query.
type Candidate struct {
	Name    string
	Address string
	Domain  string
	// SoftwareVersion is the version of the server's software, empty if the platform does not tell it.
	SoftwareVersion string
	// Load is the reported load, corrected by the VM's own requests. ReportedLoad is the
	// load as reported.
	Load         int
	ReportedLoad int
	Slots        int
	// PrefixCached is set when the server reported the prompt's prefix as cached.
	PrefixCached bool
	// Healthy is false for an ejected or silent server.
	Healthy bool

	prefillOnly bool
}

// SetServers replaces the list of servers. The state of servers that remain is kept.
func (v *View) SetServers(docs []wire.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[string]*server, len(docs))
	for _, doc := range docs {
		s := v.servers[doc.Name]
		if s == nil || s.doc.Address != doc.Address {
			s = &server{notLoadedUntil: make(map[string]time.Time), cachedPrefixes: make(map[uint64]bool)}
		}
		s.doc = doc
		next[doc.Name] = s
	}
	v.servers = next
}

// Servers returns the servers' documents, sorted by name.
func (v *View) Servers() []wire.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	docs := make([]wire.Server, 0, len(v.servers))
	for _, s := range v.servers {
		docs = append(docs, s.doc)
	}
	slices.SortFunc(docs, func(a, b wire.Server) int { return strings.Compare(a.Name, b.Name) })
	return docs
}

// SetReport records a load report that arrived now.
func (v *View) SetReport(now time.Time, name string, report wire.LoadReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[name]
	if s == nil {
		return
	}
	maxAge := v.MaxReportAge
	if maxAge == 0 {
		maxAge = defaultMaxReportAge
	}
	s.report, s.reportedAt = report, now
	takenAfter := now.Add(-maxAge)
	if s.saidLeavingAt.Before(takenAfter) {
		s.saidLeavingAt = time.Time{}
	}
	s.discardIncluded(takenAfter)
}

// Report returns the last load report of a server and its arrival time, which is zero when
// no report has arrived.
func (v *View) Report(name string) (wire.LoadReport, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		return s.report, s.reportedAt
	}
	return wire.LoadReport{}, time.Time{}
}

// AddCacheEvents applies cache events and returns the last sequence number. The events are
// hints: some are missing and all are late.
func (v *View) AddCacheEvents(name string, events []wire.CacheEvent, parse func(string) (uint64, error)) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[name]
	if s == nil {
		return 0
	}
	for _, e := range events {
		s.lastCacheEvent = max(s.lastCacheEvent, e.Sequence)
		prefix, err := parse(e.Prefix)
		if err != nil {
			continue
		}
		if e.Evicted {
			delete(s.cachedPrefixes, prefix)
			continue
		}
		s.cachedPrefixes[prefix] = true
	}
	return s.lastCacheEvent
}

// LastCacheEvent returns the sequence number of the last cache event that was applied.
func (v *View) LastCacheEvent(name string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		return s.lastCacheEvent
	}
	return 0
}

// BeginRequest records that a request is being sent to a server.
func (v *View) BeginRequest(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		s.recordChange(now, 1)
		s.probing = s.ejections > 0
	}
}

// CancelRequest records that a request has ended in a way that says nothing about its server:
// it was not sent, or its caller went away.
func (v *View) CancelRequest(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		s.recordChange(now, -1)
		s.probing = false
	}
}

// EndRequest records that a request has ended, and whether it succeeded. Consecutive
// failures eject the server, each time for twice as long. The first request after an
// ejection is the probe.
func (v *View) EndRequest(now time.Time, name string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[name]
	if s == nil {
		return
	}
	s.recordChange(now, -1)
	s.probing = false
	if ok {
		s.consecutiveFailures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
		return
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(ejectionTime(s.ejections))
	s.ejections++
}

func ejectionTime(ejections int) time.Duration {
	return min(initialEjection<<min(ejections, 5), maxEjection)
}

// MarkNotLoaded records that a server refused a model that its report listed. The server is
// not a candidate for that model for a short time.
func (v *View) MarkNotLoaded(now time.Time, name, model, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		s.notLoadedUntil[artifactKey(model, adapter)] = now.Add(notLoadedTTL)
	}
}

// MarkFull records that a server refused a request for lack of capacity. The server counts
// as overloaded for a short time. Its models stay loaded.
func (v *View) MarkFull(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		s.fullUntil = now.Add(fullTTL)
	}
}

// MarkLeaving records that a server refused a request because it is leaving. Only a report
// that was certainly taken later can say otherwise.
func (v *View) MarkLeaving(now time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[name]; s != nil {
		s.saidLeavingAt = now
	}
}

// Candidates returns the servers that meet the requirements and are not leaving, sorted by
// name. When none of them is healthy it returns the unhealthy ones: ejecting the last
// replica would make the model unavailable.
func (v *View) Candidates(now time.Time, required Requirements) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Candidate
	healthy := 0
	for _, s := range v.servers {
		if !v.meets(now, s, required) {
			continue
		}
		c := Candidate{
			Name: s.doc.Name, Address: s.doc.Address, Domain: s.doc.FailureDomain, SoftwareVersion: s.doc.SoftwareVersion,
			Load: s.load(now), ReportedLoad: s.report.Running + s.report.Queued, Slots: s.report.Slots, PrefixCached: s.cachedPrefixes[required.PromptPrefix],
			Healthy: !s.ejected(now) && !v.silent(now, s), prefillOnly: s.report.Role == string(wire.OrderRolePrefill),
		}
		if c.Healthy {
			healthy++
		}
		all = append(all, c)
	}
	if healthy > 0 {
		all = slices.DeleteFunc(all, func(c Candidate) bool { return !c.Healthy })
	}
	// A server in the prefill role passes its work to other servers. It gets whole requests
	// only when no other server has loaded the model.
	if slices.ContainsFunc(all, func(c Candidate) bool { return !c.prefillOnly }) {
		all = slices.DeleteFunc(all, func(c Candidate) bool { return c.prefillOnly })
	}
	slices.SortFunc(all, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (v *View) silent(now time.Time, s *server) bool {
	silence := v.SilentAfter
	if silence == 0 {
		silence = defaultSilentAfter
	}
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) > silence
}

// Status returns the status of each server in this view, sorted by name.
func (v *View) Status(now time.Time) []wire.ServerStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]wire.ServerStatus, 0, len(v.servers))
	for _, s := range v.servers {
		all = append(all, wire.ServerStatus{
			Server: s.doc.Name, FailureDomain: s.doc.FailureDomain, State: v.state(now, s),
			Running: s.report.Running, Queued: s.report.Queued, Models: modelNames(s.report.Residents),
		})
	}
	slices.SortFunc(all, func(a, b wire.ServerStatus) int { return strings.Compare(a.Server, b.Server) })
	return all
}

func (v *View) state(now time.Time, s *server) wire.ServerStatusState {
	switch {
	case s.leaving():
		return wire.ServerStatusStateLeaving
	case s.ejected(now):
		return wire.ServerStatusStateEjected
	case s.reportedAt.IsZero() || v.silent(now, s):
		return wire.ServerStatusStateSilent
	}
	return wire.ServerStatusStateHealthy
}

func modelNames(residents []wire.Resident) []string {
	names := make([]string, 0, len(residents))
	for _, r := range residents {
		if r.State != wire.ResidentStateLoaded {
			continue
		}
		name := r.Model
		if r.Adapter != "" {
			name += ":" + r.Adapter
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// FreeSlots returns the number of free slots on the healthy servers that meet the
// requirements, and whether any of them reports its slots.
func (v *View) FreeSlots(now time.Time, required Requirements) (free int, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if !v.meets(now, s, required) || s.ejected(now) || v.silent(now, s) || s.report.Slots == 0 {
			continue
		}
		known = true
		free += max(s.report.Slots-s.load(now), 0)
	}
	return free, known
}

// HasLoaded reports whether a server that is neither leaving nor silent reports an artifact
// as loaded.
func (v *View) HasLoaded(now time.Time, name, model, adapter string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[name]
	if s == nil || s.leaving() || v.silent(now, s) {
		return false
	}
	return s.hasLoaded(model, adapter)
}

// Alive reports whether a server has reported recently and is not leaving.
func (v *View) Alive(now time.Time, name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[name]
	return s != nil && !s.leaving() && !s.reportedAt.IsZero() && !v.silent(now, s)
}

// LoadedAnywhere reports whether any server reports this version of an artifact as loaded.
func (v *View) LoadedAnywhere(model, adapter string, version int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		for _, r := range s.report.Residents {
			if r.Model == model && r.Adapter == adapter && r.Version == version && r.State == wire.ResidentStateLoaded {
				return true
			}
		}
	}
	return false
}
