package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/member"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	listInterval = 2 * time.Second
	listTimeout  = 2 * time.Second
	sendTimeout  = 2 * time.Second
	// listers is how many VMs of a failure domain ask the platform for its list
	// of VMs, and watchers how many hold its watches.
	listers  = 2
	watchers = 2
)

// peers keeps the list of VMs by passing heartbeats on, and carries what VMs
// tell each other. Links are opened when they are needed and kept.
type peers struct {
	d      *Daemon
	dialer *link.Dialer
	calls  calls
	// others is read with each request, and so not under mu.
	others atomic.Pointer[otherDemand]
	// started is the incarnation of this run.
	started int

	mu      sync.Mutex
	list    member.List
	rng     *rand.Rand
	links   map[string]*peerLink // by address
	offered map[string]time.Time // by address
}

// peerLink is a link that this VM opened, or is opening while conn is nil.
type peerLink struct {
	conn   *link.Conn
	cancel context.CancelFunc
	used   time.Time
}

// idleLimit is how long a link stays open without being used.
const idleLimit = 20 * time.Second

func newPeers(d *Daemon) *peers {
	p := &peers{
		d: d, started: int(d.now().UnixMilli()), rng: rand.New(rand.NewPCG(d.config.Seed, 2)),
		links: make(map[string]*peerLink), offered: make(map[string]time.Time),
		list: member.List{Name: d.config.Name, Domain: d.config.FailureDomain, DeadAfter: d.config.DeadAfter, Fanout: d.config.Fanout},
	}
	p.others.Store(&otherDemand{})
	p.dialer = &link.Dialer{Hello: p.hello, Key: d.config.Keys.Peer, TLS: d.config.TLS, MaxFrameBytes: d.config.MaxFrameBytes, DialContext: d.config.PeerDial, CountBytes: p.countBytes}
	return p
}

func (p *peers) hello() wire.Hello {
	return wire.Hello{Protocol: link.Protocol, Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, Boot: p.d.boot}
}

func (p *peers) countBytes(sent, received int) {
	p.d.meter.AddCounter("peers.bytes_sent", int64(sent))
	p.d.meter.AddCounter("peers.bytes_received", int64(received))
}

// run passes heartbeats on until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.list.MergePlatformList(p.d.now(), p.d.config.Seeds)
	p.mu.Unlock()
	var listed time.Time
	for {
		if now := p.d.now(); now.Sub(listed) >= listInterval && p.asksPlatform(now) {
			listed = now
			go p.refresh(ctx)
		}
		p.round(ctx)
		if !pause.For(ctx, p.d.config.Heartbeat) {
			break
		}
	}
	p.closeAll()
}

// asksPlatform reports whether this VM is to ask the platform for the list of
// VMs: as one of the few of its domain, or when it knows nobody.
func (p *peers) asksPlatform(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Elected(now, "list", listers) || len(p.list.ActiveVMs(now, "")) <= 1
}

// refresh takes in the platform's list.
func (p *peers) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := p.d.store.VMs(ctx)
	if err != nil {
		p.d.meter.AddCounter("peers.list_failed", 1)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.MergePlatformList(p.d.now(), vms)
}

// round sends one round of heartbeats.
func (p *peers) round(ctx context.Context) {
	demand, models, hash := p.d.admit.demand(), p.d.usage.demand(p.d.now()), p.d.configs.Hash()
	now := p.d.now()
	state := wire.HeartbeatStateAlive
	if p.d.stopping.Load() {
		state = wire.HeartbeatStateLeaving
	}
	p.mu.Lock()
	p.list.BeginRound(now, wire.Heartbeat{
		Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, PeerAddress: p.d.peerAddr,
		Incarnation: p.started, State: state, ConfigHash: hash, Demand: demand, Models: models,
	})
	targets := p.list.GossipTargets(now, p.rng)
	message := &wire.Message{Gossip: &wire.Gossip{Heartbeats: p.list.Batch(p.gossipBytes(), beatBytes)}}
	p.others.Store(p.sumDemand(now))
	p.closeIdle(now)
	p.mu.Unlock()
	for _, address := range targets {
		go p.sendTo(ctx, address, message)
	}
}

// defaultGossipBytes bounds the heartbeats in one frame.
const defaultGossipBytes = 700

