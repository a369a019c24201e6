package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

type availabilityReport struct {
	CommonReport
	Attainment       float64 `json:"attainment"`
	OnceAttainment   float64 `json:"once_attainment"`
	NotRun           int     `json:"not_run"`
	Unknown          int     `json:"unknown"`
	ReplacedVMs      int     `json:"replaced_vms"`
	FreshVMReadyMs   float64 `json:"fresh_vm_ready_ms"`
	ConvergedAfterMs float64 `json:"converged_after_ms"`
}

// newAvailabilityTrial returns a trial with three failure domains and requests to
// both engines and services.
func newAvailabilityTrial(duration time.Duration) trial {
	draft, desk := engineProfile("draft", 2, 3), serviceProfile("desk", 1)
	return trial{
		spec: deploymentSpec{
			domains: 3, vmsPerDomain: 2, engines: 6, services: 3, slots: 32, firstToken: 10 * time.Millisecond, betweenTokens: 3 * time.Millisecond,
		},
		profiles: []wire.Profile{draft, desk},
		classes: []load.Class{
			{Name: "draft", Profile: draft, Rate: 80, MaxTokens: 30},
			{Name: "desk", Profile: desk, Kind: load.KindService, Rate: 40, RepeatShare: 0.1},
		},
		duration: duration,
		setUp: func(deployment *demo.Deployment) {
			for _, doc := range deployment.Servers() {
				if e := deployment.Engine(doc.Name); e != nil {
					e.SetResident("draft-1", "", 1, 1<<30)
					e.SetResident("draft-2", "", 1, 1<<30)
				}
			}
			time.Sleep(2 * time.Second)
		},
	}
}

// runAvailability runs the trial with faults and fills in the report of an experiment. injectFaults is like
// that of trial; an error that it returns fails the experiment after the load.
func (t trial) runAvailability(ctx context.Context, o Options, name string, report *availabilityReport,
	injectFaults func(ctx context.Context, deployment *demo.Deployment) (int, error),
) error {
	var faultErr error
	t.injectFaults = func(ctx context.Context, deployment *demo.Deployment) (injected int) {
		injected, faultErr = injectFaults(ctx, deployment)
		return injected
	}
	result, err := t.run(ctx, o, false)
	if err != nil {
		return err
	}
	report.CommonReport = t.commonReport(name, o, result)
	report.Attainment, report.OnceAttainment = result.summary.Total.Attainment, result.summary.Classes[1].Attainment
	report.NotRun, report.Unknown = result.summary.Total.NotRun, result.summary.Total.Unknown
	return faultErr
}

// countVersionDecreases samples the version of a profile on every VM. The returned
// function stops sampling and returns how often a version decreased.
func countVersionDecreases(deployment *demo.Deployment, profile string) func() int {
	lastVersions := make(map[*entry.Daemon]int)
	return sampleSum(10*time.Millisecond, func() int {
		decreases := 0
		for _, d := range deployment.VMs() {
			v := d.ProfileVersion(profile)
			if v < lastVersions[d] {
				decreases++
			}
			lastVersions[d] = v
		}
		return decreases
	})
}

// outage makes the platform unavailable for most of the run. A VM is replaced in
// the meantime by a fresh one, which can get its configuration only from its peers.
func outage(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(16 * time.Second)
	t := newAvailabilityTrial(duration)
	var report availabilityReport
	var readyAfter time.Duration
	err := t.runAvailability(ctx, o, "outage", &report, func(ctx context.Context, deployment *demo.Deployment) (int, error) {
		pause.For(ctx, duration/8)
		deployment.Platform.SetFaults(stand.PlatformFaults{Outage: true})
		pause.For(ctx, duration/4)
		var err error
		readyAfter, err = replaceVM(ctx, deployment, "domain-1-1")
		pause.For(ctx, duration/4)
		deployment.Platform.SetFaults(stand.PlatformFaults{})
		return 2, err
	})
	if err != nil {
		return nil, err
	}
	report.ReplacedVMs, report.FreshVMReadyMs = 1, float64(readyAfter.Milliseconds())
	return report, report.violationError()
}

// replaceVM stops a VM gracefully and starts a fresh one with the same name. It
// returns the time until the new VM is ready.
func replaceVM(ctx context.Context, deployment *demo.Deployment, name string) (time.Duration, error) {
	stop, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := deployment.StopVM(stop, name); err != nil {
		return 0, fmt.Errorf("stop %s: %w", name, err)
	}
	start := time.Now()
	d, err := deployment.RestartVM(ctx, name)
	if err != nil {
		return 0, err
	}
	if !waitUntil(ctx, d.Ready) {
		return 0, fmt.Errorf("%s did not become ready", name)
	}
	return time.Since(start), nil
}

// rolling replaces all VMs one after the other under load.
func rolling(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(24 * time.Second)
	t := newAvailabilityTrial(duration)
	var report availabilityReport
	var worstReady time.Duration
	names := []string{"domain-1-1", "domain-2-1", "domain-3-1", "domain-1-2", "domain-2-2", "domain-3-2"}
	err := t.runAvailability(ctx, o, "rolling", &report, func(ctx context.Context, deployment *demo.Deployment) (int, error) {
		for _, name := range names {
			pause.For(ctx, duration/16)
			ready, err := replaceVM(ctx, deployment, name)
			if err != nil {
				return 0, err
			}
			worstReady = max(worstReady, ready)
		}
		return len(names), nil
	})
	if err != nil {
		return nil, err
	}
	report.ReplacedVMs, report.FreshVMReadyMs = len(names), float64(worstReady.Milliseconds())
	return report, report.violationError()
}

// partition disconnects a failure domain from the others and from the platform,
// first one way and then both, while a profile changes. Then it reconnects the
// links.
func partition(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(24 * time.Second)
	t := newAvailabilityTrial(duration)
	var report availabilityReport
	var convergedAfter time.Duration
	reverts := 0
	err := t.runAvailability(ctx, o, "partition", &report, func(ctx context.Context, deployment *demo.Deployment) (int, error) {
		stop := countVersionDecreases(deployment, "draft")
		defer func() { reverts = stop() }()
		inside, outside := deployment.SplitHosts("domain-3")
		pause.For(ctx, duration/8)
		setPartition(deployment, inside, outside, true, false)
		pause.For(ctx, duration/8)
		setPartition(deployment, inside, outside, true, true)
		doc := t.profiles[0]
		doc.Priority = 7
		err := deployment.ApplyProfile(doc)
		pause.For(ctx, duration/4)
		setPartition(deployment, inside, outside, false, false)
		obj, _ := deployment.Platform.Get("profiles", "draft")
		start := time.Now()
		if !waitUntil(ctx, func() bool { return countActive(deployment, "draft", obj.Version) == len(deployment.VMs()) }) {
			err = fmt.Errorf("the profile change is not active on all VMs after the partition")
		}
		convergedAfter = time.Since(start)
		return 2 * len(inside) * len(outside), err
	})
	if err != nil {
		return nil, err
	}
	report.ConfigReverts = reverts
	report.ConvergedAfterMs = float64(convergedAfter.Milliseconds())
	return report, report.violationError()
}

// setPartition blocks or restores the paths from the hosts inside a failure domain to those outside, and, if
// bothWays is set, blocks those in the other direction too. Without bothWays it restores these.
func setPartition(deployment *demo.Deployment, inside, outside []string, blocked, bothWays bool) {
	for _, a := range inside {
		for _, b := range outside {
			deployment.SetPathBlocked(a, b, blocked)
			deployment.SetPathBlocked(b, a, blocked && bothWays)
		}
	}
}
