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

// placementReport compares placements under one load.
type placementReport struct {
	CommonReport
	latencyReport
	Moves               int     `json:"moves"`
	BoundPerAccelerator float64 `json:"bound_attainment_per_accelerator"`
	NaiveAttainment     float64 `json:"naive_attainment"`
	NaivePerAccelerator float64 `json:"naive_attainment_per_accelerator"`
	NaiveMoves          int     `json:"naive_moves"`
	ShareOfBound        float64 `json:"share_of_bound"`
}

// The engines of the placement experiments are slow and small. A few hundred
// requests per second saturate them, so the machine that runs the experiment does
// not become the bottleneck.
const (
	placementSlots         = 8
	placementFirstToken    = 40 * time.Millisecond
	placementBetweenTokens = 12 * time.Millisecond
	placementMaxTokens     = 40
	placementSettleTime    = 2 * time.Second
)

// demandPeak is a period during which the demand for a model is more than ten times
// its base rate.
type demandPeak struct {
	model    string
	from, to time.Duration
	rate     float64
}

// placementTrial is an example deployment under demand that shifts between models.
type placementTrial struct {
	deployment string
	duration   time.Duration
	baseRate   float64
	peaks      []demandPeak
	// attainmentWeight replaces the attainment weight of the profiles if it is not 0.
	attainmentWeight float64
}

// classes returns a class for each model and for each of its demand peaks.
func (p placementTrial) classes(profiles []wire.Profile) []load.Class {
	var classes []load.Class
	for _, doc := range profiles {
		for _, m := range doc.Models {
			class := load.Class{Name: m.Name, Profile: withOnlyModel(doc, m), Rate: p.baseRate, MaxTokens: placementMaxTokens}
			for _, peak := range p.peaks {
				if peak.model != m.Name {
					continue
				}
				burst := class
				burst.Name += "-burst"
				burst.Rate, burst.BurstFactor, burst.BurstStart, burst.BurstEnd = peak.rate/1000, 1000, peak.from, peak.to
				classes = append(classes, burst)
			}
			classes = append(classes, class)
		}
	}
	return classes
}

// withOnlyModel returns the profile with m as its only model, for a load class.
func withOnlyModel(doc wire.Profile, m wire.Model) wire.Profile {
	doc.Models = []wire.Model{m}
	return doc
}

// placementResult is the result of a trial under one placement.
type placementResult struct {
	summary load.Summary
	moves   int
	results []load.Result
}

// run runs the trial under the given placement.
func (p placementTrial) run(ctx context.Context, o Options, placement string) (*placementResult, error) {
	settings, err := sample.Settings(p.deployment)
	if err != nil {
		return nil, err
	}
	profiles, err := p.profiles()
	if err != nil {
		return nil, err
	}
	deployment, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: profiles, MaxVMsPerDomain: 1, Preload: true, PreloadReplicas: 2, Seed: o.Seed, Log: zerolog.Nop(),
		AdjustVM: func(c *entry.Config) { c.Placement, c.CallersByKey = placement, nil },
		AdjustEngine: func(e *stand.Engine) {
			e.Slots, e.FirstTokenDelay, e.TokenInterval = placementSlots, placementFirstToken, placementBetweenTokens
		},
	})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	defer deployment.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.WaitReady(ready); err != nil {
		return nil, err
	}
	pause.For(ctx, placementSettleTime)
	before := deployment.LoadsAndUnloads()
	stopSampling := countUnreachableModels(deployment)
	classes := p.classes(profiles)
	results := deployment.SendLoad(ctx, classes, p.duration, o.Seed, nil)
	result := &placementResult{results: results, moves: deployment.LoadsAndUnloads() - before}
	unreachable := stopSampling()
	result.summary = deployment.Summarize(classes, results)
	result.summary.Violations.UnreachableModels += unreachable
	if o.Out != nil {
		fmt.Fprintf(o.Out, "placement %q: attainment %.4f, moves %d\n", placement, result.summary.Total.Attainment, result.moves)
		if err := result.summary.WriteTable(o.Out); err != nil {
			return nil, err
		}
		for _, s := range deployment.Servers() {
			if e := deployment.Engine(s.Name); e != nil {
				fmt.Fprintf(o.Out, "%s: %d models\n", s.Name, e.ModelCount())
			}
		}
	}
	return result, nil
}

// profiles returns the engine profiles of the deployment, with limits high enough
// to saturate the engines.
func (p placementTrial) profiles() ([]wire.Profile, error) {
	all, err := sample.Profiles(p.deployment)
	if err != nil {
		return nil, err
	}
	var engines []wire.Profile
	for _, doc := range all {
		if doc.Backend != wire.ProfileBackendEngine {
			continue
		}
		if p.attainmentWeight != 0 {
			doc.AttainmentWeight = p.attainmentWeight
		}
		// Allowing two runs avoids claims, which are not measured here.
		doc.RunsAllowed = max(doc.RunsAllowed, 2)
		doc.ConcurrencyLimit = 1000
		engines = append(engines, doc)
	}
	return engines, nil
}

