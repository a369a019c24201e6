package bench

import (
	"container/heap"
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/sample"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// placeFigures compare placements under one load.
type placeFigures struct {
	Common
	latencies
	Moves           int     `json:"moves"`
	Bound           float64 `json:"bound_attainment_per_accelerator"`
	NaiveAttainment float64 `json:"naive_attainment"`
	NaivePerAcc     float64 `json:"naive_attainment_per_accelerator"`
	NaiveMoves      int     `json:"naive_moves"`
	ShareOfBound    float64 `json:"share_of_bound"`
}

// The engines of the placement experiments are slow and small, so that a few
// hundred requests a second fill them and the machine that runs them does not
// become the bottleneck.
const (
	placeSlots   = 8
	placeFirst   = 40 * time.Millisecond
	placeBetween = 12 * time.Millisecond
	placeTokens  = 40
	settleTime   = 2 * time.Second
)

// hot is a time during which a model is asked for ten times as much.
type hot struct {
	model    string
	from, to time.Duration
	rate     float64
}

// placeTrial is a deployment of the examples with demand that moves.
type placeTrial struct {
	deployment string
	length     time.Duration
	base       float64
	hot        []hot
	// weight replaces the weight of attainment in the profiles, when not 0.
	weight float64
}

// classes returns one class for each model, with its bursts.
func (p placeTrial) classes(profiles []wire.Profile) []load.Class {
	var classes []load.Class
	for _, doc := range profiles {
		for _, m := range doc.Models {
			class := load.Class{Name: m.Name, Profile: oneModel(doc, m), Rate: p.base, MaxTokens: placeTokens}
			for _, h := range p.hot {
				if h.model != m.Name {
					continue
				}
				burst := class
				burst.Name += "-burst"
				burst.Rate, burst.Burst, burst.BurstFrom, burst.BurstTo = h.rate/1000, 1000, h.from, h.to
				classes = append(classes, burst)
			}
			classes = append(classes, class)
		}
	}
	return classes
}

// oneModel returns the profile with one of its models, for a class of load.
func oneModel(doc wire.Profile, m wire.Model) wire.Profile {
	doc.Models = []wire.Model{m}
	return doc
}

// placeOutcome is what came of one placement.
type placeOutcome struct {
	summary load.Summary
	moves   int
	results []load.Result
}

// run runs the trial under one placement.
func (p placeTrial) run(ctx context.Context, o Options, placement string) (*placeOutcome, error) {
	settings, err := sample.Settings(p.deployment)
	if err != nil {
		return nil, err
	}
	profiles, err := p.profiles()
	if err != nil {
		return nil, err
	}
	w, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: profiles, MaxVMsPerDomain: 1, Preload: true, PreloadCopies: 2, Seed: o.Seed, Log: zerolog.Nop(),
		AdjustVM: func(c *entry.Config) { c.Placement, c.Callers = placement, nil },
		AdjustEngine: func(e *stand.Engine) {
			e.Slots, e.FirstToken, e.BetweenTokens = placeSlots, placeFirst, placeBetween
		},
	})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	defer w.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := w.WaitReady(ready); err != nil {
		return nil, err
	}
	pause.For(ctx, settleTime)
	before := w.LoadsAndUnloads()
	watch := watchReach(w)
	classes := p.classes(profiles)
	results := w.SendLoad(ctx, classes, p.length, o.Seed, nil)
	out := &placeOutcome{results: results, moves: w.LoadsAndUnloads() - before}
	unreachable := watch()
	out.summary = w.Summarize(classes, results)
	out.summary.Promises.UnreachableModels += unreachable
	if o.Out != nil {
		fmt.Fprintf(o.Out, "placement %q: attainment %.4f, moves %d\n", placement, out.summary.Total.Attained, out.moves)
		if err := out.summary.WriteTable(o.Out); err != nil {
			return nil, err
		}
		for _, s := range w.Servers() {
			if e := w.Engine(s.Name); e != nil {
				fmt.Fprintf(o.Out, "%s: %d models\n", s.Name, e.Models())
			}
		}
	}
	return out, nil
}

// profiles returns the deployment's profiles of engines, with limits that let
// the engines be filled.
func (p placeTrial) profiles() ([]wire.Profile, error) {
	all, err := sample.Profiles(p.deployment)
	if err != nil {
		return nil, err
	}
	var engines []wire.Profile
	for _, doc := range all {
		if doc.Backend != wire.ProfileBackendEngine {
			continue
		}
		if p.weight != 0 {
			doc.AttainmentWeight = p.weight
		}
		// Claims are not what is measured here.
		doc.RunsAllowed = max(doc.RunsAllowed, 2)
		doc.ConcurrencyLimit = 1000
		engines = append(engines, doc)
	}
	return engines, nil
}

