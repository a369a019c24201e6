package stand

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	maxHistoryEvents    = 4096
	defaultWritesPerSec = 300
	defaultReadsPerSec  = 2000
	maxValueBytes       = 1 << 20
)

// PlatformFaults are the faults that can be injected into a Platform.
type PlatformFaults struct {
	// Outage responds to every call with status 503.
	Outage bool `json:"outage"`
	// DelayMs delays each call.
	DelayMs int `json:"delay_ms"`
	// LostResponseShare is the fraction of writes whose connection breaks after
	// they were applied.
	LostResponseShare float64 `json:"lose_answers"`
	// WatchDelayMs delays each watch event.
	WatchDelayMs int `json:"watch_lag_ms"`
	// VMListDelayMs delays changes of the VM list.
	VMListDelayMs int `json:"list_lag_ms"`
	// DisconnectedVMs are the VMs that cannot reach the platform.
	DisconnectedVMs []string `json:"cut_nodes"`
}

// PlatformCounts are the counters of a Platform.
type PlatformCounts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	RateLimited   int64 `json:"limited"`
	LostResponses int64 `json:"lost"`
}

// Platform is a stand-in for the platform's object API. The zero value is ready for
// use, with the rate limits that the platform is specified to have.
type Platform struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 is the
	// default.
	WritesPerSecond, ReadsPerSecond float64
	// APIKey is the API key that callers must send; "" accepts all callers.
	APIKey string
	// Random returns a random number in [0,1) for fault injection; nil injects
	// every fault whose share is positive.
	Random func() float64

	once sync.Once
	// writes and reads limit the rates of calls.
	writes           *rate.Limiter
	reads            *rate.Limiter
	counts           struct{ reads, writes, watches, limited, lost atomic.Int64 }
	activeWatches    atomic.Int64
	mu               sync.Mutex
	faults           PlatformFaults
	version          int
	objects          map[string]map[string]store.Object
	history          []loggedEvent
	compactedVersion int
	changed          chan struct{}
	vms              map[string]wire.VM
	vmHistory        []vmListVersion
}

type loggedEvent struct {
	kind       string
	recordedAt time.Time
	event      store.Event
}

type vmListVersion struct {
	recordedAt time.Time
	list       []wire.VM
}

func (p *Platform) init() {
	p.once.Do(func() {
		if p.WritesPerSecond == 0 {
			p.WritesPerSecond = defaultWritesPerSec
		}
		if p.ReadsPerSecond == 0 {
			p.ReadsPerSecond = defaultReadsPerSec
		}
		p.writes = rate.NewLimiter(rate.Limit(p.WritesPerSecond), int(p.WritesPerSecond/4)+1)
		p.reads = rate.NewLimiter(rate.Limit(p.ReadsPerSecond), int(p.ReadsPerSecond/4)+1)
		p.objects = make(map[string]map[string]store.Object)
		p.changed = make(chan struct{})
		p.vms = make(map[string]wire.VM)
	})
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// Faults returns the faults that are currently injected.
func (p *Platform) Faults() PlatformFaults {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the current values of the counters.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{
		Reads:         p.counts.reads.Load(),
		Writes:        p.counts.writes.Load(),
		Watches:       p.counts.watches.Load(),
		RateLimited:   p.counts.limited.Load(),
		LostResponses: p.counts.lost.Load(),
	}
}

// ActiveWatches returns the number of open watches.
func (p *Platform) ActiveWatches() int64 { return p.activeWatches.Load() }

// notifyWatches wakes up the open watches. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Put writes an object if its current version is ifVersion. It returns the
// resulting version of the object and whether the write was applied.
func (p *Platform) Put(kind, name string, ifVersion int, value json.RawMessage) (int, bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[kind][name].Version
	if current != ifVersion {
		return current, false
	}
	if p.objects[kind] == nil {
		p.objects[kind] = make(map[string]store.Object)
	}
	p.version++
	p.objects[kind][name] = store.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.recordEvent(kind, store.Event{Type: store.EventPut, Name: name, Version: p.version, Value: value})
	return p.version, true
}

// Delete removes an object if its current version is ifVersion. It returns the
// version and whether the object was removed.
func (p *Platform) Delete(kind, name string, ifVersion int) (int, bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[kind][name].Version
	if current != ifVersion || current == 0 {
		return current, false
	}
	delete(p.objects[kind], name)
	p.version++
	p.recordEvent(kind, store.Event{Type: store.EventDelete, Name: name, Version: p.version})
	return p.version, true
}

func (p *Platform) recordEvent(kind string, e store.Event) {
	p.history = append(p.history, loggedEvent{kind: kind, recordedAt: time.Now(), event: e})
	if excess := len(p.history) - maxHistoryEvents; excess > 0 {
		p.compactedVersion = p.history[excess-1].event.Version
		p.history = append([]loggedEvent(nil), p.history[excess:]...)
	}
	p.notifyWatches()
}

// Compact discards the history, so that watches from old versions get status 410.
func (p *Platform) Compact() {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compactedVersion = p.version
	p.history = nil
}

// Get returns an object and whether it exists.
func (p *Platform) Get(kind, name string) (store.Object, bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	obj, ok := p.objects[kind][name]
	return obj, ok
}

// List returns the objects of a kind.
func (p *Platform) List(kind string) store.Listing {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := store.Listing{Version: p.version, Items: []store.Object{}}
	for _, obj := range p.objects[kind] {
		list.Items = append(list.Items, obj)
	}
	return list
}

// eventsAfter returns the events of a kind after version that are at least lag old,
// the version to continue from, a channel that is closed at the next change, and
// whether the history after version is retained.
func (p *Platform) eventsAfter(kind string, version int, lag time.Duration) (events []store.Event, next int, changed chan struct{}, retained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version < p.compactedVersion {
		return nil, version, nil, false
	}
	cutoff := time.Now().Add(-lag)
	next = version
	for _, e := range p.history {
		if e.event.Version <= version {
			continue
		}
		if e.recordedAt.After(cutoff) {
			break
		}
		next = e.event.Version
		if e.kind == kind {
			events = append(events, e.event)
		}
	}
	return events, next, p.changed, true
}

// SetVM adds a VM to the list or replaces its entry.
func (p *Platform) SetVM(vm wire.VM) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
	p.recordVMs()
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.recordVMs()
}

func (p *Platform) recordVMs() {
	list := make([]wire.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		list = append(list, vm)
	}
	p.vmHistory = append(p.vmHistory, vmListVersion{recordedAt: time.Now(), list: list})
}

// VMs returns the list of VMs as of VMListDelayMs ago.
func (p *Platform) VMs() []wire.VM {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(p.faults.VMListDelayMs) * time.Millisecond)
	list := []wire.VM{}
	for _, entry := range p.vmHistory {
		if entry.recordedAt.After(cutoff) {
			break
		}
		list = entry.list
	}
	return list
}