// countUnreachableModels samples the number of models without a replica. The returned
// function stops sampling and returns the sum.
func countUnreachableModels(deployment *demo.Deployment) func() int {
	return sampleSum(50*time.Millisecond, func() int { return len(deployment.UnreachableModels()) })
}

// compare runs the trial under the planner and under a baseline placement.
func (p placementTrial) compare(ctx context.Context, o Options, name, baseline string) (placementReport, error) {
	naive, err := p.run(ctx, o, baseline)
	if err != nil {
		return placementReport{}, fmt.Errorf("baseline: %w", err)
	}
	planned, err := p.run(ctx, o, "")
	if err != nil {
		return placementReport{}, fmt.Errorf("planner: %w", err)
	}
	settings, err := sample.Settings(p.deployment)
	if err != nil {
		return placementReport{}, err
	}
	engines := len(settings.Pools()[0].Servers(settings.FailureDomains()))
	profiles, err := p.profiles()
	if err != nil {
		return placementReport{}, err
	}
	bound := pooledBound(load.Schedule(o.Seed, p.duration, p.classes(profiles)), p.classes(profiles), engines*placementSlots)
	report := placementReport{
		CommonReport: CommonReport{
			Experiment: name, Seed: o.Seed, Violations: planned.summary.Violations,
			FaultsInjected: len(p.peaks), Requests: planned.summary.Total.Sent,
		},
		latencyReport: newLatencyReport(planned.summary.Total, engines),
		Moves:         planned.moves, BoundPerAccelerator: bound / float64(engines),
		NaiveAttainment: naive.summary.Total.Attainment, NaivePerAccelerator: naive.summary.Total.Attainment / float64(engines),
		NaiveMoves: naive.moves,
	}
	report.ShareOfBound = report.AttainmentPerAccelerator / report.BoundPerAccelerator
	return report, report.violationError()
}

// pooledBound returns the attainment with full knowledge, as a bound for placements.
// It treats the slots of all servers as one pool in which every model is loaded. Each
// request starts in the slot that is free first if it still meets its target, and is
// dropped otherwise. No placement can have a slot free earlier.
func pooledBound(arrivals []load.Arrival, classes []load.Class, slots int) float64 {
	freeAt := make(slotHeap, slots)
	attained := 0
	for _, a := range arrivals {
		target := time.Duration(classes[a.Class].Profile.FirstTokenMs) * time.Millisecond
		startAt := max(a.Offset, freeAt[0])
		if startAt+placementFirstToken > a.Offset+target {
			continue
		}
		attained++
		tokens := len(load.ExpectedTokens(classes[a.Class], a))
		freeAt[0] = startAt + placementFirstToken + time.Duration(tokens-1)*placementBetweenTokens
		heap.Fix(&freeAt, 0)
	}
	return float64(attained) / float64(max(len(arrivals), 1))
}

// slotHeap orders slots by the time at which they become free. It implements
// heap.Interface.
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

// vadodara floods three of the 13 models of the deployment in turn with about twice
// what two servers can serve.
func vadodara(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(30 * time.Second)
	p := placementTrial{
		deployment: "vadodara", duration: duration, baseRate: 2,
		peaks: []demandPeak{
			{"bilingual-label", duration * 1 / 10, duration * 4 / 10, 110},
			{"menu-reader", duration * 4 / 10, duration * 7 / 10, 110},
			{"gu-label", duration * 7 / 10, duration, 110},
		},
	}
	return p.compare(ctx, o, "vadodara", "static")
}

// shift moves all demand from some models to others at once.
func shift(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(24 * time.Second)
	p := placementTrial{
		deployment: "vadodara", duration: duration, baseRate: 1,
		peaks: []demandPeak{
			{"gu-draft", 0, duration / 2, 100},
			{"en-gu-translator", duration / 2, duration, 100},
		},
	}
	return p.compare(ctx, o, "shift", "static")
}

// vidzeme shifts demand among the 20 models of the deployment; each is requested
// for a while by the callers of one failure domain. The baseline swaps models like
// a cache.
func vidzeme(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(30 * time.Second)
	p := placementTrial{deployment: "vidzeme", duration: duration, baseRate: 1.5}
	names := []string{"panel-condition", "textile-condition", "binding-treatment", "solvent-advice", "assessor-summary"}
	for i, name := range names {
		step := duration / time.Duration(len(names))
		p.peaks = append(p.peaks, demandPeak{name, step * time.Duration(i), step * time.Duration(i+1), 60})
	}
	return p.compare(ctx, o, "vidzeme", "swap")
}
