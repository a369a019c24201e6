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

// Tally holds the results of a replay.
type Tally struct {
	pattern *Pattern
	classes map[string]*OutcomeCounts
	spans   []OutcomeCounts
	// reasons counts the requests by why they were refused, lost or late.
	reasons map[string]int

	loads, storeLoads, unloads, orders int
	adapterOrders                      int
	// adapterRequests are the outcomes of the requests with an adapter.
	adapterRequests                                  OutcomeCounts
	arrivals, refusals, refusedRequests, failedDials int
	newConnections, waitingRequests                  int
	predictedInTime, predictedInTimeButLate          int
	predictionErrors                                 []time.Duration
}

// OutcomeCounts holds the outcomes of requests and their worth.
type OutcomeCounts struct {
	Requests, InTime, Late, Lost int
	// Refused is the number of refusals, of which some are followed by a retry of the caller.
	Refused               int
	MaxWorth, EarnedWorth float64
}

func (c *OutcomeCounts) add(o OutcomeCounts) {
	c.Requests += o.Requests
	c.InTime += o.InTime
	c.Late += o.Late
	c.Lost += o.Lost
	c.Refused += o.Refused
	c.MaxWorth += o.MaxWorth
	c.EarnedWorth += o.EarnedWorth
}

// Worth returns the earned share of the worth.
func (c OutcomeCounts) Worth() float64 {
	if c.MaxWorth == 0 {
		return 0
	}
	return c.EarnedWorth / c.MaxWorth
}

// spanLength is the length of the spans of time for which outcomes are counted separately.
const spanLength = 2 * time.Second

// latePause is why a response is late whose first event was in time.
const latePause = "late: pause"

// LatePauses returns the number of responses whose first event was in time and that paused for too long.
func (t *Tally) LatePauses() int { return t.reasons[latePause] }

func newTally(p *Pattern) *Tally {
	return &Tally{pattern: p, classes: make(map[string]*OutcomeCounts), reasons: make(map[string]int), spans: make([]OutcomeCounts, int(p.Length/spanLength)+1)}
}

func (t *Tally) updateCounts(r *request, update func(*OutcomeCounts)) {
	c := t.classes[r.class.Name]
	if c == nil {
		c = &OutcomeCounts{}
		t.classes[r.class.Name] = c
	}
	update(c)
	if r.adapter > 0 {
		update(&t.adapterRequests)
	}
	update(&t.spans[min(int(r.firstArrivedAt/spanLength), len(t.spans)-1)])
}

func (t *Tally) recordRequest(r *request) {
	t.updateCounts(r, func(c *OutcomeCounts) {
		c.Requests++
		c.MaxWorth += r.class.Worth
	})
}

// recordFirstEvent records the difference between the observed and the predicted time to the first
// event, for requests that were predicted to be in time and sent only once.
func (t *Tally) recordFirstEvent(a *attempt) {
	r := a.request
	observed := r.firstEventAt - r.arrivedAt
	if a.choice.PredictedTime > r.class.Objective || r.attempts > 1 {
		return
	}
	t.predictedInTime++
	if observed > r.class.Objective {
		t.predictedInTimeButLate++
	}
	t.predictionErrors = append(t.predictionErrors, observed-a.choice.PredictedTime)
}

func (t *Tally) recordResponse(_ time.Duration, r *request) {
	late := ""
	switch {
	case r.firstEventAt-r.firstArrivedAt > r.class.Objective && r.isRetry:
		late = "late: retried by the caller"
	case r.firstEventAt-r.firstArrivedAt > r.class.Objective:
		late = "late: first event"
	case r.longestPause > r.class.MaxEventGap:
		late = latePause
	}
	if late != "" {
		t.reasons[late]++
	}
	t.updateCounts(r, func(c *OutcomeCounts) {
		if late == "" {
			c.InTime++
			c.EarnedWorth += r.class.Worth
			return
		}
		c.Late++
		c.EarnedWorth += r.class.LateWorth
	})
}

