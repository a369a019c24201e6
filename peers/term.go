package peers

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// runController serves the controller's side until another VM holds the lease. While the store is
// unreachable, the lease expires and no orders are sent, but no other VM can acquire the lease either.
// The links stay open and continue to carry load and server states.
func (p *Peers) runController(ctx context.Context) {
	p.Log.Info().Msg("controller term started")
	p.endRelaying()
	p.startTerm(p.Now())
	p.Controller.Wake()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan struct{}, 1)
	go p.reportOwn(ctx)
	go p.broadcast(ctx, renewed)
	for ctx.Err() == nil && !p.superseded() {
		pause.For(ctx, leaseCheckInterval)
		p.releaseWithoutPath(ctx, renewed)
		p.stepLease(ctx, renewed)
		p.askForHolder(ctx)
	}
	p.closeLinks()
	p.Log.Info().Msg("controller term ended")
}

// withoutPathGrace is how long a controller without a path to the backend servers keeps the lease. The next
// one may order only some seconds after the last order of this one.
const withoutPathGrace = 500 * time.Millisecond

// releaseWithoutPath releases the lease if this VM, the controller, has lost its path to the backend servers
// and a linked VM has one: no model could be loaded until the path is back. The links stay open until another
// VM holds the lease.
func (p *Peers) releaseWithoutPath(ctx context.Context, renewed chan<- struct{}) {
	now := p.Now()
	p.mu.Lock()
	if p.hasPath() {
		p.withoutPathSince = time.Time{}
	} else if p.withoutPathSince.IsZero() {
		p.withoutPathSince = now
	}
	since := p.withoutPathSince
	others := slices.ContainsFunc(p.knownProxies(), func(address string) bool { return address != p.Address })
	p.mu.Unlock()
	if since.IsZero() || now.Sub(since) < withoutPathGrace || !others || !p.Lease.Held(now) {
		return
	}
	if err := p.Lease.Release(ctx); err != nil {
		p.Log.Info().Err(err).Msg("releasing the controller lease failed")
		return
	}
	select {
	case renewed <- struct{}{}:
	default:
	}
}

// startTerm records when the term started and the numbers of VMs that the term before has told.
func (p *Peers) startTerm(now time.Time) {
	vms := p.VMs()
	_, record := p.Lease.LatestRecord()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allotments.inherit(now, record)
	p.paces.up.discard()
	p.termStart, p.inheritedVMs, p.hubProxies, p.keepers.named = now, vms, nil, nil
	if p.termStarted != nil {
		close(p.termStarted)
		p.termStarted = nil
	}
}

// TermStarted returns a channel that is closed when this VM next becomes the controller.
func (p *Peers) TermStarted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termStarted == nil {
		p.termStarted = make(chan struct{})
	}
	return p.termStarted
}

// stepLease renews the lease if due, and signals a renewal so that it is announced at once. A VM
// that reads an unannounced renewal in the store must count the full lease duration from its read,
// and so takes over a second later.
func (p *Peers) stepLease(ctx context.Context, renewed chan<- struct{}) {
	before, _ := p.Lease.LatestRecord()
	p.Lease.Step(ctx)
	if after, _ := p.Lease.LatestRecord(); after == before {
		return
	}
	select {
	case renewed <- struct{}{}:
	default:
	}
}

// superseded reports whether another VM is known to hold the lease.
func (p *Peers) superseded() bool {
	if p.Lease.Held(p.Now()) {
		return false
	}
	address, _ := p.Lease.OtherHolder()
	return address != ""
}

// reportOwn merges the load and demand of this VM, which is the controller, with the reports of
// the linked VMs.
func (p *Peers) reportOwn(ctx context.Context) {
	since := time.Time{}
	for ctx.Err() == nil {
		changed := p.Controller.Changed()
		now := p.Now()
		own := p.Balancer.LocalLoads()
		p.Controller.RecordVMReport(now, p.Name, own, p.takeDemand())
		p.Controller.RequireReports(p.takeUnverified())
		// The controller's tracker already merges the reports of all VMs, so its own report is
		// discarded.
		p.Poison.TakeReport()
		p.PartTracker.TakeReport()
		p.Limits.TakeReport()
		p.Servers.TakeLeaving()
		p.collectRejects(now)
		p.updateQuotaRole(now)
		p.Balancer.SetRemoteLoads(now, pick.SubtractLoads(p.Controller.Loads(), own))
		for _, s := range p.Controller.ChangedSince(now, since) {
			p.Servers.SetModels(now, s.Server, s.Models)
		}
		since = now
		p.updateVMCount(now)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(minLoadInterval):
		}
	}
}

func (p *Peers) closeLinks() {
	p.mu.Lock()
	links := p.links
	p.links, p.keepers.subtreeChanged = nil, true
	p.mu.Unlock()
	for d := range links {
		d.conn.Close()
	}
}

// Leading reports whether this VM holds the lease. The holder watches the store for all other VMs.
func (p *Peers) Leading() bool { return p.Lease.Held(p.Now()) }
