package retry

import (
	"sync"
	"time"
)

// Rules limit the retries that all VMs together send to a service in any Window: PerRequest for each request for
// the service, plus Extra. The zero value allows none.
type Rules struct {
	PerRequest, Extra float64
	// FirstPerRequest takes the place of PerRequest in the first Window of a process. An earlier one may have spent,
	// right before its end, what requests before this window had earned.
	FirstPerRequest float64
	Window          time.Duration
}

// Budgets holds the retry budgets of one VM, by service. Each VM may send PerRequest retries for each of its own
// requests, plus its allotment of Extra. The zero value allows no retries. It is safe for concurrent use.
type Budgets struct {
	mu    sync.Mutex
	rules Rules
	// startedAt is when the process began to use the budgets.
	startedAt time.Time
	allotment Allotment
	services  map[string]*SlidingWindow
}

// Configure applies the rules. It is to be called at intervals too, as allotments begin and expire with time.
func (b *Budgets) Configure(now time.Time, r Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = r
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	for _, w := range b.services {
		b.setLimit(now, w)
	}
}

// Counted records that this VM is known to be one of a number of VMs that each have an allotment of Extra.
func (b *Budgets) Counted(now time.Time, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allotment.Counted(now, vms)
}

// AllotmentVMs returns the number of VMs among which this VM divides Extra, or 0 if it has no allotment.
func (b *Budgets) AllotmentVMs(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allotment.VMs(now, b.rules.Window)
}

// Of returns the budget of a service, with its limit as of now.
func (b *Budgets) Of(now time.Time, service string) *SlidingWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.services[service]
	if w == nil {
		w = &SlidingWindow{}
		if b.services == nil {
			b.services = make(map[string]*SlidingWindow)
		}
		b.services[service] = w
	}
	b.setLimit(now, w)
	return w
}

// setLimit sets a budget to this VM's share of the retries of all VMs. b.mu is held.
func (b *Budgets) setLimit(now time.Time, w *SlidingWindow) {
	extra := 0.0
	if vms := b.allotment.VMs(now, b.rules.Window); vms > 0 {
		extra = b.rules.Extra / float64(vms)
	}
	perRequest := b.rules.PerRequest
	if now.Sub(b.startedAt) < b.rules.Window {
		perRequest = b.rules.FirstPerRequest
	}
	w.SetLimit(now, perRequest, extra, b.rules.Window)
}
