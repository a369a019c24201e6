package peers

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// quotaTimeout bounds a quota call to a hub that is the root, and relayedQuotaTimeout one to a
	// relay, which waits for the root itself. Round trips take milliseconds.
	quotaTimeout        = 100 * time.Millisecond
	relayedQuotaTimeout = 200 * time.Millisecond
	// quotaBackoff is how long a VM does not call a hub that has not answered a quota call.
	quotaBackoff = 400 * time.Millisecond
	// maxFirstHubWait bounds how long a request waits for the first link of a VM that has just started,
	// and hubPollInterval is the interval at which it looks for it.
	maxFirstHubWait = 600 * time.Millisecond
	hubPollInterval = 20 * time.Millisecond
)

// updateQuotaRole sets whether this VM is the root for the quotas, and the part of its subtree in the
// fleet. A VM that knows neither a hub nor the lease record does not know the size of
// the fleet and may grant nothing.
func (p *Peers) updateQuotaRole(now time.Time) {
	if p.Quotas == nil {
		return
	}
	reported := p.Lease.VMs()
	held := p.Lease.Held(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	subtree := p.subtreeVMs()
	root := p.uplink == nil || p.EqualQuotas
	if p.EqualQuotas {
		subtree = 1
	}
	if reported = max(reported, p.vms); reported > 0 || held {
		p.fleet.observe(now, max(reported, subtree))
	}
	share := 0.0
	if p.fleet.vms > 0 {
		share = min(float64(subtree)/float64(p.fleet.vms), 1)
	}
	p.Quotas.SetRole(now, root, share)
	p.seedQuotas(now, share)
}

// startLevelShare is the share of the levels in the lease record with which a process starts. The
// record is up to some seconds old, and a team may have used more since.
const startLevelShare = 0.9

// seedQuotas adds this VM's part of the levels in the lease record, once after the start of the process.
// Without them, a fleet whose VMs have all restarted would refuse requests of teams that are far below
// their quotas. p.mu must be held.
func (p *Peers) seedQuotas(now time.Time, share float64) {
	record, known := p.Lease.StartRecord()
	if p.quotasSeeded || !known || share == 0 || !p.Quotas.Configured() {
		return
	}
	p.quotasSeeded = true
	part := startLevelShare / float64(max(p.fleet.vms, 1))
	var list []limit.Spend
	for _, l := range record.QuotaLevels {
		list = append(list, limit.Spend{Team: l.Team, Tokens: int(part * float64(max(l.Tokens, 0)))})
	}
	p.Quotas.AddLevels(now, list)
}

// StoredLevels returns the levels of the quotas for the lease record.
func (p *Peers) StoredLevels() []wire.TeamSpend {
	if p.Quotas == nil {
		return nil
	}
	return spendList(p.Quotas.CurrentLevels(p.Now()))
}

// TakeQuota takes the tokens of a request from its team's quota, at the root of the tree of VMs. If
// granted is set, the request may be sent after wait; otherwise its caller should retry after wait. If
// the hub does not answer, the tokens are taken from the part of this VM's subtree. A team without a quota is not limited.
func (p *Peers) TakeQuota(ctx context.Context, r limit.QuotaRequest) (wait time.Duration, granted bool) {
	p.awaitFirstHub(ctx, min(4*r.Patience, maxFirstHubWait))
	if up := p.quotaHub(p.Now()); up != nil {
		wait, granted, err := p.callQuota(ctx, up, r)
		if err == nil || ctx.Err() != nil {
			return wait, granted
		}
		p.Log.Info().Str("team", r.Team).Err(err).Msg("quota call failed, using the local part")
	}
	now := p.Now()
	p.updateQuotaRole(now)
	wait, granted, known := p.Quotas.Take(now, r)
	// A VM that asks may have another configuration, in which the team has a quota.
	return wait, granted || !known
}

// awaitFirstHub waits until a VM that has just started has linked to a hub, or for a time. Its own part
// of the quotas is too small for most requests.
func (p *Peers) awaitFirstHub(ctx context.Context, limit time.Duration) {
	until := p.Now().Add(limit)
	for ctx.Err() == nil && p.Now().Before(until) && p.neverLinked() {
		pause.For(ctx, hubPollInterval)
	}
}

// neverLinked reports whether this VM has neither been linked to a hub nor held the lease since it
// started.
func (p *Peers) neverLinked() bool {
	if p.EqualQuotas || p.Lease.Held(p.Now()) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.linkedOnce && len(p.links) == 0
}

// quotaHub returns the link to the hub, or nil if this VM is the root or the hub has not answered
// lately.
func (p *Peers) quotaHub(now time.Time) *uplink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.EqualQuotas || now.Sub(p.quotaFailedAt) < quotaBackoff {
		return nil
	}
	return p.uplink
}

