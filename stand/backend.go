package stand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// Backend is a stand-in for a backend server of the platform. It executes requests that
// the gateway forwards unchanged, loads models and adapters into limited memory, and
// accepts orders with an expected sequence number. It implements no wire protocol;
// another package exposes it over HTTP. ID, Service and the limits must be set.
type Backend struct {
	ID, Service, Domain string
	Slots               int
	MemoryMB            float64
	AdapterSlots        int
	// ModelSizeMB maps each model to its size; nil for a service without models.
	ModelSizeMB map[string]float64
	// ProcessingTime is the processing time of a request or an event, LoadTime the time to load a model.
	ProcessingTime, LoadTime time.Duration
	// StreamEvents is the number of events of a stream.
	StreamEvents int
	// Runs records each execution of a request.
	Runs *RunLog
	// Teams records the team of each executed request; nil to record none.
	Teams *TeamLog
	// CrashBody is the body of requests that crash the process when their execution begins; empty
	// for none. OnCrash, when set, then closes the process's listener and connections.
	CrashBody string
	OnCrash   func()
	// CrashPart is the part of a prompt that crashes the process when it begins to write an answer on it, unless it is
	// the last one; empty for none.
	CrashPart string
	// OnChange, when set, is called after the loaded models or the drain state changed, without the lock.
	OnChange func()

	mu              sync.Mutex
	models          map[string]map[string]bool
	orderSequence   int
	orderInProgress bool
	draining        bool
	overcommitted   bool
	// rateLimit is the rate limit that responses contain if rateLimited is set, in requests per second.
	// arrivals holds the arrival times of the requests since the limit was set.
	rateLimit   float64
	rateLimited bool
	arrivals    []time.Time
	// crashCount counts the executed requests with CrashBody or CrashPart.
	crashCount    int
	pendingFaults *PendingFaults
	// softwareVersion is the version of the software, empty for defaultSoftwareVersion.
	softwareVersion string
	// startedAt is the start time of the current instance; zero before the first restart.
	startedAt time.Time
	rejects   rejectLimit
	// slowed replaces ProcessingTime if it is not 0.
	slowed   time.Duration
	silences silences
	// leaving is set while responses say that the server leaves. retryAfter is the Retry-After value
	// with which it refuses everything, empty for none, and rest the time that it asks for.
	leaving    bool
	retryAfter string
	rest       time.Duration
	// notices holds the log of each instance.
	notices []*NoticeLog
	endless endlessFaults
	// brokenHeads is how many broken heads the server has sent.
	brokenHeads int
}

// Restart simulates a restart of the process with the same ID. All models and the
// order sequence are lost, and a model order in progress is not completed.
func (b *Backend) Restart(now time.Time) {
	b.mu.Lock()
	b.startedAt, b.models, b.orderSequence, b.orderInProgress, b.draining = now, nil, 0, false, false
	b.leaving, b.retryAfter, b.notices = false, "", append(b.notices, &NoticeLog{})
	b.mu.Unlock()
	b.notifyChange()
}

// defaultSoftwareVersion is the software version of backends that were given none.
const defaultSoftwareVersion = "v1"

// SoftwareVersion returns the version of the backend's software. Events of two versions differ.
func (b *Backend) SoftwareVersion() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return cmp.Or(b.softwareVersion, defaultSoftwareVersion)
}

// SetSoftwareVersion sets the version of the software that the next instance runs.
func (b *Backend) SetSoftwareVersion(version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.softwareVersion = version
}

// AddModels adds models without an order, as loaded from the start.
func (b *Backend) AddModels(models ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range models {
		b.addModelLocked(m)
	}
}

func (b *Backend) addModelLocked(model string) {
	if b.models == nil {
		b.models = make(map[string]map[string]bool)
	}
	if b.models[model] == nil {
		b.models[model] = make(map[string]bool)
	}
}

// SetPendingFaults sets the faults to inject into this backend; nil injects none.
func (b *Backend) SetPendingFaults(s *PendingFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingFaults = s
}

// SetRateLimit sets the rate limit that responses contain, in requests per second, or removes it if limited
// is false. It also clears the recorded arrivals.
func (b *Backend) SetRateLimit(rate float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateLimit, b.rateLimited, b.arrivals = rate, limited, nil
}

// RateLimit returns the rate limit that responses contain, and whether they contain one.
func (b *Backend) RateLimit() (rate float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateLimit, b.rateLimited
}

// Arrivals returns the arrival times of the requests since the limit was set.
func (b *Backend) Arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

// Drain makes the backend announce that it is draining, in its entry and in all responses.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining, b.leaving = true, true
	b.mu.Unlock()
	b.notifyChange()
}

// Overcommitted reports whether an order exceeded the backend's memory or adapter slots.
func (b *Backend) Overcommitted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overcommitted
}

// Crashes returns how often a request has crashed the process.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashCount
}

func (b *Backend) notifyChange() {
	if b.OnChange != nil {
		b.OnChange()
	}
}

// Entry returns the backend's entry in the server list, without the address.
func (b *Backend) Entry() backs.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backs.Entry{ID: b.ID, StartedAt: b.startedAt, Service: b.Service, Domain: b.Domain, SoftwareVersion: cmp.Or(b.softwareVersion, defaultSoftwareVersion), Slots: b.Slots, Draining: b.draining, Models: b.loadedModelsLocked()}
}

