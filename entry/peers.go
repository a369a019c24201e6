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
	// platformListers is how many VMs of a failure domain poll the platform for
	// its list of VMs, and platformWatchers is how many hold its watches.
	platformListers  = 2
	platformWatchers = 2
)

// peers maintains the list of VMs by gossiping heartbeats and exchanges
// messages with other VMs. Links are opened on demand and stay open until they
// are idle.
type peers struct {
	d          *Daemon
	dialer     *link.Dialer
	claimCalls pendingCalls
	// remoteDemand is read for each request and therefore not guarded by mu.
	remoteDemand atomic.Pointer[remoteDemand]
	// incarnation identifies this run of the process: its start time in
	// milliseconds.
	incarnation int

	mu          sync.Mutex
	list        member.List
	rng         *rand.Rand
	links       map[string]*peerLink // by address
	lastOfferAt map[string]time.Time // by VM name
}

// peerLink is a link that this VM opened. Its conn is nil while the link is
// being opened.
type peerLink struct {
	conn       *link.Conn
	cancel     context.CancelFunc
	lastUsedAt time.Time
}

// linkIdleTimeout is how long an unused link stays open.
const linkIdleTimeout = 20 * time.Second

func newPeers(d *Daemon) *peers {
	p := &peers{
		d: d, incarnation: int(d.now().UnixMilli()), rng: rand.New(rand.NewPCG(d.config.RandomSeed, 2)),
		links: make(map[string]*peerLink), lastOfferAt: make(map[string]time.Time),
		list: member.List{Name: d.config.Name, Domain: d.config.FailureDomain, DeadAfter: d.config.DeadAfter, Fanout: d.config.Fanout},
	}
	p.remoteDemand.Store(&remoteDemand{})
	p.dialer = &link.Dialer{Hello: p.hello, Key: d.config.LinkKeys.Peer, TLS: d.config.TLS, MaxFrameBytes: d.config.MaxFrameBytes, DialContext: d.config.PeerDial, CountBytes: p.countBytes}
	return p
}

func (p *peers) hello() wire.Hello {
	return wire.Hello{Protocol: link.Protocol, Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, Boot: p.d.bootID}
}

func (p *peers) countBytes(_ string, sent, received int) {
	p.d.meter.AddCounter("peers.bytes_sent", int64(sent))
	p.d.meter.AddCounter("peers.bytes_received", int64(received))
}

// run gossips heartbeats until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.list.MergePlatformList(p.d.now(), p.d.config.SeedVMs)
	p.mu.Unlock()
	var listedAt time.Time
	for {
		if now := p.d.now(); now.Sub(listedAt) >= listInterval && p.shouldListVMs(now) {
			listedAt = now
			go p.refreshVMList(ctx)
		}
		p.gossipRound(ctx)
		if !pause.For(ctx, p.d.config.HeartbeatInterval) {
			break
		}
	}
	p.closeAll()
}

// shouldListVMs reports whether this VM polls the platform for the list of VMs:
// as one of the elected VMs of its domain, or when it has no live peers.
func (p *peers) shouldListVMs(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Elected(now, "list", platformListers) || len(p.list.ActiveVMs(now, "")) <= 1
}