func (t *Tally) recordLoss(_ time.Duration, r *request, reason string) {
	t.reasons["lost: "+reason]++
	t.updateCounts(r, func(c *OutcomeCounts) { c.Lost++ })
}

// Total returns the sum over all classes.
func (t *Tally) Total() OutcomeCounts {
	var sum OutcomeCounts
	for _, c := range t.classes {
		sum.add(*c)
	}
	return sum
}

// Class returns the outcomes of a class of requests.
func (t *Tally) Class(name string) OutcomeCounts {
	if c := t.classes[name]; c != nil {
		return *c
	}
	return OutcomeCounts{}
}

// Worth returns the earned share of the worth over all classes.
func (t *Tally) Worth() float64 { return t.Total().Worth() }

// WorstSpanWorth returns the lowest earned share of the worth in any span.
func (t *Tally) WorstSpanWorth() float64 {
	worst := 1.0
	for _, c := range t.spans {
		if c.Requests > 0 {
			worst = min(worst, c.Worth())
		}
	}
	return worst
}

// WorthOverTime yields the start of each span and its earned share of the worth.
func (t *Tally) WorthOverTime() iter.Seq2[time.Duration, float64] {
	return func(yield func(time.Duration, float64) bool) {
		for i, c := range t.spans {
			if c.Requests > 0 && !yield(time.Duration(i)*spanLength, c.Worth()) {
				return
			}
		}
	}
}

// Refusals returns how many attempts servers refused, and how many arrived at servers.
func (t *Tally) Refusals() (refused, arrivals int) { return t.refusals, t.arrivals }

// Loads returns the number of loads, and how many of them were from the weight store.
func (t *Tally) Loads() (all, store int) { return t.loads, t.storeLoads }

// String returns the results as text of several lines.
func (t *Tally) String() string {
	var b strings.Builder
	total := t.Total()
	share := func(n int) float64 { return 100 * float64(n) / float64(max(total.Requests, 1)) }
	fmt.Fprintf(&b, "worth %.3f, worst two seconds %.2f; %d requests: %.1f%% in time, %.1f%% late, %.1f%% lost\n",
		t.Worth(), t.WorstSpanWorth(), total.Requests, share(total.InTime), share(total.Late), share(total.Lost))
	fmt.Fprintf(&b, "%d of %d arrivals refused, %d requests refused, %d waited for capacity, %d failed dials, %d connections; %d loads (%d from the store), %d unloads\n",
		t.refusals, t.arrivals, t.refusedRequests, t.waitingRequests, t.failedDials, t.newConnections, t.loads, t.storeLoads, t.unloads)
	fmt.Fprintf(&b, "predicted in time %d, of them late %d; observed minus predicted p50 %v, p95 %v\n",
		t.predictedInTime, t.predictedInTimeButLate, t.predictionErrorAt(0.5).Round(time.Millisecond), t.predictionErrorAt(0.95).Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(t.classes)) {
		c := t.classes[name]
		fmt.Fprintf(&b, "  %-14s worth %.3f of %d; %d in time, %d late, %d lost, %d refusals\n", name, c.Worth(), c.Requests, c.InTime, c.Late, c.Lost, c.Refused)
	}
	fmt.Fprintf(&b, "  with an adapter worth %.3f of %d; %d adapter orders\n", t.adapterRequests.Worth(), t.adapterRequests.Requests, t.adapterOrders)
	reasons := slices.SortedFunc(maps.Keys(t.reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.reasons[b], t.reasons[a]), cmp.Compare(a, b))
	})
	for _, reason := range reasons {
		fmt.Fprintf(&b, "  %6d %s\n", t.reasons[reason], reason)
	}
	return b.String()
}

func (t *Tally) predictionErrorAt(quantile float64) time.Duration {
	if len(t.predictionErrors) == 0 {
		return 0
	}
	slices.Sort(t.predictionErrors)
	return t.predictionErrors[int(quantile*float64(len(t.predictionErrors)-1))]
}
