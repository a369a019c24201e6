package peers

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// findLimit bounds the controller's work for one question; the VM that asks
	// has given up by then.
	findLimit = 10 * time.Second
	// gatherLeast and gatherMost bound how long a change waits for others that
	// follow, so that they go out in one frame; gatherPerLink is by how much it
	// grows with the links. While dozens of servers restart there is a change every
	// few milliseconds, and a frame for each to every VM fills the links of the
	// weak ones.
	gatherLeast   = 10 * time.Millisecond
	gatherMost    = 60 * time.Millisecond
	gatherPerLink = 2 * time.Millisecond
)

// gather returns how long a change waits for others, by the number of links.
func gather(links int) time.Duration {
	return min(max(gatherLeast, time.Duration(links)*gatherPerLink), gatherMost)
}

// serveLink is the hub's side of a link, from its opening to its end.
func (p *Peers) serveLink(ctx context.Context, c *link.Conn) {
	d := newDownlink(c)
	if err := p.addLink(d); err != nil {
		p.Log.Info().Str("peer", d.vm).Err(err).Msg("link not taken")
		return
	}
	p.Log.Info().Str("peer", d.vm).Msg("link opened")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := d.write(ctx, p.catchUp); err != nil {
			p.Log.Info().Str("peer", d.vm).Err(err).Msg("link not written")
			d.conn.Close()
		}
	}()
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			p.dropLink(d)
			p.Log.Info().Str("peer", d.vm).Err(err).Msg("link closed")
			return
		}
		p.take(ctx, d, m)
	}
}

// catchUp returns the frames that tell everything.
func (p *Peers) catchUp() ([][]byte, error) {
	loads := loadList(p.totals())
	p.mu.Lock()
	defer p.mu.Unlock()
	frames, _, err := p.wholeView(loads)
	return frames, err
}

var errWeaker = errors.New("the VM is far stronger than this relay, and is to link to the controller")

// addLink begins a link with the whole view; what changes follows.
func (p *Peers) addLink(d *downlink) error {
	loads := loadList(p.totals())
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if !p.Lease.Held(now) && !p.relaying {
		return errNoController
	}
	if p.relaying && p.yields(now, d.conn.PeerHello()) {
		return errWeaker
	}
	first, at, err := p.wholeView(loads)
	if err != nil {
		return err
	}
	for _, frame := range first {
		d.offer(frame)
	}
	if len(p.links) == 0 {
		p.shown = at
	}
	if p.links == nil {
		p.links = make(map[*downlink]bool)
	}
	p.links[d] = true
	return nil
}

// shown are the revisions that all links have been told: of the view of servers, and of the
// configuration.
type shown struct{ servers, config int }

// wholeView returns the frames that a new link begins with, and what they tell. p.mu is held.
func (p *Peers) wholeView(loads []wire.ServerLoad) (frames [][]byte, at shown, err error) {
	revision, value := p.Config()
	if revision > 0 {
		frame, err := configFrame(revision, value)
		if err != nil {
			return nil, shown{}, err
		}
		frames = append(frames, frame)
	}
	now := p.Now()
	states, servers := p.Servers.Since(now, 0)
	state := p.fleetState(states)
	state.AgeMs, state.Vms, state.Full, state.Relayed = p.age(now), max(p.vms, 1), true, p.relaying
	p.addLoad(state, loads)
	frame, err := link.Encode(&wire.Message{FleetState: state})
	if err != nil {
		return nil, shown{}, err
	}
	return append(frames, frame), shown{servers: servers, config: revision}, nil
}

func (p *Peers) fleetState(states []backs.State) *wire.FleetState {
	version, record := p.Lease.Renewed()
	return &wire.FleetState{
		LeaseVersion: version, Lease: record, KnownMs: int(p.Servers.SyncedFor(p.Now()).Milliseconds()),
		Servers: statesOf(states), Loads: []wire.ServerLoad{}, Relays: []wire.Relay{},
	}
}

// addLoad adds to a frame what is told with the load. p.mu is held.
func (p *Peers) addLoad(state *wire.FleetState, loads []wire.ServerLoad) {
	state.Loads, state.HasLoads = loads, true
	state.PauseMs = int(interval(len(p.links)).Milliseconds())
	state.Suspects = suspectList(p.Poison.Suspects(p.Now()))
	state.Limits = limitList(p.Limits.Rates())
	state.Relays = p.relays
	if !p.relaying {
		state.Relays = p.chooseRelays()
	}
}

// age returns the time in milliseconds since the store told, this VM or the one
// whose word it passes on, that what it knows is current. p.mu is held.
func (p *Peers) age(now time.Time) int {
	fresh := p.fresh
	if own := p.Current(); own.After(fresh) {
		fresh = own
	}
	return int(now.Sub(fresh).Milliseconds())
}

