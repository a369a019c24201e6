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
	// paceInterval is the interval in which samples are reported and the controller sends changed estimates. Estimates
	// are means over some seconds.
	paceInterval = time.Second
	// paceLogInterval is the interval between log lines of the controller about the estimates that it sent.
	paceLogInterval = 10 * time.Second
	// paceRetainInterval is how often what is to be passed on is searched for servers that are gone. A VM may be told
	// the pace of a new server shortly before it knows the server.
	paceRetainInterval = 10 * time.Second
	// maxSampleCount bounds the readings and the responses of one sample. All VMs together hear less of one server in
	// sampleLifetime; larger counts would outweigh all others for minutes, or overflow where relays add them.
	maxSampleCount = 1_000_000
	// maxSamplePct bounds their sums in hundredths: each is at most a hundred times the usual.
	maxSamplePct = maxSampleCount * maxPacePct
)

// paceExchange is what a VM is to pass on of the paces of servers. Peers.mu guards it.
type paceExchange struct {
	up   sampleSums
	down paceQueue
	// reportedAt is when samples were last reported, and changedAt when the controller last looked for changed
	// estimates.
	reportedAt, changedAt time.Time
	loggedAt, retainedAt  time.Time
	// told counts the estimates sent since loggedAt.
	told int
}

// addPaceSamples adds the samples of a linked VM. A relay only passes them on: its gauge would return them within its
// bound for the samples of one VM, and has the estimates of the controller, which include them.
func (p *Peers) addPaceSamples(list []wire.PaceSamples) {
	if p.Gauge == nil || len(list) == 0 {
		return
	}
	now, samples := p.Now(), samplesOf(list)
	p.mu.Lock()
	relaying := p.relaying
	if relaying {
		p.paces.up.add(now, samples)
	}
	p.mu.Unlock()
	if relaying {
		return
	}
	p.Gauge.AddSamples(now, samples)
	for _, s := range samples {
		p.Meter.AddCounter("gauge.collected", int64(s.Readings+s.Responses))
	}
}

// takePaceSamples returns the samples to report to the hub now: those of this VM and of its subtree.
func (p *Peers) takePaceSamples(now time.Time) []wire.PaceSamples {
	if p.Gauge == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.paces.reportedAt) < paceInterval {
		return nil
	}
	p.paces.reportedAt = now
	p.paces.up.add(now, p.Gauge.TakeSamples(now))
	list := sampleList(p.paces.up.take(now))
	if len(list) > 0 {
		p.Meter.AddCounter("gauge.samples_sent", int64(len(list)))
	}
	return list
}

// beginPaceReports prepares the reports on a new link: its hub has not heard what earlier ones were told.
func (p *Peers) beginPaceReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.up.reported = nil
}

// takePacesDown returns the estimates for a frame on all links. p.mu must be held.
func (p *Peers) takePacesDown(now time.Time) []wire.ServerPace {
	if p.Gauge == nil {
		return nil
	}
	if len(p.links) == 0 {
		// A VM that links is told all estimates.
		p.paces.down = paceQueue{}
		return nil
	}
	if !p.relaying && now.Sub(p.paces.changedAt) >= paceInterval {
		p.paces.changedAt = now
		for _, s := range paceList(p.Gauge.TakeChanges(now)) {
			p.paces.down.add(s)
		}
	}
	list := p.paces.down.take()
	switch {
	case !p.relaying:
		p.logPaces(now, len(list))
	case len(list) > 0:
		// The gauge counts what it returns itself.
		p.Meter.AddCounter("gauge.told", int64(len(list)))
	}
	return list
}

// logPaces logs how many estimates were sent, at intervals. p.mu must be held.
func (p *Peers) logPaces(now time.Time, told int) {
	p.paces.told += told
	if p.paces.told == 0 || now.Sub(p.paces.loggedAt) < paceLogInterval {
		return
	}
	p.Log.Info().Int("estimates", p.paces.told).Int("servers", len(p.paces.down.known)).Msg("paces of servers sent")
	p.paces.loggedAt, p.paces.told = now, 0
}

// allPaces returns the estimates for a new link. p.mu must be held.
func (p *Peers) allPaces(now time.Time) []wire.ServerPace {
	if p.Gauge == nil {
		return nil
	}
	return paceList(p.Gauge.All(now))
}

// applyPaces applies the estimates in a frame of the hub. A frame without any, as those of older builds, changes
// nothing.
func (p *Peers) applyPaces(now time.Time, list []wire.ServerPace, full bool) {
	list = validPaces(list)
	if p.Gauge == nil || len(list) == 0 {
		return
	}
	p.Gauge.Merge(now, estimatesOf(list))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relaying {
		p.paces.down.addReceived(list, full)
	}
}

// RetainPaces forgets the paces of servers for which listed returns false.
func (p *Peers) RetainPaces(now time.Time, listed func(id string) bool) {
	if p.Gauge == nil {
		return
	}
	p.Gauge.Retain(listed)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.paces.retainedAt) < paceRetainInterval {
		return
	}
	p.paces.retainedAt = now
	p.paces.up.retain(listed)
	p.paces.down.retain(listed)
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
		if s.Server == "" || min(s.Readings, s.ReadingPct, s.Responses, s.ResponsePct) < 0 || max(s.Readings, s.Responses) > maxSampleCount || max(s.ReadingPct, s.ResponsePct) > maxSamplePct {
			continue
		}
		samples = append(samples, gauge.Sample{
			Server: s.Server, Readings: s.Readings, PaceSum: paceOf(s.ReadingPct), Responses: s.Responses, RatioSum: paceOf(s.ResponsePct),
		})
	}
	return samples
}
