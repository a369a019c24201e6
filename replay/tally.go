package replay

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"
)

// Tally is what a replay came to.
type Tally struct {
	p     *Pattern
	kinds map[string]*Count
	spans []Count
	// reasons counts why requests were refused, lost or late.
	reasons map[string]int

	loads, storeLoads, unloads, orders int
	adapterOrders                      int
	// adapted counts the requests that ask for an adapter.
	adapted                             Count
	arrivals, refusals, refused, dials  int
	opened, held                        int
	predictedInTime, predictedInTimeBad int
	excess                              []time.Duration
}

// Count is how requests ended and what they were worth.
type Count struct {
	Asked, InTime, Late, Lost int
	Owed, Earned              float64
}

// Worth is the part earned.
func (c Count) Worth() float64 {
	if c.Owed == 0 {
		return 0
	}
	return c.Earned / c.Owed
}

// spanLength is the length of a row by time.
const spanLength = 2 * time.Second

func newTally(p *Pattern) *Tally {
	return &Tally{p: p, kinds: make(map[string]*Count), reasons: make(map[string]int), spans: make([]Count, int(p.Length/spanLength)+1)}
}

func (t *Tally) each(r *request, add func(*Count)) {
	c := t.kinds[r.kind.Name]
	if c == nil {
		c = &Count{}
		t.kinds[r.kind.Name] = c
	}
	add(c)
	if r.adapter > 0 {
		add(&t.adapted)
	}
	add(&t.spans[min(int(r.firstArrived/spanLength), len(t.spans)-1)])
}

func (t *Tally) asked(r *request) {
	t.each(r, func(c *Count) {
		c.Asked++
		c.Owed += r.kind.Worth
	})
}

// first takes in a first event: what was predicted for it, and what was seen.
func (t *Tally) first(s *send) {
	r := s.r
	seen := r.began - r.arrived
	if s.choice.PredictedTime > r.kind.Objective || r.sends > 1 {
		return
	}
	t.predictedInTime++
	if seen > r.kind.Objective {
		t.predictedInTimeBad++
	}
	t.excess = append(t.excess, seen-s.choice.PredictedTime)
}

func (t *Tally) answered(_ time.Duration, r *request) {
	late := ""
	switch {
	case r.began-r.firstArrived > r.kind.Objective && r.again:
		late = "late: came back"
	case r.began-r.firstArrived > r.kind.Objective:
		late = "late: first event"
	case r.pause > r.kind.Gap:
		late = "late: pause"
	}
	if late != "" {
		t.reasons[late]++
	}
	t.each(r, func(c *Count) {
		if late == "" {
			c.InTime++
			c.Earned += r.kind.Worth
			return
		}
		c.Late++
		c.Earned += r.kind.Late
	})
}

func (t *Tally) lost(_ time.Duration, r *request, reason string) {
	t.reasons["lost: "+reason]++
	t.each(r, func(c *Count) { c.Lost++ })
}

// Total returns the sum over all kinds.
func (t *Tally) Total() Count {
	var sum Count
	for _, c := range t.kinds {
		sum.Asked += c.Asked
		sum.InTime += c.InTime
		sum.Late += c.Late
		sum.Lost += c.Lost
		sum.Owed += c.Owed
		sum.Earned += c.Earned
	}
	return sum
}

// Worth is the part of what was owed that was earned.
func (t *Tally) Worth() float64 { return t.Total().Worth() }

// WorstSpan is the least part earned in two seconds.
func (t *Tally) WorstSpan() float64 {
	worst := 1.0
	for _, c := range t.spans {
		if c.Asked > 0 {
			worst = min(worst, c.Worth())
		}
	}
	return worst
}

// ByTime yields the part earned in each span, by its beginning.
func (t *Tally) ByTime() iter.Seq2[time.Duration, float64] {
	return func(yield func(time.Duration, float64) bool) {
		for i, c := range t.spans {
			if c.Asked > 0 && !yield(time.Duration(i)*spanLength, c.Worth()) {
				return
			}
		}
	}
}

// Refusals returns how many arrivals servers refused, of how many.
func (t *Tally) Refusals() (refused, arrivals int) { return t.refusals, t.arrivals }

// Loads returns the loads, and how many of them came from the weight store.
func (t *Tally) Loads() (all, store int) { return t.loads, t.storeLoads }

// String gives the figures, a line each.
func (t *Tally) String() string {
	var b strings.Builder
	total := t.Total()
	share := func(n int) float64 { return 100 * float64(n) / float64(max(total.Asked, 1)) }
	fmt.Fprintf(&b, "worth %.3f, worst two seconds %.2f; %d asked: %.1f%% in time, %.1f%% late, %.1f%% lost\n",
		t.Worth(), t.WorstSpan(), total.Asked, share(total.InTime), share(total.Late), share(total.Lost))
	fmt.Fprintf(&b, "%d of %d arrivals refused, %d requests refused, %d held, %d dials in vain, %d connections; %d loads (%d from the store), %d unloads\n",
		t.refusals, t.arrivals, t.refused, t.held, t.dials, t.opened, t.loads, t.storeLoads, t.unloads)
	fmt.Fprintf(&b, "predicted in time %d, of them late %d; excess p50 %v, p95 %v\n",
		t.predictedInTime, t.predictedInTimeBad, t.excessAt(0.5).Round(time.Millisecond), t.excessAt(0.95).Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(t.kinds)) {
		c := t.kinds[name]
		fmt.Fprintf(&b, "  %-14s worth %.3f of %d\n", name, c.Worth(), c.Asked)
	}
	fmt.Fprintf(&b, "  with an adapter worth %.3f of %d; %d orders for adapters\n", t.adapted.Worth(), t.adapted.Asked, t.adapterOrders)
	order := slices.SortedFunc(maps.Keys(t.reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.reasons[b], t.reasons[a]), cmp.Compare(a, b))
	})
	for _, reason := range order {
		fmt.Fprintf(&b, "  %6d %s\n", t.reasons[reason], reason)
	}
	return b.String()
}

func (t *Tally) excessAt(part float64) time.Duration {
	if len(t.excess) == 0 {
		return 0
	}
	slices.Sort(t.excess)
	return t.excess[int(part*float64(len(t.excess)-1))]
}
