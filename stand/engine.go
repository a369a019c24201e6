package stand

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Defaults of an Engine. The durations are short so that tests are fast.
const (
	defaultSlots           = 32
	defaultFirstTokenDelay = 10 * time.Millisecond
	defaultTokenInterval   = 2 * time.Millisecond
	defaultMaxReportAge    = 100 * time.Millisecond
	defaultResumeWindow    = 2 * time.Second
	defaultMemoryBytes     = 80 << 30
	defaultCacheCapacity   = 256
)

// EngineFaults are the faults that can be injected into an Engine.
type EngineFaults struct {
	// DisconnectShare is the fraction of frames before which the connection of the
	// stream breaks.
	DisconnectShare float64 `json:"cut_share"`
	// ForeignFrameShare is the fraction of frames before which a frame of another
	// attempt is sent.
	ForeignFrameShare float64 `json:"cross_share"`
	// DuplicateShare is the fraction of frames that are sent twice.
	DuplicateShare float64 `json:"repeat_share"`
	// Draining rejects new requests.
	Draining bool `json:"draining"`
	// RetryAfter, when set, is the Retry-After value with which all runs, load reports and orders
	// are refused.
	RetryAfter string `json:"retry_after"`
	// Hang accepts connections and sends no responses.
	Hang bool `json:"hang"`
	// LostOrderShare is the fraction of orders whose connection breaks before
	// they are executed. These orders are never executed.
	LostOrderShare float64 `json:"lose_orders"`
	// DelayedOrderShare is the fraction of orders that are executed OrderDelayMs
	// after their connection broke.
	DelayedOrderShare float64 `json:"late_orders"`
	OrderDelayMs      int     `json:"late_orders_ms"`
}

// EngineCounts are the counters of an Engine.
type EngineCounts struct {
	Started            int64 `json:"started"`
	Finished           int64 `json:"finished"`
	Canceled           int64 `json:"canceled"`
	Tokens             int64 `json:"tokens"`
	Overcommits        int64 `json:"overcommits"`
	StaleFencingTokens int64 `json:"old_fences"`
	Loads              int64 `json:"loads"`
	Unloads            int64 `json:"unloads"`
	Disconnects        int64 `json:"cut"`
	DelayedOrders      int64 `json:"late_orders"`
	PeakBytes          int64 `json:"peak_bytes"`
}

// Engine is a stand-in for a model engine. The zero value is ready for use: 80 GiB
// of memory, 32 slots, no check of fencing tokens.
type Engine struct {
	Name string
	// MemoryBytes is the accelerator memory; KVBytes of it are reserved for the
	// KV cache.
	MemoryBytes, KVBytes int
	// Slots is how many streams are batched at once, QueueLimit how many may be
	// queued; a QueueLimit of 0 is no limit.
	Slots, QueueLimit              int
	FirstTokenDelay, TokenInterval time.Duration
	// MaxReportAge is the maximum age of a load report.
	MaxReportAge time.Duration
	// ResumeWindow is how long a stream without a reader continues, and how
	// long an ended stream can be resumed.
	ResumeWindow  time.Duration
	ChecksFencing bool
	// FetchWeights fetches the weights for an order; nil makes them available
	// immediately.
	FetchWeights func(ctx context.Context, order wire.Order) error
	// Runs counts the executions of marked requests; nil counts none.
	Runs *RunCounter
	// Random returns a random number in [0,1) for fault injection; nil injects
	// every fault whose share is positive.
	Random func() float64
	// DisconnectBefore reports whether the connection of a stream breaks before a
	// frame; nil uses the faults.
	DisconnectBefore func(attempt string, sequence int) bool

	once   sync.Once
	slots  slotPool
	cache  prefixCache
	counts engineCounters

	mu            sync.Mutex
	faults        EngineFaults
	restGate      restGate
	fencingToken  int
	role          string
	residents     map[residentKey]*resident
	appliedOrders map[string]bool
	streams       map[string]*stream
	lastReport    wire.LoadReport
	reportedAt    time.Time
	lastRunStart  time.Time
}

type engineCounters struct {
	started, finished, canceled, tokens                   atomic.Int64
	overcommits, staleFencingTokens                       atomic.Int64
	loads, unloads, disconnects, delayedOrders, peakBytes atomic.Int64
}

type residentKey struct {
	model, adapter string
	version        int
}

type resident struct {
	bytes      int
	loaded     bool
	activeRuns int
	unloading  bool
}

