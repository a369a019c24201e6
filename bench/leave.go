package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type leaveFigures struct {
	Common
	latencies
	NewWorkAfterLeave float64 `json:"new_work_after_leave_ms"`
	StoppedVMs        int     `json:"stopped_vms"`
	NaiveCutOff       int     `json:"naive_cut_off_in_shutdown"`
}

const stopTimeout = 30 * time.Second

// leave: under a full load of streams a backend server begins to leave, which
// the platform's entry alone tells, and two VMs are stopped in turn. The
// baseline ends its VMs without waiting.
func leave(ctx context.Context, o Options) (Figures, error) {
	length := o.length(10 * time.Second)
	profile := engineProfile("label", 1, 3)
	f := leaveFigures{StoppedVMs: 2}
	stopped := make(map[string]bool)
	var leftAt time.Time
	t := trial{
		shape:    shape{domains: 2, vmsPerDomain: 2, engines: 4, slots: 64, first: 20 * time.Millisecond, between: 5 * time.Millisecond},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{{Name: "label", Profile: profile, Rate: 150, MaxTokens: 200}},
		length:   length,
		setUp:    loadEverywhere("label-1"),
	}
	t.faults = func(ctx context.Context, w *demo.Deployment) int {
		pause.For(ctx, length/4)
		doc := w.Servers()[0]
		doc.Leaving = true
		leftAt = time.Now()
		_ = w.SetServer(doc)
		for _, name := range []string{"domain-1-1", "domain-2-1"} {
			pause.For(ctx, length/4)
			stopped[w.VMs()[name].Address()] = true
			stop, cancel := context.WithTimeout(ctx, stopTimeout)
			_ = w.StopVM(stop, name)
			cancel()
		}
		return 3
	}
	ours, err := t.run(ctx, o, false)
	if err != nil {
		return nil, err
	}
	f.Common = t.common("leave", o, ours)
	f.latencies = newLatencies(ours.summary.Total, 4)
	f.CutOffInShutdown = cutOff(ours.results, stopped)
	f.NewWorkAfterLeave = float64(ours.world.Engine("llm-1").LastStart().Sub(leftAt)) / float64(time.Millisecond)
	clear(stopped)
	t.faults = func(ctx context.Context, w *demo.Deployment) int {
		for _, name := range []string{"domain-1-1", "domain-2-1"} {
			pause.For(ctx, length/3)
			stopped[w.VMs()[name].Address()] = true
			w.KillVM(name)
		}
		return 2
	}
	baseline, err := t.run(ctx, o, true)
	if err != nil {
		return nil, err
	}
	f.NaiveCutOff = cutOff(baseline.results, stopped)
	return f, f.broken()
}

// loadEverywhere makes a model resident on every engine.
func loadEverywhere(model string) func(*demo.Deployment) {
	return func(w *demo.Deployment) {
		for _, doc := range w.Servers() {
			if e := w.Engine(doc.Name); e != nil {
				e.SetResident(model, "", 1, 1<<30)
			}
		}
		time.Sleep(time.Second) // until the VMs have polled it
	}
}

// cutOff counts the requests whose answer broke off at a VM that was stopped.
func cutOff(results []load.Result, stopped map[string]bool) int {
	n := 0
	for _, r := range results {
		if stopped[r.Target] && (r.End == load.EndLost || r.End == load.EndBroken) {
			n++
		}
	}
	return n
}
