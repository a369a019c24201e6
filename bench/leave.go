package bench

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type leaveReport struct {
	CommonReport
	latencyReport
	NewWorkAfterLeaveMs   float64 `json:"new_work_after_leave_ms"`
	StoppedVMs            int     `json:"stopped_vms"`
	NaiveCutOffInShutdown int     `json:"naive_cut_off_in_shutdown"`
}

const stopTimeout = 30 * time.Second

// leave marks a backend server as draining and stops two VMs in turn under a full
// load of streams. Only the server's document on the platform announces that it is
// draining. The baseline stops its VMs without draining.
func leave(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(10 * time.Second)
	profile := engineProfile("label", 1, 3)
	report := leaveReport{StoppedVMs: 2}
	stopped := make(map[string]bool)
	var leftAt time.Time
	t := trial{
		spec:     deploymentSpec{domains: 2, vmsPerDomain: 2, engines: 4, slots: 64, firstToken: 20 * time.Millisecond, betweenTokens: 5 * time.Millisecond},
		profiles: []wire.Profile{profile},
		classes:  []load.Class{{Name: "label", Profile: profile, Rate: 150, MaxTokens: 200}},
		duration: duration,
		setUp:    setResidentOnAllEngines("label-1"),
	}
	t.injectFaults = func(ctx context.Context, deployment *demo.Deployment) int {
		pause.For(ctx, duration/4)
		doc := deployment.Servers()[0]
		doc.Leaving = true
		leftAt = time.Now()
		_ = deployment.SetServer(doc)
		for _, name := range []string{"domain-1-1", "domain-2-1"} {
			pause.For(ctx, duration/4)
			stopped[deployment.VMs()[name].Address()] = true
			stop, cancel := context.WithTimeout(ctx, stopTimeout)
			_ = deployment.StopVM(stop, name)
			cancel()
		}
		return 3
	}
	system, err := t.run(ctx, o, false)
	if err != nil {
		return nil, err
	}
	report.CommonReport = t.commonReport("leave", o, system)
	report.latencyReport = newLatencyReport(system.summary.Total, 4)
	report.CutOffInShutdown = countCutOff(system.results, stopped)
	report.NewWorkAfterLeaveMs = float64(system.deployment.Engine("llm-1").LastRunStart().Sub(leftAt)) / float64(time.Millisecond)
	clear(stopped)
	t.injectFaults = func(ctx context.Context, deployment *demo.Deployment) int {
		for _, name := range []string{"domain-1-1", "domain-2-1"} {
			pause.For(ctx, duration/3)
			stopped[deployment.VMs()[name].Address()] = true
			deployment.KillVM(name)
		}
		return 2
	}
	baseline, err := t.run(ctx, o, true)
	if err != nil {
		return nil, err
	}
	report.NaiveCutOffInShutdown = countCutOff(baseline.results, stopped)
	return report, report.violationError()
}

func setResidentOnAllEngines(model string) func(*demo.Deployment) {
	return func(deployment *demo.Deployment) {
		for _, doc := range deployment.Servers() {
			if e := deployment.Engine(doc.Name); e != nil {
				e.SetResident(model, "", 1, 1<<30)
			}
		}
		time.Sleep(time.Second) // until the VMs have polled the engines
	}
}

// countCutOff counts the requests whose response was cut off at a stopped VM.
func countCutOff(results []load.Result, stopped map[string]bool) int {
	n := 0
	for _, r := range results {
		if stopped[r.Target] && (r.Verdict == load.VerdictIncomplete || r.Verdict == load.VerdictDisconnected) {
			n++
		}
	}
	return n
}
