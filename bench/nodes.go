package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// nodeFigures are the cost of control at one size.
type nodeFigures struct {
	Nodes              int     `json:"nodes"`
	CPUPercent         float64 `json:"cpu_percent_of_core"`
	ResidentMB         float64 `json:"resident_mb"`
	BytesPerSecond     float64 `json:"bytes_per_second"`
	StoreCallsPerSec   float64 `json:"store_calls_per_second"`
	InForceP50         float64 `json:"in_force_p50_ms"`
	InForceP99         float64 `json:"in_force_p99_ms"`
	UnheardByOneAnyone int     `json:"pairs_not_alive"`
}

type controlFigures struct {
	Common
	nodeFigures
	Sizes []nodeFigures `json:"sizes"`
}

const (
	nodesPerDomain = 26
	controlSettle  = 20 * time.Second
	controlMeasure = 10 * time.Second
	spreadChanges  = 10
	spreadLimit    = 30 * time.Second
)

var nodeSizes = []int{10, 30, 100, 390}

// fleetShape is a deployment of n VMs without load, in domains of 26.
func fleetShape(n int) shape {
	domains := (n + nodesPerDomain - 1) / nodesPerDomain
	return shape{
		domains: domains, vmsPerDomain: (n + domains - 1) / domains, engines: 1, slots: 1, first: time.Millisecond, between: time.Millisecond,
	}
}

// startFleet runs n VMs with the profiles of the two-year size in force.
func startFleet(ctx context.Context, o Options, n int) (*demo.Deployment, error) {
	settings, err := fleetShape(n).settings()
	if err != nil {
		return nil, err
	}
	w, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: fleetProfiles(), Preload: true, Seed: o.Seed, MaxVMs: n,
		AdjustVM: func(c *entry.Config) { c.Seeds = nil },
	})
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for len(w.ReadyAddresses()) < n {
		if ready.Err() != nil {
			w.Close()
			return nil, fmt.Errorf("%d of %d VMs got ready", len(w.ReadyAddresses()), n)
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	return w, nil
}

const fleetProfileCount = 30

func fleetProfiles() []wire.Profile {
	var docs []wire.Profile
	for i := range fleetProfileCount {
		docs = append(docs, serviceProfile(fmt.Sprintf("class-%d", i+1), 2))
	}
	return docs
}

// control runs the control part of growing fleets, each VM a daemon with its
// links, in one process, and measures what it costs a VM.
func control(ctx context.Context, o Options) (Figures, error) {
	f := controlFigures{Common: Common{Experiment: "control", Seed: o.Seed}}
	for _, n := range nodeSizes {
		figures, err := measureFleet(ctx, o, n)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(o.Out, "%+v\n", figures)
		f.Sizes = append(f.Sizes, figures)
		f.nodeFigures = figures
	}
	f.FaultsInjected = len(nodeSizes) // a VM of each fleet dies
	return f, nil
}

func measureFleet(ctx context.Context, o Options, n int) (nodeFigures, error) {
	w, err := startFleet(ctx, o, n)
	if err != nil {
		return nodeFigures{}, err
	}
	defer w.Close()
	pause.For(ctx, controlSettle)
	began, cpu, bytes, calls := time.Now(), cpuTime(), w.PeerBytes(), storeCalls(w)
	pause.For(ctx, controlMeasure)
	seconds := time.Since(began).Seconds()
	f := nodeFigures{
		Nodes: n, CPUPercent: (cpuTime() - cpu).Seconds() / seconds / float64(n) * 100,
		ResidentMB:       float64(residentBytes()) / (1 << 20) / float64(n),
		BytesPerSecond:   float64(w.PeerBytes()-bytes) / seconds / float64(n),
		StoreCallsPerSec: float64(storeCalls(w)-calls)/seconds + float64(w.Platform.Watching()),
	}
	for _, d := range w.VMs() {
		f.UnheardByOneAnyone += n - len(d.LiveNodes())
	}
	h, err := spreadOver(ctx, w, n)
	if err != nil {
		return f, err
	}
	f.InForceP50, f.InForceP99 = quantileMs(h, 50), quantileMs(h, 99)
	return f, nil
}

func storeCalls(w *demo.Deployment) int64 {
	c := w.Platform.Counts()
	return c.Reads + c.Writes
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident memory of the process.
func residentBytes() int {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// spreadOver changes a profile again and again and returns the times until the
// change is in force at the last VM.
func spreadOver(ctx context.Context, w *demo.Deployment, n int) (*hdrhistogram.Histogram, error) {
	h := newMicros()
	doc := fleetProfiles()[0]
	for i := range spreadChanges {
		doc.Priority = i % 10
		began := time.Now()
		if err := w.ApplyProfile(doc); err != nil {
			return nil, err
		}
		obj, _ := w.Platform.Get("profiles", doc.Name)
		for inForce(w, doc.Name, obj.Version) < n {
			if time.Since(began) > spreadLimit {
				return nil, fmt.Errorf("a change is in force at %d of %d VMs after %v", inForce(w, doc.Name, obj.Version), n, spreadLimit)
			}
			pause.For(ctx, 2*time.Millisecond)
		}
		_ = h.RecordValue(time.Since(began).Microseconds())
	}
	return h, nil
}

func inForce(w *demo.Deployment, profile string, version int) int {
	n := 0
	for _, d := range w.VMs() {
		if d.ProfileVersion(profile) >= version {
			n++
		}
	}
	return n
}

type spreadFigures struct {
	Common
	Nodes      int     `json:"nodes"`
	InForceP50 float64 `json:"in_force_p50_ms"`
	InForceP99 float64 `json:"in_force_p99_ms"`
}

// spread measures the time until a change is in force everywhere, while a
// failure domain can not reach the platform.
func spread(ctx context.Context, o Options) (Figures, error) {
	const n = 100
	w, err := startFleet(ctx, o, n)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	pause.For(ctx, controlSettle/2)
	faults := w.Platform.Faults()
	for name, d := range w.VMs() {
		if d.FailureDomain() == "domain-1" {
			faults.CutNodes = append(faults.CutNodes, name)
		}
	}
	w.Platform.SetFaults(faults)
	pause.For(ctx, 2*time.Second)
	h, err := spreadOver(ctx, w, n)
	if err != nil {
		return nil, err
	}
	f := spreadFigures{Common: Common{Experiment: "spread", Seed: o.Seed, FaultsInjected: len(faults.CutNodes)}, Nodes: n}
	f.InForceP50, f.InForceP99 = quantileMs(h, 50), quantileMs(h, 99)
	return f, nil
}
