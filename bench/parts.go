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

type partsFigures struct {
	Common
	Attainment     float64 `json:"attainment"`
	OnceAttainment float64 `json:"once_attainment"`
	NotRun         int     `json:"not_run"`
	Unknown        int     `json:"unknown"`
	ReplacedVMs    int     `json:"replaced_vms"`
	ReadyMs        float64 `json:"fresh_vm_ready_ms"`
	ConvergeMs     float64 `json:"converged_after_ms"`
}

// partsTrial is a deployment of three domains with both kinds of request.
func partsTrial(length time.Duration) trial {
	draft, desk := engineProfile("draft", 2, 3), serviceProfile("desk", 1)
	return trial{
		shape: shape{
			domains: 3, vmsPerDomain: 2, engines: 6, services: 3, slots: 32, first: 10 * time.Millisecond, between: 3 * time.Millisecond,
		},
		profiles: []wire.Profile{draft, desk},
		classes: []load.Class{
			{Name: "draft", Profile: draft, Rate: 80, MaxTokens: 30},
			{Name: "desk", Profile: desk, Kind: load.KindService, Rate: 40, Repeat: 0.1},
		},
		length: length,
		setUp: func(w *demo.Deployment) {
			for _, doc := range w.Servers() {
				if e := w.Engine(doc.Name); e != nil {
					e.SetResident("draft-1", "", 1, 1<<30)
					e.SetResident("draft-2", "", 1, 1<<30)
				}
			}
			time.Sleep(2 * time.Second)
		},
	}
}

func (t trial) parts(ctx context.Context, o Options, name string, f *partsFigures) error {
	out, err := t.run(ctx, o, false)
	if err != nil {
		return err
	}
	f.Common = t.common(name, o, out)
	f.Attainment, f.OnceAttainment = out.summary.Total.Attained, out.summary.Classes[1].Attained
	f.NotRun, f.Unknown = out.summary.Total.NotRun, out.summary.Total.Unknown
	return nil
}

// watchVersions samples the version of a profile at every VM. The returned
// function ends it and tells how often a version fell.
func watchVersions(w *demo.Deployment, profile string) func() int {
	seen := make(map[*entry.Daemon]int)
	return sum(10*time.Millisecond, func() int {
		fell := 0
		for _, d := range w.VMs() {
			v := d.ProfileVersion(profile)
			if v < seen[d] {
				fell++
			}
			seen[d] = v
		}
		return fell
	})
}

// outage: the platform is away for most of the run; a VM is replaced meanwhile
// by a fresh one, which has only its peers to learn from.
func outage(ctx context.Context, o Options) (Figures, error) {
	length := o.length(16 * time.Second)
	t := partsTrial(length)
	var f partsFigures
	var ready time.Duration
	var failed error
	t.faults = func(ctx context.Context, w *demo.Deployment) int {
		pause.For(ctx, length/8)
		w.Platform.SetFaults(stand.PlatformFaults{Outage: true})
		pause.For(ctx, length/4)
		ready, failed = replaceVM(ctx, w, "domain-1-1")
		pause.For(ctx, length/4)
		w.Platform.SetFaults(stand.PlatformFaults{})
		return 2
	}
	if err := t.parts(ctx, o, "outage", &f); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, failed
	}
	f.ReplacedVMs, f.ReadyMs = 1, float64(ready.Milliseconds())
	return f, f.broken()
}

// replaceVM stops a VM in peace and starts a fresh one under its name; it
// returns the time until that is ready.
func replaceVM(ctx context.Context, w *demo.Deployment, name string) (time.Duration, error) {
	stop, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := w.StopVM(stop, name); err != nil {
		return 0, fmt.Errorf("stop %s: %w", name, err)
	}
	began := time.Now()
	d, err := w.RestartVM(ctx, name)
	if err != nil {
		return 0, err
	}
	if !await(ctx, d.Ready) {
		return 0, fmt.Errorf("%s did not get ready", name)
	}
	return time.Since(began), nil
}

// rolling: all VMs are replaced one after the other under load.
func rolling(ctx context.Context, o Options) (Figures, error) {
	length := o.length(24 * time.Second)
	t := partsTrial(length)
	var f partsFigures
	var worst time.Duration
	var failed error
	names := []string{"domain-1-1", "domain-2-1", "domain-3-1", "domain-1-2", "domain-2-2", "domain-3-2"}
	t.faults = func(ctx context.Context, w *demo.Deployment) int {
		for _, name := range names {
			pause.For(ctx, length/16)
			ready, err := replaceVM(ctx, w, name)
			if err != nil {
				failed = err
				return 0
			}
			worst = max(worst, ready)
		}
		return len(names)
	}
	if err := t.parts(ctx, o, "rolling", &f); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, failed
	}
	f.ReplacedVMs, f.ReadyMs = len(names), float64(worst.Milliseconds())
	return f, f.broken()
}

// partition: a failure domain is cut off from the others and from the platform,
// first one way and then both, while a profile changes; then the links heal.
func partition(ctx context.Context, o Options) (Figures, error) {
	length := o.length(24 * time.Second)
	t := partsTrial(length)
	var f partsFigures
	var converged time.Duration
	var failed error
	reverts := 0
	t.faults = func(ctx context.Context, w *demo.Deployment) int {
		stop := watchVersions(w, "draft")
		defer func() { reverts = stop() }()
		inside, outside := w.SplitHosts("domain-3")
		cut := func(on, both bool) {
			for _, a := range inside {
				for _, b := range outside {
					w.SetPathBlocked(a, b, on)
					w.SetPathBlocked(b, a, on && both)
				}
			}
		}
		pause.For(ctx, length/8)
		cut(true, false)
		pause.For(ctx, length/8)
		cut(true, true)
		doc := t.profiles[0]
		doc.Priority = 7
		failed = w.ApplyProfile(doc)
		pause.For(ctx, length/4)
		cut(false, false)
		obj, _ := w.Platform.Get("profiles", "draft")
		began := time.Now()
		if !await(ctx, func() bool { return inForce(w, "draft", obj.Version) == len(w.VMs()) }) {
			failed = fmt.Errorf("the change is not in force everywhere after the partition")
		}
		converged = time.Since(began)
		return 2 * len(inside) * len(outside)
	}
	if err := t.parts(ctx, o, "partition", &f); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, failed
	}
	f.ConfigReverts = reverts
	f.ConvergeMs = float64(converged.Milliseconds())
	return f, f.broken()
}
