package stand

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// BackendFaults are the faults that can be switched on a Backend.
type BackendFaults struct {
	// Fail answers the next requests with a failure after running them.
	Fail int
	// Lose closes the connection of the next requests after running them.
	Lose int
	// Cut breaks the next streams off in the middle of an event.
	Cut int
	// Stray answers the next requests twice.
	Stray int
	// Refuse refuses the next requests without running them.
	Refuse int
	// LoseOrders carries the next orders out and gives no answer.
	LoseOrders int
	// Forge answers the next requests without proof that they are the server's.
	Forge int
}

// Strikes are faults that wait to strike. Several backends may share them: each
// fault strikes one of them. The nil value strikes never.
type Strikes struct {
	mu   sync.Mutex
	left BackendFaults
}

// NewStrikes returns faults that wait to strike.
func NewStrikes(f BackendFaults) *Strikes { return &Strikes{left: f} }

func (s *Strikes) take(of func(*BackendFaults) *int) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := of(&s.left)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Backend stands in for a backend server of the platform: it runs requests that
// are passed on unchanged, holds models and adapters in bounded memory, and takes
// orders with an expected sequence. It speaks no protocol; an adapter serves it.
// ID, Service and the bounds must be set.
type Backend struct {
	ID, Service, Domain string
	Slots               int
	MemoryMB            float64
	AdapterSlots        int
	// SizeMB are the sizes of the models; nil for a service without models.
	SizeMB map[string]float64
	// Work is how long a request or an event takes, LoadTime a model's load.
	Work, LoadTime time.Duration
	// Events is how many events a stream has.
	Events int
	// Runs takes each run of a request.
	Runs *Ledger
	// CrashBody is the body of requests that crash the process when their execution begins; empty
	// for none. Crash, when set, then closes the process's listener and connections.
	CrashBody string
	Crash     func()
	// Changed, when set, is called after the models changed, without the lock.
	Changed func()

	mu       sync.Mutex
	models   map[string]map[string]bool
	sequence int
	busy     bool
	draining bool
	crashed  bool
	// limit is the rate limit that answers contain if limited is set, in requests per second.
	// arrivals holds the arrival times of the requests since the limit was set.
	limit    float64
	limited  bool
	arrivals []time.Time
	// crashes counts the executed requests with CrashBody.
	crashes int
	strikes *Strikes
	// born is when it started again under its ID, the zero time before.
	born time.Time
}

// Restart ends the process and starts the next one under the same ID: it holds and
// knows nothing of before, and counts its orders from none. What a model order was
// about to do is not done.
func (b *Backend) Restart(now time.Time) {
	b.mu.Lock()
	b.born, b.models, b.sequence, b.busy, b.draining = now, nil, 0, false, false
	b.mu.Unlock()
	b.changed()
}

// Hold makes the backend hold models from its start.
func (b *Backend) Hold(models ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range models {
		b.hold(m)
	}
}

func (b *Backend) hold(model string) {
	if b.models == nil {
		b.models = make(map[string]map[string]bool)
	}
	if b.models[model] == nil {
		b.models[model] = make(map[string]bool)
	}
}

// SetStrikes lets faults strike this backend; nil ends them.
func (b *Backend) SetStrikes(s *Strikes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.strikes = s
}

// SetLimit sets the rate limit that answers contain, in requests per second, or removes it if limited
// is false. It also clears the recorded arrivals.
func (b *Backend) SetLimit(rate float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.limited, b.arrivals = rate, limited, nil
}

// Limit returns the rate limit that answers contain, and whether they contain one.
func (b *Backend) Limit() (rate float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit, b.limited
}

// Arrivals returns the arrival times of the requests since the limit was set.
func (b *Backend) Arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

// Drain makes the backend say that it leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.changed()
}

// Crashed reports whether the backend was ordered beyond its memory.
func (b *Backend) Crashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}

// Crashes returns how often a request has crashed the process.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

func (b *Backend) changed() {
	if b.Changed != nil {
		b.Changed()
	}
}

// Entry returns the backend as it lists itself, but for its address.
func (b *Backend) Entry() backs.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return backs.Entry{ID: b.ID, StartedAt: b.born, Service: b.Service, Domain: b.Domain, Slots: b.Slots, Draining: b.draining, Models: b.held()}
}

func (b *Backend) held() []backs.LoadedModel {
	var list []backs.LoadedModel
	for m, adapters := range b.models {
		h := backs.LoadedModel{Model: m, Version: 1, Adapters: []string{}}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		slices.Sort(h.Adapters)
		list = append(list, h)
	}
	slices.SortFunc(list, func(x, y backs.LoadedModel) int {
		if x.Model < y.Model {
			return -1
		}
		return 1
	})
	return list
}

