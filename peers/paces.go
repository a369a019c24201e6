package peers

import (
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// What VMs learn of the pace of servers travels up the tree in reports, as sums that relays add, and the controller's
// estimates down in frames with loads. The ways that were weighed are in docs/design/server_state_links.md.

const (
	// minPaceInterval and maxPaceInterval bound the interval in which samples are reported and the controller
	// sends changed estimates. Estimates are means over some seconds. The interval grows with the fleet, and with
	// it the number of servers, so that a VM of a large fleet receives no more: 2.5 KB/s with 390 VMs if 256
	// estimates change in each interval.
	minPaceInterval   = time.Second
	maxPaceInterval   = 5 * time.Second
	paceIntervalPerVM = 8 * time.Millisecond
)

// paceInterval returns the interval between reports of samples and between frames with estimates in a fleet of a
// number of VMs.
func paceInterval(vms int) time.Duration {
	return min(max(minPaceInterval, time.Duration(vms)*paceIntervalPerVM), maxPaceInterval)
}

// paceExchange is what a VM is to pass on of the paces of servers. Peers.mu guards it.
type paceExchange struct {
	up   sampleSums
	down paceEstimates
	// collectedAt is when samples were last taken out of the gauge, reportedAt when they were due to be reported,
	// changedAt when the controller last looked for changed estimates, and confirmedAt when it last confirmed
	// them.
	collectedAt, reportedAt, changedAt, confirmedAt time.Time
	retainedAt                                      time.Time
	// told counts the estimates sent since confirmedAt, for the log.
	told int
}

// addPaceSamples adds the samples of a linked VM. A relay reports them with its own.
func (p *Peers) addPaceSamples(list []wire.PaceSamples) {
	if p.Gauge == nil || len(list) == 0 {
		return
	}
	samples := samplesOf(list)
	p.Gauge.AddSamples(p.Now(), samples)
	if p.isRelaying() {
		return
	}
	for _, s := range samples {
		p.Meter.AddCounter("gauge.collected", int64(s.Readings+s.Responses))
	}
}

// takePaceSamples returns the samples to report to the hub now: those of this VM and of its subtree.
func (p *Peers) takePaceSamples(now time.Time) []wire.PaceSamples {
	if p.Gauge == nil {
		return nil
	}
	interval := paceInterval(p.VMs())
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.paces.reportedAt) < interval {
		return nil
	}
	p.paces.reportedAt = now
	p.collectPaceSamples(now)
	list := sampleList(p.paces.up.take(now))
	p.countTold(len(list))
	return list
}

// collectPaceSamples takes what this VM and its subtree have learned out of the gauge. After a time without a hub it is
// too old. p.mu must be held.
func (p *Peers) collectPaceSamples(now time.Time) {
	own := p.Gauge.TakeSamples(now)
	if last := p.paces.collectedAt; last.IsZero() || now.Sub(last) < sampleLifetime {
		p.paces.up.add(now, own)
	}
	p.paces.collectedAt = now
}

// beginPaceReports prepares the reports on a new link: its hub has not heard what earlier ones were told.
func (p *Peers) beginPaceReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.up.reported = nil
}