func (p *Peers) dropLink(d *downlink) {
	p.mu.Lock()
	delete(p.links, d)
	again := false
	for other := range p.links {
		again = again || other.vm == d.vm
	}
	if !again {
		delete(p.branches, d.vm)
	}
	p.mu.Unlock()
	if !again {
		p.Controller.Left(d.vm)
	}
}

// take handles one frame of another VM.
func (p *Peers) take(ctx context.Context, d *downlink, m *wire.Message) {
	if m.VMReport != nil {
		p.mergeCrashes(m.VMReport)
		p.Limits.AddReport(p.Now(), limitsOf(m.VMReport.Limits))
	}
	switch {
	case m.VMReport != nil && p.isRelaying():
		p.branchReport(d.vm, m.VMReport)
	case m.VMReport != nil:
		p.mu.Lock()
		p.noteBranch(d.vm, branch{vms: m.VMReport.Vms, relaying: m.VMReport.Relaying})
		p.mu.Unlock()
		p.Controller.Report(p.Now(), d.vm, loadsOf(m.VMReport.Loads), wantsOf(m.VMReport.Wants))
		p.Controller.Doubt(m.VMReport.Doubts)
	case m.FindCall != nil:
		go p.answerFind(spans.Extract(ctx, m.Traceparent), d, m.FindCall)
	case m.PermitCall != nil:
		go p.answerPermit(spans.Extract(ctx, m.Traceparent), d, m.PermitCall)
	}
}

func (p *Peers) answerFind(ctx context.Context, d *downlink, call *wire.FindCall) {
	ctx, cancel := context.WithTimeout(ctx, findLimit)
	defer cancel()
	ctx, span := spans.Start(ctx, "find", attribute.String("model", call.Model), attribute.String("adapter", call.Adapter))
	reply := &wire.FindReply{Call: call.Call}
	id, err := p.Find(ctx, call.Service, call.Model, call.Adapter)
	spans.End(span, err)
	if err != nil {
		reply.Reason = err.Error()
	}
	reply.Server = id
	frame, err := link.Encode(&wire.Message{FindReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("reply to a VM not sent")
		return
	}
	d.reply(frame)
}

// broadcast tells all links what changes, each renewal of the lease, and at
// intervals the load, until ctx ends. Each frame is encoded once.
//
// Changes are told from what all links have been shown, whenever this begins: VMs link before
// it does, and keep their links when a relay becomes the controller. A change in between would
// never be told.
func (p *Peers) broadcast(ctx context.Context, renewed <-chan struct{}) {
	last := p.Now()
	for ctx.Err() == nil {
		changed := p.Servers.Changed()
		configured := p.ConfigChanged()
		links := p.linkCount()
		every := interval(links)
		wait := time.NewTimer(every)
		renewal := false
		select {
		case <-ctx.Done():
		case <-configured:
		case <-renewed:
			renewal = true
		case <-changed:
			pause.For(ctx, gather(links))
		case <-wait.C:
		}
		wait.Stop()
		now := p.Now()
		before := p.shownToAll()
		next := before
		if at, value := p.Config(); at > before.config {
			next.config = at
			p.tellConfig(at, value)
		}
		states, servers := p.Servers.Since(now, before.servers)
		due := now.Sub(last) >= every
		if due {
			last = now
			if p.isRelaying() {
				p.shareInside()
			}
		}
		if len(states) > 0 || renewal || due {
			next.servers = servers
			p.tellFleet(now, states, due)
		}
		p.show(next)
	}
}

func (p *Peers) shownToAll() shown {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shown
}

func (p *Peers) show(at shown) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shown = at
}

// tellFleet tells of servers, and of their load when it is due: it is the larger
// part of a frame, and changes of servers can come a hundred times a second.
func (p *Peers) tellFleet(now time.Time, states []backs.State, load bool) {
	state := p.fleetState(states)
	var loads []wire.ServerLoad
	if load {
		loads = loadList(p.totals())
	}
	vms := p.VMs()
	p.mu.Lock()
	state.AgeMs, state.Vms, state.Relayed = p.age(now), vms, p.relaying
	if load {
		p.addLoad(state, loads)
	}
	p.mu.Unlock()
	frame, err := link.Encode(&wire.Message{FleetState: state})
	if err != nil {
		p.Log.Error().Err(err).Msg("view not told")
		return
	}
	p.offerAll(frame)
}

func (p *Peers) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Peers) tellConfig(revision int, value []byte) {
	frame, err := configFrame(revision, value)
	if err != nil {
		p.Log.Error().Err(err).Msg("configuration not told")
		return
	}
	p.offerAll(frame)
}

func (p *Peers) offerAll(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := range p.links {
		d.offer(frame)
	}
}