// Report returns the state that a report gives.
func (b *Backend) Report() steer.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return steer.Report{Born: b.born, Models: b.held(), Busy: b.busy, Sequence: b.sequence}
}

// Order takes an order. It reports whether the answer is to be lost.
func (b *Backend) Order(o steer.Order) (steer.OrderResult, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lose := b.strikes.take(func(f *BackendFaults) *int { return &f.LoseOrders })
	if b.busy || o.ExpectedSequence != b.sequence {
		return steer.Conflict, lose
	}
	if o.Adapter != "" {
		return b.adapter(o), lose
	}
	_, has := b.models[o.Model]
	if has != o.Unload {
		return steer.Done, lose
	}
	b.sequence++
	b.busy = true
	if !o.Unload {
		b.charge(b.SizeMB[o.Model])
	}
	go b.carryOut(b.born, o)
	return steer.Accepted, lose
}

// charge crashes the backend when what it holds and what is added exceed its
// memory. b.mu is held.
func (b *Backend) charge(mb float64) {
	for m := range b.models {
		mb += b.SizeMB[m]
	}
	if mb > b.MemoryMB {
		b.crashed = true
	}
}

func (b *Backend) carryOut(born time.Time, o steer.Order) {
	time.Sleep(b.LoadTime)
	b.mu.Lock()
	if !b.born.Equal(born) {
		b.mu.Unlock()
		return
	}
	b.busy = false
	if o.Unload {
		delete(b.models, o.Model)
	} else {
		b.hold(o.Model)
	}
	b.mu.Unlock()
	b.changed()
}

func (b *Backend) adapter(o steer.Order) steer.OrderResult {
	adapters, ok := b.models[o.Model]
	if !ok {
		return steer.Refused
	}
	if o.Unload {
		delete(adapters, o.Adapter)
		b.sequence++
		return steer.Done
	}
	if adapters[o.Adapter] {
		return steer.Done
	}
	places := 0
	for _, a := range b.models {
		places += len(a)
	}
	if places >= b.AdapterSlots {
		b.crashed = true
	}
	adapters[o.Adapter] = true
	b.sequence++
	return steer.Accepted
}

// Turn is what a backend does with one request.
type Turn int

// The turns.
const (
	// TurnAnswer runs it and answers.
	TurnAnswer Turn = iota
	// TurnRefuse says that it was not run.
	TurnRefuse
	// TurnMisdirect says that the model is not held, or that another server is
	// meant.
	TurnMisdirect
	// TurnFail runs it and answers with a failure.
	TurnFail
	// TurnLose runs it and closes the connection.
	TurnLose
	// TurnCut runs it and breaks its stream off.
	TurnCut
	// TurnStray answers it twice.
	TurnStray
	// TurnForge answers without proof.
	TurnForge
	// TurnCrash crashes the process.
	TurnCrash
)

// Accept decides what happens with a request that names a server, a model and an
// adapter, and notes its run.
func (b *Backend) Accept(now time.Time, id, expect, model, adapter, body string) Turn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limited {
		b.arrivals = append(b.arrivals, now)
	}
	if expect != "" && expect != b.ID {
		return TurnMisdirect
	}
	if b.SizeMB != nil && model != "" {
		adapters, ok := b.models[model]
		if !ok || adapter != "" && !adapters[adapter] {
			return TurnMisdirect
		}
	}
	if b.strikes.take(func(f *BackendFaults) *int { return &f.Refuse }) {
		return TurnRefuse
	}
	b.Runs.Note(id, b.ID)
	switch {
	case b.CrashBody != "" && body == b.CrashBody:
		b.crashes++
		return TurnCrash
	case b.strikes.take(func(f *BackendFaults) *int { return &f.Fail }):
		return TurnFail
	case b.strikes.take(func(f *BackendFaults) *int { return &f.Lose }):
		return TurnLose
	case b.strikes.take(func(f *BackendFaults) *int { return &f.Cut }):
		return TurnCut
	case b.strikes.take(func(f *BackendFaults) *int { return &f.Stray }):
		return TurnStray
	case b.strikes.take(func(f *BackendFaults) *int { return &f.Forge }):
		return TurnForge
	}
	return TurnAnswer
}

// Ledger notes which backends ran which requests. The zero value works.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

// Note adds a run.
func (l *Ledger) Note(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]string)
	}
	l.runs[id] = append(l.runs[id], server)
}

// Of returns the servers that ran a request.
func (l *Ledger) Of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}
