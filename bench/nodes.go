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

// fleetCost is the cost of the control plane at one fleet size.
type fleetCost struct {
	Nodes               int     `json:"nodes"`
	CPUPercent          float64 `json:"cpu_percent_of_core"`
	ResidentMB          float64 `json:"resident_mb"`
	BytesPerSecond      float64 `json:"bytes_per_second"`
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	ActiveP50Ms         float64 `json:"in_force_p50_ms"`
	ActiveP99Ms         float64 `json:"in_force_p99_ms"`
	PairsNotAlive       int     `json:"pairs_not_alive"`
}

type controlReport struct {
	CommonReport
	fleetCost
	Sizes []fleetCost `json:"sizes"`
}

const (
	maxVMsPerDomain    = 26
	controlSettleTime  = 20 * time.Second
	controlMeasureTime = 10 * time.Second
	propagationChanges = 10
	propagationTimeout = 30 * time.Second
)

var fleetSizes = []int{10, 30, 100, 390}

// fleetSpec returns a deployment of n VMs without load, in failure domains of up
// to 26 VMs.
func fleetSpec(n int) deploymentSpec {
	domains := (n + maxVMsPerDomain - 1) / maxVMsPerDomain
	return deploymentSpec{
		domains: domains, vmsPerDomain: (n + domains - 1) / domains, engines: 1, slots: 1, firstToken: time.Millisecond, betweenTokens: time.Millisecond,
	}
}

// startFleet starts n VMs with as many active profiles as are expected in two
// years.
func startFleet(ctx context.Context, o Options, n int) (*demo.Deployment, error) {
	settings, err := fleetSpec(n).settings()
	if err != nil {
		return nil, err
	}
	deployment, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: fleetProfiles(), Preload: true, Seed: o.Seed, MaxVMs: n,
		AdjustVM: func(c *entry.Config) { c.SeedVMs = nil },
	})
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for len(deployment.ReadyAddresses()) < n {
		if ready.Err() != nil {
			deployment.Close()
			return nil, fmt.Errorf("%d of %d VMs became ready", len(deployment.ReadyAddresses()), n)
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	return deployment, nil
}

const fleetProfileCount = 30

func fleetProfiles() []wire.Profile {
	var docs []wire.Profile
	for i := range fleetProfileCount {
		docs = append(docs, serviceProfile(fmt.Sprintf("class-%d", i+1), 2))
	}
	return docs
}

// control runs the control plane of fleets of increasing size and measures its cost
// per VM. Each VM is a daemon with its own links; all run in one process.
func control(ctx context.Context, o Options) (Report, error) {
	report := controlReport{CommonReport: CommonReport{Experiment: "control", Seed: o.Seed}}
	for _, n := range fleetSizes {
		cost, err := measureFleet(ctx, o, n)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(o.Out, "%+v\n", cost)
		report.Sizes = append(report.Sizes, cost)
		report.fleetCost = cost
	}
	report.FaultsInjected = len(fleetSizes) // one VM of each fleet is killed
	return report, nil
}

func measureFleet(ctx context.Context, o Options, n int) (fleetCost, error) {
	deployment, err := startFleet(ctx, o, n)
	if err != nil {
		return fleetCost{}, err
	}
	defer deployment.Close()
	pause.For(ctx, controlSettleTime)
	start, cpu, bytes, calls := time.Now(), cpuTime(), deployment.PeerBytes(), storeCalls(deployment)
	pause.For(ctx, controlMeasureTime)
	seconds := time.Since(start).Seconds()
	cost := fleetCost{
		Nodes: n, CPUPercent: (cpuTime() - cpu).Seconds() / seconds / float64(n) * 100,
		ResidentMB:          float64(residentBytes()) / (1 << 20) / float64(n),
		BytesPerSecond:      float64(deployment.PeerBytes()-bytes) / seconds / float64(n),
		StoreCallsPerSecond: float64(storeCalls(deployment)-calls)/seconds + float64(deployment.Platform.ActiveWatches()),
	}
	for _, d := range deployment.VMs() {
		cost.PairsNotAlive += n - len(d.ActiveVMs())
	}
	latencies, err := measurePropagation(ctx, deployment, n)
	if err != nil {
		return cost, err
	}
	cost.ActiveP50Ms, cost.ActiveP99Ms = quantileMs(latencies, 50), quantileMs(latencies, 99)
	return cost, nil
}

func storeCalls(deployment *demo.Deployment) int64 {
	c := deployment.Platform.Counts()
	return c.Reads + c.Writes
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident set size of the process.
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

// measurePropagation changes a profile repeatedly and returns the times until each
// change is active on all n VMs.
func measurePropagation(ctx context.Context, deployment *demo.Deployment, n int) (*hdrhistogram.Histogram, error) {
	latencies := newMicrosecondHistogram()
	doc := fleetProfiles()[0]
	for i := range propagationChanges {
		doc.Priority = i % 10
		start := time.Now()
		if err := deployment.ApplyProfile(doc); err != nil {
			return nil, err
		}
		obj, _ := deployment.Platform.Get("profiles", doc.Name)
		for countActive(deployment, doc.Name, obj.Version) < n {
			if time.Since(start) > propagationTimeout {
				return nil, fmt.Errorf("profile change is active on %d of %d VMs after %v", countActive(deployment, doc.Name, obj.Version), n, propagationTimeout)
			}
			pause.For(ctx, 2*time.Millisecond)
		}
		_ = latencies.RecordValue(time.Since(start).Microseconds())
	}
	return latencies, nil
}

func countActive(deployment *demo.Deployment, profile string, version int) int {
	n := 0
	for _, d := range deployment.VMs() {
		if d.ProfileVersion(profile) >= version {
			n++
		}
	}
	return n
}

type spreadReport struct {
	CommonReport
	Nodes       int     `json:"nodes"`
	ActiveP50Ms float64 `json:"in_force_p50_ms"`
	ActiveP99Ms float64 `json:"in_force_p99_ms"`
}

// spread measures the time until a profile change is active on all VMs while a
// failure domain cannot reach the platform.
func spread(ctx context.Context, o Options) (Report, error) {
	const n = 100
	deployment, err := startFleet(ctx, o, n)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	pause.For(ctx, controlSettleTime/2)
	faults := deployment.Platform.Faults()
	for name, d := range deployment.VMs() {
		if d.FailureDomain() == "domain-1" {
			faults.DisconnectedVMs = append(faults.DisconnectedVMs, name)
		}
	}
	deployment.Platform.SetFaults(faults)
	pause.For(ctx, 2*time.Second)
	latencies, err := measurePropagation(ctx, deployment, n)
	if err != nil {
		return nil, err
	}
	report := spreadReport{CommonReport: CommonReport{Experiment: "spread", Seed: o.Seed, FaultsInjected: len(faults.DisconnectedVMs)}, Nodes: n}
	report.ActiveP50Ms, report.ActiveP99Ms = quantileMs(latencies, 50), quantileMs(latencies, 99)
	return report, nil
}
