package peers

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// findTimeout bounds the controller's work for one find call. The calling VM has timed out
	// by then.
	findTimeout = 10 * time.Second
	// minBatchDelay and maxBatchDelay bound how long a change is delayed so that later changes
	// are sent in the same frame. The delay grows by batchDelayPerLink with each link. While
	// dozens of servers restart, a change occurs every few milliseconds, and a frame per change
	// to every VM would saturate the links of the smallest VMs.
	minBatchDelay     = 10 * time.Millisecond
	maxBatchDelay     = 60 * time.Millisecond
	batchDelayPerLink = 2 * time.Millisecond
	// maxToldLoads is the number of servers whose load is sent in a frame, the busiest ones. It bounds
	// a frame to some ten kilobytes, whatever the size of the fleet.
	maxToldLoads = 256
	// loadsBatchDelay is how long a change of the relays or proxies is delayed, so that the links and
	// reports that follow it are announced in the same frame.
	loadsBatchDelay = 20 * time.Millisecond
)

// batchDelay returns how long to collect changes before sending them, for a number of links.
func batchDelay(links int) time.Duration {
	return min(max(minBatchDelay, time.Duration(links)*batchDelayPerLink), maxBatchDelay)
}

// serveLink serves the hub's side of a link until the link is closed.
func (p *Peers) serveLink(ctx context.Context, c *link.Conn) {
	d := newDownlink(c)
	if err := p.addLink(d); err != nil {
		p.Log.Info().Str("peer", d.vm).Err(err).Msg("link rejected")
		return
	}
	p.Log.Info().Str("peer", d.vm).Msg("link opened")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := d.write(ctx, p.fullStateFrames); err != nil {
			p.Log.Info().Str("peer", d.vm).Err(err).Msg("write to link failed; closing it")
			d.conn.Close()
		}
	}()
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			p.removeLink(d)
			p.Log.Info().Str("peer", d.vm).Err(err).Msg("link closed")
			return
		}
		p.handleMessage(ctx, d, m)
	}
}

// fullStateFrames returns the frames with the full state, including the load.
func (p *Peers) fullStateFrames() ([][]byte, error) {
	loads := p.toldLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	frames, _, err := p.fullState(loads)
	return frames, err
}

var errStrongerPeer = errors.New("the VM has a much larger CPU share than this relay and must link to the controller")

// addLink enqueues the full state on a new link and registers the link for changes.
func (p *Peers) addLink(d *downlink) error {
	loads := p.toldLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if !p.Lease.Held(now) && !p.relaying {
		return errNoController
	}
	if p.relaying && !p.furtherRelay && p.rejectsStronger(now, d.hello) {
		return errStrongerPeer
	}
	first := len(p.links) == 0
	if p.links == nil {
		p.links = make(map[*downlink]bool)
	}
	// The relays that the first frames announce include the new VM, so that a relay which has just lost
	// its hub does not find itself replaced.
	p.links[d], p.keepers.subtreeChanged = true, true
	if p.withholdsState(now, d) {
		return p.enqueueWithheld(d)
	}
	frames, sent, err := p.fullState(loads)
	if err != nil {
		delete(p.links, d)
		p.keepers.subtreeChanged = true
		return err
	}
	for _, frame := range frames {
		d.enqueue(frame)
	}
	if first {
		p.sent = sent
	}
	return nil
}

// sentRevisions holds the revisions of the server view and the configuration that have been sent on
// all links.
type sentRevisions struct{ servers, config int }

// fullState returns the frames to send first on a new link, and their revisions. p.mu must be held.
func (p *Peers) fullState(loads []wire.ServerLoad) (frames [][]byte, sent sentRevisions, err error) {
	revision, value := p.Config()
	if revision > 0 {
		frame, err := p.configFrames.of(revision, value)
		if err != nil {
			return nil, sentRevisions{}, err
		}
		frames = append(frames, frame)
	}
	now := p.Now()
	states, servers := p.Servers.Since(now, 0)
	state := p.newFleetState(states)
	state.AgeMs, state.Vms, state.Full, state.Relayed = p.dataAgeMs(now), max(p.vms, 1), true, p.relaying
	state.ZzzzzzServerRevision = servers
	p.addLoadState(state, loads)
	state.ZStreamKeepers = p.fleetKeepers()
	state.ZzzzzServerPaces = p.allPaces(now)
	frame, err := link.Encode(&wire.Message{FleetState: state})
	if err != nil {
		return nil, sentRevisions{}, err
	}
	return append(frames, frame), sentRevisions{servers: servers, config: revision}, nil
}

