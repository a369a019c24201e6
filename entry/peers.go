package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

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
	p.dialer = &link.Dialer{
		Hello: p.hello, Key: d.config.LinkKeys.Peer, TLS: d.config.TLS, MaxFrameBytes: d.config.MaxFrameBytes,
		DialContext: d.config.PeerDial, CountBytes: p.countBytes,
	}
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