func (b *Backend) loadedModelsLocked() []backs.LoadedModel {
	var list []backs.LoadedModel
	for m, adapters := range b.models {
		loaded := backs.LoadedModel{Model: m, Version: 1, Adapters: []string{}}
		for a := range adapters {
			loaded.Adapters = append(loaded.Adapters, a)
		}
		slices.Sort(loaded.Adapters)
		list = append(list, loaded)
	}
	slices.SortFunc(list, func(x, y backs.LoadedModel) int {
		if x.Model < y.Model {
			return -1
		}
		return 1
	})
	return list
}

// Report returns the backend's state report.
func (b *Backend) Report() steer.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return steer.Report{StartedAt: b.startedAt, Models: b.loadedModelsLocked(), Busy: b.orderInProgress, Sequence: b.orderSequence}
}

// HandleOrder handles an order. It also reports whether the response is to be dropped.
func (b *Backend) HandleOrder(o steer.Order) (steer.OrderResult, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropResponse := b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.LostOrderResponses })
	if b.orderInProgress || o.ExpectedSequence != b.orderSequence {
		return steer.Conflict, dropResponse
	}
	if o.Adapter != "" {
		return b.applyAdapterOrderLocked(o), dropResponse
	}
	_, loaded := b.models[o.Model]
	if loaded != o.Unload {
		return steer.Done, dropResponse
	}
	b.orderSequence++
	b.orderInProgress = true
	if !o.Unload {
		b.checkMemoryLocked(b.ModelSizeMB[o.Model])
	}
	go b.executeOrder(b.startedAt, o)
	return steer.Accepted, dropResponse
}

// checkMemoryLocked records an overcommit when the loaded models and addedMB exceed the
// memory. The caller holds b.mu.
func (b *Backend) checkMemoryLocked(addedMB float64) {
	for m := range b.models {
		addedMB += b.ModelSizeMB[m]
	}
	if addedMB > b.MemoryMB {
		b.overcommitted = true
	}
}

func (b *Backend) executeOrder(startedAt time.Time, o steer.Order) {
	time.Sleep(b.LoadTime)
	b.mu.Lock()
	if !b.startedAt.Equal(startedAt) {
		b.mu.Unlock()
		return
	}
	b.orderInProgress = false
	if o.Unload {
		delete(b.models, o.Model)
	} else {
		b.addModelLocked(o.Model)
	}
	b.mu.Unlock()
	b.notifyChange()
}

func (b *Backend) applyAdapterOrderLocked(o steer.Order) steer.OrderResult {
	adapters, ok := b.models[o.Model]
	if !ok {
		return steer.Refused
	}
	if o.Unload {
		delete(adapters, o.Adapter)
		b.orderSequence++
		return steer.Done
	}
	if adapters[o.Adapter] {
		return steer.Done
	}
	loadedAdapters := 0
	for _, a := range b.models {
		loadedAdapters += len(a)
	}
	if loadedAdapters >= b.AdapterSlots {
		b.overcommitted = true
	}
	adapters[o.Adapter] = true
	b.orderSequence++
	return steer.Accepted
}

// Action is how a backend handles one request.
type Action int

// Values of Action.
const (
	// ActionRespond executes the request and responds.
	ActionRespond Action = iota
	// ActionReject responds that the request was not executed.
	ActionReject
	// ActionMisdirected responds that the model is not loaded, or that the request is
	// addressed to another server.
	ActionMisdirected
	// ActionFail executes the request and responds with an error.
	ActionFail
	// ActionDisconnect executes the request and closes the connection.
	ActionDisconnect
	// ActionBreakStream executes the request and breaks its stream.
	ActionBreakStream
	// ActionRespondTwice responds twice.
	ActionRespondTwice
	// ActionForge responds without proof that the response comes from this server.
	ActionForge
	// ActionRespondByClose responds without a length or chunks and closes the connection.
	ActionRespondByClose
	// ActionCutShort does the same in the middle of the response.
	ActionCutShort
	// ActionEndless responds without an end.
	ActionEndless
	// ActionBrokenHead responds with a head that is none.
	ActionBrokenHead
	// ActionCrash crashes the process.
	ActionCrash
)

// HandleRequest decides how to handle a request for a server, a model and an adapter. It
// records the execution, if there is one. parts are the IDs of the parts of its prompt.
func (b *Backend) HandleRequest(now time.Time, requestID, expectedServer, model, adapter, body string, parts []string) Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rateLimited {
		b.arrivals = append(b.arrivals, now)
	}
	if expectedServer != "" && expectedServer != b.ID {
		return ActionMisdirected
	}
	if b.ModelSizeMB != nil && model != "" {
		adapters, ok := b.models[model]
		if !ok || adapter != "" && !adapters[adapter] {
			return ActionMisdirected
		}
	}
	if b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.Rejections }) {
		return ActionReject
	}
	b.Runs.Record(requestID, b.ID)
	switch {
	case b.CrashBody != "" && body == b.CrashBody, b.crashesOn(parts):
		b.crashCount++
		return ActionCrash
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.ErrorResponses }):
		return ActionFail
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.LostResponses }):
		return ActionDisconnect
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.BrokenStreams }):
		return ActionBreakStream
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.DuplicateResponses }):
		return ActionRespondTwice
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.ForgedResponses }):
		return ActionForge
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.ByCloseResponses }):
		return ActionRespondByClose
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.CutShortResponses }):
		return ActionCutShort
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.EndlessResponses }):
		return ActionEndless
	case b.pendingFaults.consume(func(f *BackendFaults) *int { return &f.BrokenHeads }):
		return ActionBrokenHead
	}
	return ActionRespond
}

// crashesOn reports whether a prompt has the part that crashes the process.
func (b *Backend) crashesOn(parts []string) bool {
	return b.CrashPart != "" && slices.Contains(parts[:max(len(parts)-1, 0)], b.CrashPart)
}