// callQuota takes the tokens of a request from the hub.
func (p *Peers) callQuota(ctx context.Context, up *uplink, r limit.QuotaRequest) (wait time.Duration, granted bool, err error) {
	p.Meter.AddCounter("peers.quota_calls", 1)
	timeout := relayedQuotaTimeout
	if p.isDirect(up) {
		timeout = quotaTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wait, granted, err = up.takeQuota(callCtx, r)
	switch {
	case err == nil && granted:
		p.Quotas.Granted(p.Now(), r.Team, r.Tokens)
	case err != nil && ctx.Err() == nil:
		p.mu.Lock()
		p.quotaFailedAt = p.Now()
		p.mu.Unlock()
	}
	return wait, granted, err
}

func (p *Peers) answerQuota(ctx context.Context, d *downlink, call *wire.QuotaCall) {
	ctx, span := spans.Start(ctx, "quota", attribute.String("team", call.Team))
	wait, granted := p.TakeQuota(ctx, limit.QuotaRequest{
		Team: call.Team, Tokens: call.Tokens, Rank: call.Rank, Patience: time.Duration(call.PatienceUs) * time.Microsecond,
	})
	spans.End(span, nil)
	reply := &wire.QuotaReply{Call: call.Call, Granted: granted, WaitUs: int(wait.Microseconds())}
	frame, err := link.Encode(&wire.Message{QuotaReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding a quota reply failed")
		return
	}
	d.enqueueReply(frame)
}

// mergeQuotaReport merges a linked VM's part of the quotas and its uses, once the VM is counted in the
// subtree. The report may be nil.
func (p *Peers) mergeQuotaReport(r *wire.VMReport) {
	if r == nil {
		return
	}
	p.addLevels(r.Levels)
	p.recordSpends(r.Spends)
}

// recordSpends records the uses reported by a linked VM: in the buckets of the root, or for the next
// report of a relay.
func (p *Peers) recordSpends(spends []wire.TeamSpend) {
	if p.Quotas == nil {
		return
	}
	for _, s := range spends {
		p.Quotas.Spend(p.Now(), s.Team, s.Tokens)
	}
}

// addLevels adds the levels of the buckets that a linked VM hands over.
func (p *Peers) addLevels(levels []wire.TeamSpend) {
	if p.Quotas == nil || len(levels) == 0 {
		return
	}
	now := p.Now()
	p.updateQuotaRole(now)
	list := make([]limit.Spend, 0, len(levels))
	for _, l := range levels {
		list = append(list, limit.Spend{Team: l.Team, Tokens: l.Tokens})
	}
	p.Quotas.AddLevels(now, list)
}

// quotaLevels returns the levels to hand over to the hub in their wire form.
func (p *Peers) quotaLevels() []wire.TeamSpend {
	if p.Quotas == nil {
		return nil
	}
	return spendList(p.Quotas.Levels(p.Now()))
}

// takeHandedLevels returns the levels that linked VMs have handed over to this relay, in their wire
// form.
func (p *Peers) takeHandedLevels() []wire.TeamSpend {
	if p.Quotas == nil {
		return nil
	}
	return spendList(p.Quotas.TakeHanded())
}

// takeSpends returns the uses to report to the hub in their wire form.
func (p *Peers) takeSpends() []wire.TeamSpend {
	if p.Quotas == nil {
		return nil
	}
	return spendList(p.Quotas.TakeReport())
}

// spendList converts numbers of tokens to their wire form.
func spendList(spends []limit.Spend) []wire.TeamSpend {
	var list []wire.TeamSpend
	for _, s := range spends {
		list = append(list, wire.TeamSpend{Team: s.Team, Tokens: s.Tokens})
	}
	return list
}

func (p *Peers) tightTeams() []string {
	if p.Quotas == nil {
		return nil
	}
	return p.Quotas.TightTeams(p.Now())
}

// applyTightTeams applies the hub's list of tight teams. A relay forwards a change at once.
func (p *Peers) applyTightTeams(teams []string) {
	if p.Quotas != nil && p.Quotas.Announce(teams) {
		p.SignalTight()
	}
}

// SignalTight makes the hub announce its tight teams at once.
func (p *Peers) SignalTight() { p.frameDue.raise() }