func (e *Engine) init() {
	e.once.Do(func() {
		e.MemoryBytes = orDefault(e.MemoryBytes, defaultMemoryBytes)
		e.Slots = orDefault(e.Slots, defaultSlots)
		e.FirstTokenDelay = orDefault(e.FirstTokenDelay, defaultFirstTokenDelay)
		e.TokenInterval = orDefault(e.TokenInterval, defaultTokenInterval)
		e.MaxReportAge = orDefault(e.MaxReportAge, defaultMaxReportAge)
		e.ResumeWindow = orDefault(e.ResumeWindow, defaultResumeWindow)
		e.slots.free = e.Slots
		e.cache.capacity = defaultCacheCapacity
		e.residents = make(map[residentKey]*resident)
		e.appliedOrders = make(map[string]bool)
		e.streams = make(map[string]*stream)
	})
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the faults that are currently injected.
func (e *Engine) Faults() EngineFaults {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// RefusedAtRest returns how many requests were refused while the engine asked for rest.
func (e *Engine) RefusedAtRest() int64 { return e.restGate.refused.Load() }

// Counts returns the current values of the counters.
func (e *Engine) Counts() EngineCounts {
	c := &e.counts
	return EngineCounts{
		Started: c.started.Load(), Finished: c.finished.Load(), Canceled: c.canceled.Load(),
		Tokens: c.tokens.Load(), Overcommits: c.overcommits.Load(), StaleFencingTokens: c.staleFencingTokens.Load(),
		Loads: c.loads.Load(), Unloads: c.unloads.Load(), Disconnects: c.disconnects.Load(),
		DelayedOrders: c.delayedOrders.Load(), PeakBytes: c.peakBytes.Load(),
	}
}

func (e *Engine) shouldInject(share float64) bool {
	if share <= 0 {
		return false
	}
	return e.Random == nil || e.Random() < share
}

// LastRunStart returns when the last run started.
func (e *Engine) LastRunStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRunStart
}

// SetResident makes a model or adapter resident immediately, for tests.
func (e *Engine) SetResident(model, adapter string, version, bytes int) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.residents[residentKey{model, adapter, version}] = &resident{bytes: bytes, loaded: true}
	e.checkMemoryLocked()
}

// IsLoaded reports whether a model or adapter is loaded, in any version.
func (e *Engine) IsLoaded(model, adapter string) bool {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, r := e.newestLoadedLocked(model, adapter)
	return r != nil
}

// ModelCount returns how many models are loaded.
func (e *Engine) ModelCount() int {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for k, r := range e.residents {
		if k.adapter == "" && r.loaded {
			n++
		}
	}
	return n
}

// newestLoadedLocked returns the newest loaded version of a model or adapter, or
// nil if there is none.
func (e *Engine) newestLoadedLocked(model, adapter string) (residentKey, *resident) {
	var key residentKey
	var newest *resident
	for k, r := range e.residents {
		if k.model != model || k.adapter != adapter || !r.loaded || r.unloading {
			continue
		}
		if newest == nil || k.version > key.version {
			key, newest = k, r
		}
	}
	return key, newest
}

// usedMemoryLocked returns the memory in use, for the weights and the KV cache.
func (e *Engine) usedMemoryLocked() int {
	used := e.KVBytes
	for _, r := range e.residents {
		used += r.bytes
	}
	return used
}

// checkMemoryLocked counts an overcommit when the memory in use exceeds the
// capacity. A real engine would fail here; the stand-in continues so that
// overcommits can be counted.
func (e *Engine) checkMemoryLocked() {
	used := e.usedMemoryLocked()
	if used > e.MemoryBytes {
		e.counts.overcommits.Add(1)
	}
	if int64(used) > e.counts.peakBytes.Load() {
		e.counts.peakBytes.Store(int64(used))
	}
}

// Report returns the load report. It may be up to MaxReportAge old.
func (e *Engine) Report() wire.LoadReport {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.MaxReportAge {
		e.lastReport, e.reportedAt = e.newReportLocked(), now
	}
	return e.lastReport
}

func (e *Engine) newReportLocked() wire.LoadReport {
	running := 0
	for _, s := range e.streams {
		if s.active() {
			running++
		}
	}
	queued := e.slots.queueLength()
	report := wire.LoadReport{
		Running: max(running-queued, 0), Queued: queued, Slots: e.Slots,
		MemoryBytes: e.MemoryBytes, UsedBytes: e.usedMemoryLocked(),
		Draining: e.faults.Draining, Role: e.role, Fence: e.fencingToken,
		Residents: []wire.Resident{},
	}
	for k, r := range e.residents {
		state := wire.ResidentStateLoading
		if r.loaded {
			state = wire.ResidentStateLoaded
		}
		report.Residents = append(report.Residents, wire.Resident{
			Model: k.model, Adapter: k.adapter, Version: k.version, Bytes: r.bytes, State: state,
		})
	}
	return report
}
