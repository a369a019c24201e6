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

// latencyReport contains the attainment and latencies of a load.
type latencyReport struct {
	Attainment               float64 `json:"attainment"`
	AttainmentPerAccelerator float64 `json:"attainment_per_accelerator"`
	FirstP50                 float64 `json:"first_token_p50_ms"`
	FirstP95                 float64 `json:"first_token_p95_ms"`
	FirstP99                 float64 `json:"first_token_p99_ms"`
	GapP50                   float64 `json:"between_tokens_p50_ms"`
	GapP95                   float64 `json:"between_tokens_p95_ms"`
	GapP99                   float64 `json:"between_tokens_p99_ms"`
}

// naiveLatencyReport is a latencyReport with the JSON keys of the baseline.
type naiveLatencyReport struct {
	Attainment               float64 `json:"naive_attainment"`
	AttainmentPerAccelerator float64 `json:"naive_attainment_per_accelerator"`
	FirstP50                 float64 `json:"naive_first_token_p50_ms"`
	FirstP95                 float64 `json:"naive_first_token_p95_ms"`
	FirstP99                 float64 `json:"naive_first_token_p99_ms"`
	GapP50                   float64 `json:"naive_between_tokens_p50_ms"`
	GapP95                   float64 `json:"naive_between_tokens_p95_ms"`
	GapP99                   float64 `json:"naive_between_tokens_p99_ms"`
}

func newLatencyReport(summary load.ClassSummary, accelerators int) latencyReport {
	return latencyReport{
		Attainment: summary.Attainment, AttainmentPerAccelerator: summary.Attainment / float64(accelerators),
		FirstP50: summary.FirstTokenP50, FirstP95: summary.FirstTokenP95, FirstP99: summary.FirstTokenP99,
		GapP50: summary.TokenIntervalP50, GapP95: summary.TokenIntervalP95, GapP99: summary.TokenIntervalP99,
	}
}

// trial is a deployment under a load.
type trial struct {
	spec     deploymentSpec
	profiles []wire.Profile
	classes  []load.Class
	duration time.Duration
	// adjustConfig changes the configuration of the VMs before they start. setUp
	// prepares the running deployment before the load.
	adjustConfig func(*entry.Config)
	setUp        func(*demo.Deployment)
	// injectFaults runs concurrently with the load and returns the number of
	// injected faults.
	injectFaults func(ctx context.Context, w *demo.Deployment) int
}

// trialResult is the result of a trial.
type trialResult struct {
	summary    load.Summary
	results    []load.Result
	faults     int
	attempts   int64
	deployment *demo.Deployment
}

// run runs the trial. If baseline is set, the VMs run in the baseline mode.
func (t trial) run(ctx context.Context, o Options, baseline bool) (*trialResult, error) {
	adjustConfig := func(c *entry.Config) {
		c.Baseline = baseline
		if t.adjustConfig != nil {
			t.adjustConfig(c)
		}
	}
	deployment, err := t.spec.start(ctx, o, t.profiles, adjustConfig)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	if t.setUp != nil {
		t.setUp(deployment)
	}
	daemons := deployment.VMs()
	faults := make(chan int, 1)
	go func() {
		if t.injectFaults == nil {
			faults <- 0
			return
		}
		faults <- t.injectFaults(ctx, deployment)
	}()
	result := &trialResult{deployment: deployment}
	result.results = deployment.SendLoad(ctx, t.classes, t.duration, o.Seed, nil)
	result.faults = <-faults
	result.summary = deployment.Summarize(t.classes, result.results)
	for _, d := range daemons {
		result.attempts += d.Metrics().CounterValue("relay.attempts")
	}
	if o.Out != nil {
		name := "ours"
		if baseline {
			name = "baseline"
		}
		fmt.Fprintf(o.Out, "%s:\n", name)
		if err := result.summary.WriteTable(o.Out); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// runPair runs the trial with the baseline and with the system.
func (t trial) runPair(ctx context.Context, o Options) (system, baseline *trialResult, err error) {
	baseline, err = t.run(ctx, o, true)
	if err != nil {
		return nil, nil, fmt.Errorf("baseline: %w", err)
	}
	system, err = t.run(ctx, o, false)
	if err != nil {
		return nil, nil, fmt.Errorf("system: %w", err)
	}
	return system, baseline, nil
}

func (t trial) commonReport(name string, o Options, system *trialResult) CommonReport {
	return CommonReport{
		Experiment: name, Seed: o.Seed, Violations: system.summary.Violations,
		FaultsInjected: system.faults, Requests: system.summary.Total.Sent,
	}
}