// discardPaceSamples drops the samples that this VM, the controller, would report as a relay: its gauge has them.
func (p *Peers) discardPaceSamples(now time.Time) {
	if p.Gauge == nil {
		return
	}
	p.Gauge.TakeSamples(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.collectedAt, p.paces.up.pending = now, nil
}

// takePacesDown returns the entries for a frame on all links. p.mu must be held.
func (p *Peers) takePacesDown(now time.Time) []wire.ServerPace {
	if p.Gauge == nil {
		return nil
	}
	if len(p.links) == 0 {
		p.paces.down.discard()
		return nil
	}
	if p.relaying {
		list := p.paces.down.take()
		p.countTold(len(list))
		return list
	}
	if now.Sub(p.paces.changedAt) < paceInterval(p.vms) {
		return nil
	}
	p.paces.changedAt = now
	for _, s := range paceList(p.Gauge.TakeChanges(now)) {
		p.paces.down.set(s.Server, s.PacePct)
	}
	if now.Sub(p.paces.confirmedAt) >= confirmInterval {
		p.paces.down.confirm(now, paceList(p.Gauge.All(now)))
		p.logPaces(now)
	}
	list := p.paces.down.take()
	p.paces.told += len(list)
	p.countTold(len(list))
	return list
}

// logPaces logs what was sent since the last confirmation. p.mu must be held.
func (p *Peers) logPaces(now time.Time) {
	if p.paces.told > 0 || len(p.paces.down.known) > 0 {
		p.Log.Info().Int("servers", len(p.paces.down.known)).Int("told", p.paces.told).Msg("paces of servers confirmed")
	}
	p.paces.confirmedAt, p.paces.told = now, 0
}

// allPaces returns the estimates for a new link. p.mu must be held.
func (p *Peers) allPaces(now time.Time) []wire.ServerPace {
	if p.Gauge == nil {
		return nil
	}
	list := p.paces.down.full(now)
	if !p.relaying {
		list = paceList(p.Gauge.All(now))
	}
	p.countTold(len(list))
	return list
}

// applyPaces applies the entries of a frame of the hub.
func (p *Peers) applyPaces(now time.Time, list []wire.ServerPace, full bool) {
	if p.Gauge == nil || len(list) == 0 && !full {
		return
	}
	p.mu.Lock()
	estimates := p.paces.down.apply(now, list, full)
	if !p.relaying {
		p.paces.down.discard()
	}
	p.mu.Unlock()
	if len(estimates) > 0 {
		p.Gauge.Merge(now, estimates)
	}
}

// RetainPaces forgets the paces of servers for which listed returns false. What the hub told is kept for some
// seconds more: a VM may be told the pace of a new server before it knows the server.
func (p *Peers) RetainPaces(now time.Time, listed func(id string) bool) {
	if p.Gauge == nil {
		return
	}
	p.Gauge.Retain(listed)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.paces.retainedAt) < confirmInterval {
		return
	}
	p.paces.retainedAt = now
	p.paces.up.retain(listed)
	p.paces.down.retain(listed)
}

// countTold counts entries sent, each once, whatever the number of links.
func (p *Peers) countTold(entries int) {
	if entries > 0 {
		p.Meter.AddCounter("gauge.told", int64(entries))
	}
}

// hundredths converts a pace, or a sum of them, to its wire form.
func hundredths(pace float64) int { return int(math.Round(100 * pace)) }

func paceOf(pct int) float64 { return float64(pct) / 100 }

// sampleList converts samples to their wire form.
func sampleList(samples []gauge.Sample) []wire.PaceSamples {
	var list []wire.PaceSamples
	for _, s := range samples {
		list = append(list, wire.PaceSamples{
			Server: s.Server, Readings: s.Readings, ReadingPct: hundredths(s.PaceSum), Responses: s.Responses, ResponsePct: hundredths(s.RatioSum),
		})
	}
	return list
}

// samplesOf converts samples from their wire form. It leaves out those that no VM reports.
func samplesOf(list []wire.PaceSamples) []gauge.Sample {
	samples := make([]gauge.Sample, 0, len(list))
	for _, s := range list {
		if s.Server == "" || min(s.Readings, s.ReadingPct, s.Responses, s.ResponsePct) < 0 {
			continue
		}
		samples = append(samples, gauge.Sample{
			Server: s.Server, Readings: s.Readings, PaceSum: paceOf(s.ReadingPct), Responses: s.Responses, RatioSum: paceOf(s.ResponsePct),
		})
	}
	return samples
}

// paceList converts estimates to their wire form.
func paceList(estimates []gauge.Estimate) []wire.ServerPace {
	var list []wire.ServerPace
	for _, e := range estimates {
		if pct := hundredths(e.Pace); e.Server != "" && pct >= unknownPace {
			list = append(list, wire.ServerPace{Server: e.Server, PacePct: pct})
		}
	}
	return list
}