// refreshVMList merges the platform's list of VMs.
func (p *peers) refreshVMList(ctx context.Context) {
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

// gossipRound sends one round of heartbeats.
func (p *peers) gossipRound(ctx context.Context) {
	demand, models, hash := p.d.admission.demand(), p.d.offeredLoads.snapshot(p.d.now()), p.d.activeConfig.Hash()
	now := p.d.now()
	state := wire.HeartbeatStateAlive
	if p.d.stopping.Load() {
		state = wire.HeartbeatStateLeaving
	}
	p.mu.Lock()
	p.list.BeginRound(now, wire.Heartbeat{
		Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, PeerAddress: p.d.peerAddr,
		Incarnation: p.incarnation, State: state, ConfigHash: hash, Demand: demand, Models: models,
	})
	targets := p.list.GossipTargets(now, p.rng)
	message := &wire.Message{Gossip: &wire.Gossip{Heartbeats: p.list.Batch(p.gossipBytes(), heartbeatBytes)}}
	p.remoteDemand.Store(p.sumRemoteDemand(now))
	p.closeIdle(now)
	p.mu.Unlock()
	for _, address := range targets {
		go p.sendMessage(ctx, address, message)
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

// heartbeatBytes estimates the encoded size of a heartbeat to within a few
// bytes.
func heartbeatBytes(h wire.Heartbeat) int {
	const fixedFieldBytes = 40
	n := fixedFieldBytes + len(h.Node) + len(h.FailureDomain) + len(h.PeerAddress)
	for _, d := range h.Demand {
		n += 6 + len(d.Name)
	}
	for _, m := range h.Models {
		n += 8 + len(m.Model)
	}
	return n
}

// announceLeaving notifies other VMs at once that this VM is leaving.
func (p *peers) announceLeaving(ctx context.Context) { p.gossipRound(ctx) }

// concurrencyShare returns this VM's share of a profile's fleet-wide limit.
func (p *peers) concurrencyShare(profile hibiscuscart.Profile, localDemand int) int {
	others := p.remoteDemand.Load()
	return admit.Share(profile.ConcurrencyLimit(), others.vms+1, localDemand, []int{others.requests[profile.Name()]})
}

// remoteDemand is the demand at the other VMs, as of the last gossip round.
type remoteDemand struct {
	vms      int
	requests map[string]int
}

// sumRemoteDemand adds up the demand at the other VMs. A silent VM counts as a
// VM, as it may still be serving. The caller holds p.mu.
func (p *peers) sumRemoteDemand(now time.Time) *remoteDemand {
	others := &remoteDemand{requests: make(map[string]int)}
	for _, h := range p.list.Heartbeats() {
		if h.State == wire.HeartbeatStateDead || h.Incarnation == 0 {
			continue
		}
		others.vms++
		if !p.list.Alive(now, h.Node) {
			continue
		}
		for _, demand := range h.Demand {
			others.requests[demand.Name] += demand.Requests
		}
	}
	return others
}

// modelDemand returns the offered load of each model, by the failure domain of
// the VMs that received the requests, including this VM.
func (p *peers) modelDemand() map[string]map[string]float64 {
	demand := make(map[string]map[string]float64)
	add := func(domain string, models []wire.ModelDemand) {
		if demand[domain] == nil {
			demand[domain] = make(map[string]float64)
		}
		for _, m := range models {
			demand[domain][m.Model] += float64(m.Load) / loadScale
		}
	}
	add(p.d.config.FailureDomain, p.d.offeredLoads.snapshot(p.d.now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.list.Heartbeats() {
		if p.list.Alive(p.d.now(), h.Node) {
			add(h.FailureDomain, h.Models)
		}
	}
	return demand
}

// activeVMs returns this VM and the others that are alive and not leaving.
func (p *peers) activeVMs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.ActiveVMs(p.d.now(), "")
}

// elected reports whether this VM is one of the count VMs of its domain that
// are elected for a job.
func (p *peers) elected(job string, count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Elected(p.d.now(), job, count)
}

// urgentTargets returns the addresses of the peers that receive an urgent
// update.
func (p *peers) urgentTargets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.UrgentTargets(p.d.now(), p.rng)
}

// serve handles a link that a peer or an operator opened, until the link ends
// or the VM stops. The HTTP server does not close such connections.
func (p *peers) serve(ctx context.Context, conn *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.d.baseCtx, cancel)()
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
		return conn.Send(ctx, &wire.Message{FleetReply: p.fleetStatus(m.FleetQuery.Servers)})
	}
	if m.Refusal != nil {
		return errors.New(m.Refusal.Reason)
	}
	if conn.Role() != link.RolePeer {
		p.d.meter.AddCounter("peers.frames_refused", 1)
		return trace.AccessDenied("operators may not send this type of frame")
	}
	switch {
	case m.Gossip != nil:
		return p.mergeHeartbeats(ctx, conn, m.Gossip)
	case m.Offer != nil:
		return p.compareVersions(ctx, conn, m.Offer)
	case m.Pull != nil:
		return p.pushDocuments(ctx, conn, m.Pull.Names)
	case m.Push != nil:
		p.d.applyDocument(m.Push.Name, m.Push.Version, m.Push.Document)
	case m.ClaimCall != nil:
		go func() {
			if reply := p.d.claimer.handleCall(spans.Extract(ctx, m.Traceparent), m.ClaimCall); reply != nil {
				_ = conn.Send(ctx, &wire.Message{ClaimReply: reply})
			}
		}()
	case m.ClaimReply != nil:
		p.claimCalls.deliver(m.ClaimReply)
	default:
		p.d.meter.AddCounter("peers.frames_refused", 1)
		return trace.BadParameter("unexpected type of frame")
	}
	return nil
}

// offerInterval is the minimum time between two offers to one VM.
const offerInterval = time.Second

// mergeHeartbeats merges received heartbeats. When the sender has another
// configuration than this VM, the VM offers its versions for comparison.
func (p *peers) mergeHeartbeats(ctx context.Context, conn *link.Conn, g *wire.Gossip) error {
	now := p.d.now()
	p.mu.Lock()
	p.list.Merge(now, g.Heartbeats)
	offer := false
	if len(g.Heartbeats) > 0 && g.Heartbeats[0].ConfigHash != p.d.activeConfig.Hash() {
		from := g.Heartbeats[0].Node
		offer = now.Sub(p.lastOfferAt[from]) >= offerInterval
		if offer {
			p.lastOfferAt[from] = now
		}
	}
	p.mu.Unlock()
	if !offer {
		p.d.markSynced(len(g.Heartbeats) > 0)
		return nil
	}
	return conn.Send(ctx, &wire.Message{Offer: &wire.Offer{Versions: p.d.activeConfig.Versions()}})
}

// compareVersions pushes the documents whose local version is higher than the
// offered one, and pulls those whose offered version is higher.
func (p *peers) compareVersions(ctx context.Context, conn *link.Conn, offer *wire.Offer) error {
	newer, older := p.d.activeConfig.Compare(offer.Versions)
	if err := p.pushDocuments(ctx, conn, newer); err != nil {
		return err
	}
	if len(older) == 0 {
		return nil
	}
	return conn.Send(ctx, &wire.Message{Pull: &wire.Pull{Names: older}})
}

func (p *peers) pushDocuments(ctx context.Context, conn *link.Conn, names []string) error {
	for _, name := range names {
		push, ok := p.d.activeConfig.Document(name)
		if !ok {
			continue
		}
		if err := conn.Send(ctx, &wire.Message{Push: push}); err != nil {
			return err
		}
	}
	return nil
}

// broadcast sends a document to peers at once, so that a change need not wait
// for the next gossip rounds.
func (p *peers) broadcast(ctx context.Context, name string) {
	push, ok := p.d.activeConfig.Document(name)
	if !ok {
		return
	}
	for _, address := range p.urgentTargets() {
		go p.sendMessage(ctx, address, &wire.Message{Push: push})
	}
}

// fleetStatus returns the state of the fleet as this VM observes it.
func (p *peers) fleetStatus(servers bool) *wire.FleetReply {
	own := wire.NodeStatus{
		Node: p.d.config.Name, FailureDomain: p.d.config.FailureDomain, PeerAddress: p.d.peerAddr,
		State: wire.NodeStatusStateLive, Versions: p.d.activeConfig.Versions(),
	}
	if p.d.stopping.Load() {
		own.State = wire.NodeStatusStateLeaving
	}
	reply := &wire.FleetReply{Node: p.d.config.Name, Nodes: []wire.NodeStatus{own}, Servers: []wire.ServerStatus{}}
	now := p.d.now()
	p.mu.Lock()
	for _, h := range p.list.Heartbeats() {
		reply.Nodes = append(reply.Nodes, wire.NodeStatus{
			Node: h.Node, FailureDomain: h.FailureDomain, PeerAddress: h.PeerAddress,
			State: nodeState(h, p.list.Alive(now, h.Node)), Versions: []wire.ProfileVersion{},
		})
	}
	p.mu.Unlock()
	if servers {
		reply.Servers = p.d.fleet.Status(now)
	}
	return reply
}

func nodeState(h wire.Heartbeat, alive bool) wire.NodeStatusState {
	switch {
	case !alive:
		return wire.NodeStatusStateUnknown
	case h.State == wire.HeartbeatStateLeaving:
		return wire.NodeStatusStateLeaving
	}
	return wire.NodeStatusStateLive
}