func (p *peers) gossipBytes() int {
	if n := p.d.config.GossipBytes; n > 0 {
		return n
	}
	return defaultGossipBytes
}

// beatBytes is the size of a heartbeat in a frame, within a few bytes.
func beatBytes(b wire.Heartbeat) int {
	const fields = 40
	n := fields + len(b.Node) + len(b.FailureDomain) + len(b.PeerAddress)
	for _, d := range b.Demand {
		n += 6 + len(d.Name)
	}
	for _, m := range b.Models {
		n += 8 + len(m.Model)
	}
	return n
}

// announce tells other VMs at once that this one is leaving.
func (p *peers) announce(ctx context.Context) { p.round(ctx) }

// share returns this VM's part of a profile's fleet-wide limit.
func (p *peers) share(profile hibiscuscart.Profile, own int) int {
	others := p.others.Load()
	return admit.Share(profile.ConcurrencyLimit(), others.vms+1, own, []int{others.requests[profile.Name()]})
}

// otherDemand is the demand at the other VMs, as of the last round.
type otherDemand struct {
	vms      int
	requests map[string]int
}

// sumDemand adds up the demand at the other VMs. One that is silent counts as a
// VM, as it may still be serving. The caller holds p.mu.
func (p *peers) sumDemand(now time.Time) *otherDemand {
	others := &otherDemand{requests: make(map[string]int)}
	for _, b := range p.list.Heartbeats() {
		if b.State == wire.HeartbeatStateDead || b.Incarnation == 0 {
			continue
		}
		others.vms++
		if !p.list.Alive(now, b.Node) {
			continue
		}
		for _, demand := range b.Demand {
			others.requests[demand.Name] += demand.Requests
		}
	}
	return others
}

// modelDemand returns the load offered for each model by the failure domain of
// the VMs that it came to, this one's too.
func (p *peers) modelDemand() map[string]map[string]float64 {
	demand := make(map[string]map[string]float64)
	add := func(domain string, models []wire.ModelDemand) {
		if demand[domain] == nil {
			demand[domain] = make(map[string]float64)
		}
		for _, m := range models {
			demand[domain][m.Model] += float64(m.Load) / milli
		}
	}
	add(p.d.config.FailureDomain, p.d.usage.demand(p.d.now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.list.Heartbeats() {
		if p.list.Alive(p.d.now(), b.Node) {
			add(b.FailureDomain, b.Models)
		}
	}
	return demand
}

// liveNodes returns this VM and the others that are alive and not leaving.
func (p *peers) liveNodes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.ActiveVMs(p.d.now(), "")
}

// elected reports whether this VM is among the few of its domain for a job.
func (p *peers) elected(job string, count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Elected(p.d.now(), job, count)
}

// targets returns the addresses that a piece of news is passed on to.
func (p *peers) targets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.UrgentTargets(p.d.now(), p.rng)
}

// serve handles a link that a peer or an operator opened, until it ends or the
// VM does: the HTTP server does not close such connections.
func (p *peers) serve(ctx context.Context, conn *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.d.base, cancel)()
	p.receive(ctx, conn)
}

// receive handles the frames of a link until it ends.
func (p *peers) receive(ctx context.Context, conn *link.Conn) {
	for {
		m, err := conn.Receive(ctx)
		if trace.IsBadParameter(err) {
			p.d.meter.AddCounter("peers.frames_refused", 1)
		}
		if err != nil {
			return
		}
		if err := p.handle(ctx, conn, m); err != nil {
			p.d.log.Warn().Err(err).Str("peer", conn.PeerHello().Node).Msg("link ended")
			return
		}
	}
}