// toldLoads returns the loads that are sent on the links.
func (p *Peers) toldLoads() []wire.ServerLoad {
	return loadList(pick.Busiest(p.totalLoads(), maxToldLoads))
}

func (p *Peers) newFleetState(states []backs.State) *wire.FleetState {
	version, record := p.Lease.LatestRecord()
	record.QuotaLevels, record.ZzDomainVms, record.ZzSettledVms = nil, nil, 0
	era, revision := store.SplitVersion(version)
	return &wire.FleetState{
		LeaseVersion: revision, ZzzzLeaseEra: era + 1, Lease: record, KnownMs: int(p.Servers.SyncedFor(p.Now()).Milliseconds()),
		Servers: stateList(states), Loads: []wire.ServerLoad{}, Relays: []wire.Relay{}, TightTeams: p.tightTeams(),
	}
}

// addLoadState adds the load, suspect requests, rate limits and relays to a frame. p.mu must be held.
func (p *Peers) addLoadState(state *wire.FleetState, loads []wire.ServerLoad) {
	state.Loads, state.HasLoads = loads, true
	state.PauseMs = int(loadInterval(len(p.links), p.vms).Milliseconds())
	state.Suspects = suspectList(p.Poison.Suspects(p.Now()))
	state.ZzzSuspectParts = suspectParts(p.PartTracker.Suspects(p.Now()), false)
	state.Limits = limitList(p.Limits.Rates())
	state.Relays = p.chooseRelays()
	state.VmsWithPath = p.announcedProxies()
}

// dataAgeMs returns the time in milliseconds since the store confirmed, to this VM or to the hub
// whose data it relays, that the data is current. p.mu must be held.
func (p *Peers) dataAgeMs(now time.Time) int {
	confirmedAt := p.hubConfirmedAt
	if own := p.ConfirmedAt(); own.After(confirmedAt) {
		confirmedAt = own
	}
	return int(now.Sub(confirmedAt).Milliseconds())
}

func (p *Peers) removeLink(d *downlink) {
	p.mu.Lock()
	delete(p.links, d)
	p.keepers.subtreeChanged = true
	relinked := false
	for other := range p.links {
		relinked = relinked || other.vm == d.vm
	}
	if !relinked {
		delete(p.subtrees, d.vm)
	}
	p.mu.Unlock()
	if !relinked {
		p.Controller.RemoveVM(d.vm)
	}
}

// handleMessage handles one message from a linked VM.
func (p *Peers) handleMessage(ctx context.Context, d *downlink, m *wire.Message) {
	if m.VMReport != nil {
		p.mergeCrashes(m.VMReport)
		p.PartTracker.AddReport(p.Now(), partReportOf(m.VMReport))
		p.Limits.AddReport(p.Now(), limitsOf(m.VMReport.Limits))
		p.Servers.AddLeaving(p.Now(), m.VMReport.WillExit)
		p.applyRejects(m.VMReport.ZRejectLimits, true)
		p.addPaceSamples(m.VMReport.ZzzzzPaceSamples)
	}
	defer p.mergeQuotaReport(m.VMReport)
	switch {
	case m.VMReport != nil && p.isRelaying():
		p.mergeReport(d.vm, m.VMReport)
	case m.VMReport != nil:
		p.mu.Lock()
		p.setSubtree(d.vm, subtreeOf(m.VMReport))
		p.mu.Unlock()
		p.Controller.RecordVMReport(p.Now(), d.vm, loadsOf(m.VMReport.Loads), demandOf(m.VMReport.Wants))
		p.Controller.RequireReports(m.VMReport.Doubts)
	case m.FindCall != nil:
		go p.answerFind(spans.Extract(ctx, m.Traceparent), d, m.FindCall)
	case m.PermitCall != nil:
		go p.answerPermit(spans.Extract(ctx, m.Traceparent), d, m.PermitCall)
	case m.QuotaCall != nil:
		go p.answerQuota(spans.Extract(ctx, m.Traceparent), d, m.QuotaCall)
	}
}