// watchReach samples whether every model has a copy. The returned function ends
// it and tells how many samples found one without.
func watchReach(w *demo.Deployment) func() int {
	return sum(50*time.Millisecond, func() int { return len(w.UnreachableModels()) })
}

// figures runs the trial under the planner and a baseline.
func (p placeTrial) figures(ctx context.Context, o Options, name, baseline string) (placeFigures, error) {
	naive, err := p.run(ctx, o, baseline)
	if err != nil {
		return placeFigures{}, fmt.Errorf("baseline: %w", err)
	}
	ours, err := p.run(ctx, o, "")
	if err != nil {
		return placeFigures{}, fmt.Errorf("planner: %w", err)
	}
	settings, err := sample.Settings(p.deployment)
	if err != nil {
		return placeFigures{}, err
	}
	engines := len(settings.Pools()[0].Servers(settings.FailureDomains()))
	profiles, err := p.profiles()
	if err != nil {
		return placeFigures{}, err
	}
	bound := pooledBound(load.Schedule(o.Seed, p.length, p.classes(profiles)), p.classes(profiles), engines*placeSlots)
	f := placeFigures{
		Common: Common{
			Experiment: name, Seed: o.Seed, Promises: ours.summary.Promises,
			FaultsInjected: len(p.hot), Requests: ours.summary.Total.Sent,
		},
		latencies: newLatencies(ours.summary.Total, engines),
		Moves:     ours.moves, Bound: bound / float64(engines),
		NaiveAttainment: naive.summary.Total.Attained, NaivePerAcc: naive.summary.Total.Attained / float64(engines),
		NaiveMoves: naive.moves,
	}
	f.ShareOfBound = f.AttainmentPerAccelerator / f.Bound
	return f, f.broken()
}

// pooledBound is the attainment with full knowledge: all slots of all servers
// as one pool that holds every model, each request begun at the earliest free
// slot when it still meets its target then, and not at all otherwise. No
// placement can have a slot free earlier.
func pooledBound(arrivals []load.Arrival, classes []load.Class, slots int) float64 {
	free := make(slotHeap, slots)
	attained := 0
	for _, a := range arrivals {
		target := time.Duration(classes[a.Class].Profile.FirstTokenMs) * time.Millisecond
		begin := max(a.At, free[0])
		if begin+placeFirst > a.At+target {
			continue
		}
		attained++
		tokens := len(load.Answer(classes[a.Class], a))
		free[0] = begin + placeFirst + time.Duration(tokens-1)*placeBetween
		heap.Fix(&free, 0)
	}
	return float64(attained) / float64(max(len(arrivals), 1))
}

// slotHeap orders slots by when they are free. It implements heap.Interface.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// vadodara: of the Utility's 13 models first one, then another, then a third is
// flooded with about twice what two servers can answer.
func vadodara(ctx context.Context, o Options) (Figures, error) {
	length := o.length(30 * time.Second)
	p := placeTrial{
		deployment: "vadodara", length: length, base: 2,
		hot: []hot{
			{"bilingual-label", length * 1 / 10, length * 4 / 10, 110},
			{"menu-reader", length * 4 / 10, length * 7 / 10, 110},
			{"gu-label", length * 7 / 10, length, 110},
		},
	}
	return p.figures(ctx, o, "vadodara", "static")
}

// shift: all demand moves from some models to others in a moment.
func shift(ctx context.Context, o Options) (Figures, error) {
	length := o.length(24 * time.Second)
	p := placeTrial{
		deployment: "vadodara", length: length, base: 1,
		hot: []hot{
			{"gu-draft", 0, length / 2, 100},
			{"en-gu-translator", length / 2, length, 100},
		},
	}
	return p.figures(ctx, o, "shift", "static")
}

// vidzeme: demand wanders over the Cooperative's 20 models, each asked for a
// while by one domain's callers; the baseline swaps models as a cache does.
func vidzeme(ctx context.Context, o Options) (Figures, error) {
	length := o.length(30 * time.Second)
	p := placeTrial{deployment: "vidzeme", length: length, base: 1.5}
	names := []string{"panel-condition", "textile-condition", "binding-treatment", "solvent-advice", "assessor-summary"}
	for i, name := range names {
		step := length / time.Duration(len(names))
		p.hot = append(p.hot, hot{name, step * time.Duration(i), step * time.Duration(i+1), 60})
	}
	return p.figures(ctx, o, "vidzeme", "swap")
}