func (p *peers) handle(ctx context.Context, conn *link.Conn, m *wire.Message) error {
	if m.FleetQuery != nil {
		return conn.Send(ctx, &wire.Message{FleetReply: p.status(m.FleetQuery.Servers)})
	}
	if m.Refusal != nil {
		return errors.New(m.Refusal.Reason)
	}
	if conn.Role() != link.RolePeer {
		p.d.meter.AddCounter("peers.frames_refused", 1)
		return trace.AccessDenied("a frame that an operator may not send")
	}
	switch {
	case m.Gossip != nil:
		return p.heard(ctx, conn, m.Gossip)
	case m.Offer != nil:
		return p.compare(ctx, conn, m.Offer)
	case m.Pull != nil:
		return p.push(ctx, conn, m.Pull.Names)
	case m.Push != nil:
		p.d.adopt(m.Push.Name, m.Push.Version, m.Push.Document)
	case m.ClaimCall != nil:
		go func() {
			reply := p.d.claimer.serve(spans.Extract(ctx, m.Traceparent), m.ClaimCall)
			_ = conn.Send(ctx, &wire.Message{ClaimReply: reply})
		}()
	case m.ClaimReply != nil:
		p.calls.reply(m.ClaimReply)
	default:
		p.d.meter.AddCounter("peers.frames_refused", 1)
		return trace.BadParameter("a frame that has no place here")
	}
	return nil
}

// offerInterval is the least time between two offers to one VM.
const offerInterval = time.Second

// heard takes in heartbeats. When the sender's configuration is another one
// than this VM's, the versions are compared.
func (p *peers) heard(ctx context.Context, conn *link.Conn, g *wire.Gossip) error {
	now := p.d.now()
	p.mu.Lock()
	p.list.Merge(now, g.Heartbeats)
	offer := false
	if len(g.Heartbeats) > 0 && g.Heartbeats[0].ConfigHash != p.d.configs.Hash() {
		from := g.Heartbeats[0].Node
		offer = now.Sub(p.offered[from]) >= offerInterval
		if offer {
			p.offered[from] = now
		}
	}
	p.mu.Unlock()
	if !offer {
		p.d.caughtUp(len(g.Heartbeats) > 0)
		return nil
	}
	return conn.Send(ctx, &wire.Message{Offer: &wire.Offer{Versions: p.d.configs.Versions()}})
}

// compare pushes what this VM has in a higher version than was offered, and
// pulls what was offered in a higher one.
func (p *peers) compare(ctx context.Context, conn *link.Conn, offer *wire.Offer) error {
	newer, older := p.d.configs.Compare(offer.Versions)
	if err := p.push(ctx, conn, newer); err != nil {
		return err
	}
	if len(older) == 0 {
		return nil
	}
	return conn.Send(ctx, &wire.Message{Pull: &wire.Pull{Names: older}})
}

func (p *peers) push(ctx context.Context, conn *link.Conn, names []string) error {
	for _, name := range names {
		push, ok := p.d.configs.Document(name)
		if !ok {
			continue
		}
		if err := conn.Send(ctx, &wire.Message{Push: push}); err != nil {
			return err
		}
	}
	return nil
}

// spread passes a document on at once, so that a change need not wait for the
// next rounds.
func (p *peers) spread(ctx context.Context, name string) {
	push, ok := p.d.configs.Document(name)
	if !ok {
		return
	}
	for _, address := range p.targets() {
		go p.sendTo(ctx, address, &wire.Message{Push: push})
	}
}

// status returns what this VM sees of the fleet.
func (p *peers) status(servers bool) *wire.FleetReply {
	own := wire.NodeStatus{
		Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, PeerAddress: p.d.peerAddr,
		State: wire.NodeStatusStateLive, Versions: p.d.configs.Versions(),
	}
	if p.d.stopping.Load() {
		own.State = wire.NodeStatusStateLeaving
	}
	reply := &wire.FleetReply{Node: p.d.config.Name, Nodes: []wire.NodeStatus{own}, Servers: []wire.ServerStatus{}}
	now := p.d.now()
	p.mu.Lock()
	for _, b := range p.list.Heartbeats() {
		reply.Nodes = append(reply.Nodes, wire.NodeStatus{
			Node: b.Node, FailureDomain: b.FailureDomain, PeerAddress: b.PeerAddress,
			State: nodeState(b, p.list.Alive(now, b.Node)), Versions: []wire.ProfileVersion{},
		})
	}
	p.mu.Unlock()
	if servers {
		reply.Servers = p.d.fleet.Status(now)
	}
	return reply
}

func nodeState(b wire.Heartbeat, alive bool) wire.NodeStatusState {
	switch {
	case !alive:
		return wire.NodeStatusStateUnknown
	case b.State == wire.HeartbeatStateLeaving:
		return wire.NodeStatusStateLeaving
	}
	return wire.NodeStatusStateLive
}