func (p *Peers) answerFind(ctx context.Context, d *downlink, call *wire.FindCall) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	ctx, span := spans.Start(ctx, "find", attribute.String("model", call.Model), attribute.String("adapter", call.Adapter))
	reply := &wire.FindReply{Call: call.Call}
	id, err := p.Find(ctx, backs.Need{Service: call.Service, Model: call.Model, Adapter: call.Adapter, Version: call.Version})
	spans.End(span, err)
	if err != nil {
		reply.Reason = err.Error()
	}
	reply.Server = id
	frame, err := link.Encode(&wire.Message{FindReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding a find reply failed")
		return
	}
	d.enqueueReply(frame)
}

// broadcast sends changes, lease renewals and, at intervals, the load on all links until ctx ends.
// Each frame is encoded once.
//
// It starts from the revisions that have been sent on all links, not from the current ones. VMs link
// before broadcast starts, and their links stay open when a relay becomes the controller. Changes
// made in between would otherwise never be sent.
func (p *Peers) broadcast(ctx context.Context, renewed <-chan struct{}) {
	lastLoad := p.Now()
	for ctx.Err() == nil {
		changed := p.Servers.Changed()
		configured := p.ConfigChanged()
		links := p.linkCount()
		interval := loadInterval(links, p.VMs())
		timer := time.NewTimer(interval)
		renewal, loadsDue := false, false
		select {
		case <-ctx.Done():
		case <-configured:
		case <-renewed:
			renewal = true
		case <-p.frameDue.raised():
			renewal = true
			if loadsDue = p.takeLoadsDue(); loadsDue {
				pause.For(ctx, loadsBatchDelay)
			}
		case <-changed:
			pause.For(ctx, batchDelay(links))
		case <-timer.C:
		}
		timer.Stop()
		now := p.Now()
		p.updateQuotaRole(now)
		sent := p.sentToAll()
		next := sent
		if revision, value := p.Config(); revision > sent.config {
			next.config = revision
			p.broadcastConfig(revision, value)
		}
		states, servers := p.Servers.Since(now, sent.servers)
		loadDue := loadsDue || now.Sub(lastLoad) >= interval
		if loadDue {
			lastLoad = now
			if p.isRelaying() {
				p.updateOtherLoads()
			}
		}
		if len(states) > 0 || renewal || loadDue {
			next.servers = servers
			p.broadcastFleetState(now, states, servers, loadDue)
		}
		p.setSent(next)
	}
}

// signalLoads makes broadcast announce the relays and proxies at once, which are sent with the loads. p.mu
// must be held.
func (p *Peers) signalLoads() {
	p.loadsDue = true
	p.frameDue.raise()
}

func (p *Peers) takeLoadsDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.loadsDue
	p.loadsDue = false
	return due
}

func (p *Peers) sentToAll() sentRevisions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

func (p *Peers) setSent(sent sentRevisions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = sent
}

// broadcastFleetState sends server states, the changes up to a revision, on all links, and with them the load if withLoad is set.
// The load is the larger part of a frame, and servers can change a hundred times per second.
func (p *Peers) broadcastFleetState(now time.Time, states []backs.State, revision int, withLoad bool) {
	state := p.newFleetState(states)
	state.ZzzzzzServerRevision = revision
	state.ZRejectLimits = p.takeRejectsDown(now)
	var loads []wire.ServerLoad
	if withLoad {
		loads = p.toldLoads()
	}
	vms := p.VMs()
	p.mu.Lock()
	state.AgeMs, state.Vms, state.Relayed = p.dataAgeMs(now), vms, p.relaying
	if withLoad {
		p.addLoadState(state, loads)
		state.ZStreamKeepers = p.takeChangedKeepers()
		state.ZzzzzServerPaces = p.takePacesDown(now)
		p.tellWithheld(now)
	}
	p.mu.Unlock()
	frame, err := link.Encode(&wire.Message{FleetState: state})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding the fleet state failed")
		return
	}
	p.enqueueAll(frame)
}

func (p *Peers) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Peers) broadcastConfig(revision int, value []byte) {
	frame, err := p.configFrames.of(revision, value)
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding the configuration failed")
		return
	}
	p.enqueueAll(frame)
}

func (p *Peers) enqueueAll(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := range p.links {
		if d.withheldSince.IsZero() {
			d.enqueue(frame)
		}
	}
}
