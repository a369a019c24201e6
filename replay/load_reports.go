package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Each VM has the exact load of its own requests. It receives the load of the other VMs in its
// failure domain from the domain's relay, and that of the other domains from the relay and the
// controller. The frames at each level carry what their sender had received by then.

const (
	// frameIntervalPerLink is the increase of the interval between frames per link of a hub, and
	// minFrameInterval and maxFrameInterval are the bounds of the interval.
	frameIntervalPerLink = 5 * time.Millisecond
	minFrameInterval     = 100 * time.Millisecond
	maxFrameInterval     = 300 * time.Millisecond
	// minVMsForRelays is the minimum number of VMs at which relays are used.
	minVMsForRelays = 20
)

// hubLoads holds the loads that the hubs, which are the relays and the controller, have received.
type hubLoads struct {
	// domainLoads are the sums of each domain's VMs, as last reported to the controller.
	domainLoads []map[string]pick.Load
	// totalLoads is the sum over all domains that the controller sent last.
	totalLoads map[string]pick.Load
}

func frameInterval(links int) time.Duration {
	return min(max(minFrameInterval, time.Duration(links)*frameIntervalPerLink), maxFrameInterval)
}

// scheduleLoadReports schedules the frames.
func (sim *simulation) scheduleLoadReports() {
	f := &sim.pattern.Fleet
	sim.hubLoads.domainLoads = make([]map[string]pick.Load, f.Domains)
	interval, relayInterval := frameInterval(sim.hubLinks()), frameInterval(f.Domains)
	until := sim.pattern.Length
	start := -sim.pattern.Warmup
	for _, v := range sim.vms {
		phase := time.Duration(sim.rng.Int64N(int64(interval)))
		sim.schedulePeriodic(start+phase, interval, until, func() {
			v.reportedLoads = v.balancer.LocalLoads()
			sim.reportDemand(v)
		})
	}
	for d := range sim.vmsByDomain {
		phase := time.Duration(sim.rng.Int64N(int64(interval)))
		sim.schedulePeriodic(start+phase, relayInterval, until, func() { sim.hubLoads.domainLoads[d] = sim.domainLoad(d) })
		sim.schedulePeriodic(start+phase, interval, until, func() { sim.distributeLoads(d) })
	}
	sim.schedulePeriodic(start, relayInterval, until, func() {
		sim.hubLoads.totalLoads = make(map[string]pick.Load)
		for _, r := range sim.hubLoads.domainLoads {
			addLoads(sim.hubLoads.totalLoads, r)
		}
	})
}

// hubLinks returns the number of VMs connected to a hub.
func (sim *simulation) hubLinks() int {
	f := &sim.pattern.Fleet
	if f.VMs < minVMsForRelays {
		return f.VMs
	}
	return (f.VMs + f.Domains - 1) / f.Domains
}

// reportDemand sends a VM's demand to the controller. The path over the relay takes about one frame
// interval.
func (sim *simulation) reportDemand(v *vm) {
	demand := v.takeDemand()
	switch {
	case sim.variant.FixedPlacement:
		for i := range demand {
			demand[i].ServerTime = 0
		}
	case sim.variant.ForecastHorizon > 0 && v.index == 0:
		sim.reportForecast(v)
		fallthrough
	case sim.variant.ForecastHorizon > 0:
		return
	}
	if len(demand) == 0 {
		return
	}
	sim.scheduleAfter(minFrameInterval, func() { sim.controller.RecordVMReport(sim.currentTime(), v.name, nil, demand) })
}

// domainLoad returns the sum of the loads that a domain's VMs reported.
func (sim *simulation) domainLoad(domain int) map[string]pick.Load {
	sum := make(map[string]pick.Load)
	for _, v := range sim.vmsByDomain[domain] {
		addLoads(sum, v.reportedLoads)
	}
	return sum
}

// distributeLoads sends each VM of a domain the load of all others.
func (sim *simulation) distributeLoads(domain int) {
	now := sim.currentTime()
	sum := sim.domainLoad(domain)
	for id, l := range sim.hubLoads.totalLoads {
		sum[id] = sum[id].Add(l.Sub(sim.hubLoads.domainLoads[domain][id]))
	}
	if sim.variant.ExactLoad {
		return
	}
	for _, v := range sim.vmsByDomain[domain] {
		v.balancer.SetRemoteLoads(now, pick.SubtractLoads(sum, v.reportedLoads))
	}
}

func addLoads(sums, loads map[string]pick.Load) {
	for id, l := range loads {
		sums[id] = sums[id].Add(l)
	}
}
