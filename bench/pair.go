package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// latencies are the figures of a load, ours or the baseline's.
type latencies struct {
	Attainment               float64 `json:"attainment"`
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	FirstP50                 float64 `json:"first_token_p50_ms"`
	FirstP95                 float64 `json:"first_token_p95_ms"`
	FirstP99                 float64 `json:"first_token_p99_ms"`
	GapP50                   float64 `json:"between_tokens_p50_ms"`
	GapP95                   float64 `json:"between_tokens_p95_ms"`
	GapP99                   float64 `json:"between_tokens_p99_ms"`
}

// naiveLatencies are latencies under the baseline's keys.
type naiveLatencies struct {
	Attainment               float64 `json:"naive_attainment"`
	AttainmentPerAccelerator float64 `json:"naive_attainment_per_accelerator"`
	FirstP50                 float64 `json:"naive_first_token_p50_ms"`
	FirstP95                 float64 `json:"naive_first_token_p95_ms"`
	FirstP99                 float64 `json:"naive_first_token_p99_ms"`
	GapP50                   float64 `json:"naive_between_tokens_p50_ms"`
	GapP95                   float64 `json:"naive_between_tokens_p95_ms"`
	GapP99                   float64 `json:"naive_between_tokens_p99_ms"`
}

func newLatencies(l load.Line, accelerators int) latencies {
	return latencies{
		Attainment: l.Attained, AttainmentPerAccelerator: l.Attained / float64(accelerators),
		FirstP50: l.FirstP50, FirstP95: l.FirstP95, FirstP99: l.FirstP99,
		GapP50: l.GapP50, GapP95: l.GapP95, GapP99: l.GapP99,
	}
}

// trial is one deployment under one load.
type trial struct {
	shape    shape
	profiles []wire.Profile
	classes  []load.Class
	length   time.Duration
	// adjust changes the VMs' configuration; setUp the running deployment.
	adjust func(*entry.Config)
	setUp  func(*demo.Deployment)
	// faults runs beside the load and returns how many faults it injected.
	faults func(ctx context.Context, w *demo.Deployment) int
}

// outcome is what came of a trial.
type outcome struct {
	summary  load.Summary
	results  []load.Result
	faults   int
	attempts int64
	world    *demo.Deployment
}

// run runs a trial; baseline turns the simple forms on.
func (t trial) run(ctx context.Context, o Options, baseline bool) (*outcome, error) {
	adjust := func(c *entry.Config) {
		c.Baseline = baseline
		if t.adjust != nil {
			t.adjust(c)
		}
	}
	w, err := t.shape.start(ctx, o, t.profiles, adjust)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if t.setUp != nil {
		t.setUp(w)
	}
	daemons := w.VMs()
	faults := make(chan int, 1)
	go func() {
		if t.faults == nil {
			faults <- 0
			return
		}
		faults <- t.faults(ctx, w)
	}()
	out := &outcome{world: w}
	out.results = w.SendLoad(ctx, t.classes, t.length, o.Seed, nil)
	out.faults = <-faults
	out.summary = w.Summarize(t.classes, out.results)
	for _, d := range daemons {
		out.attempts += d.Metrics().Counter("relay.attempts")
	}
	if o.Out != nil {
		name := "ours"
		if baseline {
			name = "baseline"
		}
		fmt.Fprintf(o.Out, "%s:\n", name)
		if err := out.summary.WriteTable(o.Out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// pair runs a trial with the system and with the baseline.
func (t trial) pair(ctx context.Context, o Options) (ours, baseline *outcome, err error) {
	baseline, err = t.run(ctx, o, true)
	if err != nil {
		return nil, nil, fmt.Errorf("baseline: %w", err)
	}
	ours, err = t.run(ctx, o, false)
	if err != nil {
		return nil, nil, fmt.Errorf("system: %w", err)
	}
	return ours, baseline, nil
}

func (t trial) common(name string, o Options, ours *outcome) Common {
	return Common{
		Experiment: name, Seed: o.Seed, Promises: ours.summary.Promises,
		FaultsInjected: ours.faults, Requests: ours.summary.Total.Sent,
	}
}
