package peers

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// reportToHub sends the load and demand of this VM's subtree to the hub at intervals, and what its VMs have
// learned about servers and requests. A new hub may not know what earlier ones were told, so all of that
// is reported again on each link.
func (p *Peers) reportToHub(ctx context.Context, up *uplink) {
	levels := p.quotaLevels()
	p.Poison.MarkUnreported()
	p.PartTracker.MarkUnreported()
	p.Limits.MarkUnreported(p.Now())
	p.Servers.MarkLeavingUnreported(p.Now())
	p.beginPaceReports()
	p.mu.Lock()
	p.keepers.reported = nil
	p.mu.Unlock()
	last := &wire.VMReport{Vms: 1}
	for ctx.Err() == nil {
		report, interval := p.takeReport(up)
		report.Levels = levels
		if worthSending(report, last) {
			last = report
			if err := up.conn.Send(ctx, &wire.Message{VMReport: report}); err != nil {
				up.conn.Close()
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-p.reportDue.raised():
		case <-time.After(interval):
		}
		levels = p.takeHandedLevels()
	}
}

// takeReport returns what is to be reported now, without quota levels, and the time until the next report.
func (p *Peers) takeReport(up *uplink) (*wire.VMReport, time.Duration) {
	own := p.subtreeLoads()
	up.setReported(own)
	status, interval := p.reportStatus()
	report := &wire.VMReport{
		Vms: status.vms, Relaying: status.relaying, WithoutPath: status.withoutPath, WithoutPathBelow: status.withoutPathBelow, Loads: loadList(own), Wants: demandList(p.takeDemand()), Doubts: append([]string{}, p.takeUnverified()...),
		WillExit: p.Servers.TakeLeaving(), Limits: limitList(p.Limits.TakeReport()), Spends: p.takeSpends(),
		ZRejectLimits: p.takeRejectsUp(p.Now()), ZVmsWithPath: status.proxies,
	}
	p.mu.Lock()
	report.ZzStreamKeepers = p.takeKeeperReport()
	p.mu.Unlock()
	addCrashes(report, p.Poison.TakeReport())
	addPartReport(report, p.PartTracker.TakeReport())
	report.ZzzzzPaceSamples = p.takePaceSamples(p.Now())
	return report, interval
}

// worthSending reports whether a report says anything beyond the last one that was sent. After a report of
// load or demand one more is sent, which says that there is none any more.
func worthSending(r, last *wire.VMReport) bool {
	events := len(r.Doubts) + len(r.WillExit) + len(r.Limits) + len(r.Spends) + len(r.Levels) + len(r.Crashes) + len(r.Answered) + len(r.ZRejectLimits) + len(r.ZzStreamKeepers) + len(r.ZzzPartCrashes) + len(r.ZzzPartsSurvived) + len(r.ZzzzPartsAlone) + len(r.ZzzzzPaceSamples)
	busy := len(r.Loads)+len(r.Wants) > 0 || len(last.Loads)+len(last.Wants) > 0
	return events > 0 || busy || r.Vms != last.Vms || r.Relaying != last.Relaying || r.WithoutPath != last.WithoutPath || r.WithoutPathBelow != last.WithoutPathBelow ||
		!slices.Equal(r.ZVmsWithPath, last.ZVmsWithPath)
}

// reportStatus returns the state of this VM's subtree without its loads, and the report interval.
func (p *Peers) reportStatus() (status subtree, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status = subtree{vms: p.subtreeVMs(), relaying: p.relaying, withoutPath: !p.hasPath(), withoutPathBelow: p.withoutPathBelow()}
	if status.withoutPath {
		status.proxies = p.linkedProxies()
	}
	return status, max(p.reportInterval, minLoadInterval)
}
