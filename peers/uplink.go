package peers

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// uplink is a VM's link to its hub: the controller, or a relay.
type uplink struct {
	conn    *link.Conn
	address string
	// direct is set if the hub is the controller. A relay may become the controller.
	direct bool
	// openedAt is when the link was opened. complete is set once the full state has been received.
	// Changes mean nothing before.
	openedAt time.Time
	complete bool
	// withoutVersions is set if the hub does not tell the software versions of servers, as older builds do.
	// This VM then reads the store itself.
	withoutVersions bool
	// moving is set when this VM closes the link to open one to a relay.
	moving bool

	mu sync.Mutex
	// lastLeaseVersion is the version of the controller's lease last received from the hub.
	lastLeaseVersion int
	// reported is the load last reported to the hub, which is included in the hub's sums.
	reported map[string]pick.Load

	calls calls
	idle  idleWait
}

func (u *uplink) close() {
	u.conn.Close()
	u.calls.close()
}

// linkEnd is how a link to a hub ended.
type linkEnd int

const (
	// linkFailed means that the link could not be opened.
	linkFailed linkEnd = iota
	linkLost
	// linkDenied means that the hub refused the key: the lease record that named it is outdated.
	linkDenied
	// linkMoved means that this VM closed the link to open one to a relay.
	linkMoved
)

// followHub links to a hub and receives its data until the link ends.
func (p *Peers) followHub(ctx context.Context, address, controller, key string) linkEnd {
	dialer := &link.Dialer{Hello: p.hello, Key: key, CountBytes: p.countBytes, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return p.dial(ctx, address)
	}}
	dialCtx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	conn, err := dialer.Dial(dialCtx, address)
	cancel()
	if err != nil {
		p.Log.Info().Str("address", address).Err(err).Msg("opening a link to the hub failed")
		if address != controller {
			p.recordLostRelay(p.Now(), address)
		}
		if trace.IsAccessDenied(err) {
			return linkDenied
		}
		return linkFailed
	}
	up := &uplink{conn: conn, address: address, openedAt: p.Now(), direct: address == controller}
	p.setUplink(up)
	p.Log.Info().Str("address", address).Str("peer", conn.PeerHello().Node).Bool("direct", up.direct).Msg("linked to the hub")
	root := ctx
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	go p.reportToHub(ctx, up)
	go p.monitorLease(ctx, up)
	err = p.receiveFrames(ctx, root, up)
	p.setUplink(nil)
	up.close()
	p.clearExternalLoads()
	if up.moving {
		return linkMoved
	}
	if address != controller {
		p.recordLostRelay(p.Now(), address)
	}
	p.Log.Info().Str("address", address).Err(err).Msg("link to the controller lost")
	return linkLost
}

func (p *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return conns.Dial(ctx, address)
}

const (
	// maxStateWait is how long a VM that has just linked to a hub waits for the full state before it
	// lists the servers from the store, and maxFirstStateWait a VM that has no list yet. It receives
	// no new callers meanwhile.
	maxStateWait      = 800 * time.Millisecond
	maxFirstStateWait = 3 * time.Second
)

// Load pattern: hundreds of VMs start together, or lose their hub. Each that has no hub's data for half a
// second listed all servers from the store: twenty pages for 4,000 servers, at a store that serves 200
// pages a second to all of them. A VM that is on its way to a relay gets the list from there.

// AwaitsState reports whether this VM expects the full state from a hub that it has just linked to.
func (p *Peers) AwaitsState(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uplink == nil || p.uplink.complete {
		return false
	}
	limit := maxStateWait
	if !p.Servers.Synced() {
		limit = maxFirstStateWait
	}
	return now.Sub(p.uplink.openedAt) < limit
}

func (p *Peers) isDirect(up *uplink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return up.direct
}

// clearExternalLoads discards the load of VMs outside the subtree, because no hub updates it any more.
func (p *Peers) clearExternalLoads() {
	p.mu.Lock()
	p.externalLoads = nil
	p.mu.Unlock()
	p.updateOtherLoads()
}

// relayRenewalGrace is how long a VM stays linked to a relay that has not announced a lease renewal
// that the VM has read in the store. A relay finds a new controller itself within one or two reads of
// the lease, at intervals of 0.3 to 0.9 s.
const relayRenewalGrace = time.Second

// unreachableReadInterval is the interval between reads of the lease while the store does not respond
// to other calls. Without these reads, a VM would stay linked to a superseded controller if the store
// responds only to reads of the lease.
const unreachableReadInterval = 5 * time.Second

// monitorLease reads the lease while the hub's data is too old, and closes the link if the hub is
// superseded. A controller that cannot reach the store may still send frames to this VM while another
// VM holds the lease. So may a relay that is partitioned from the store together with its controller,
// and that cannot find the new one. The VMs of its failure domain would stay linked to it, poll the
// store themselves, and exchange no load with the rest of the fleet. They can reach the store, so they
// detect the new holder themselves.
func (p *Peers) monitorLease(ctx context.Context, up *uplink) {
	var laggingSince, lastRead time.Time
	for ctx.Err() == nil {
		pause.For(ctx, p.leaseReadPause())
		if ctx.Err() != nil {
			return
		}
		now := p.Now()
		if p.HubDataFresh(now) || p.AwaitsState(now) || p.storeUnreachable() && now.Sub(lastRead) < unreachableReadInterval {
			laggingSince = time.Time{}
			continue
		}
		lastRead = now
		p.Lease.Step(ctx)
		now = p.Now()
		if version, _ := p.Lease.LatestRecord(); version <= up.leaseVersion() {
			laggingSince = time.Time{}
		} else if laggingSince.IsZero() {
			laggingSince = now
		}
		if p.Lease.Held(now) || p.hubSuperseded(now, up, laggingSince) {
			p.Log.Info().Str("address", up.address).Msg("closing the link to a hub that lags behind the controller lease")
			up.conn.Close()
			return
		}
	}
}

// storeUnreachable reports whether the store does not answer this VM.
func (p *Peers) storeUnreachable() bool { return p.StoreUnreachable != nil && p.StoreUnreachable() }

// hubSuperseded reports whether this VM must link to another hub. laggingSince is when this VM first
// read a renewal in the store that the hub has not announced, or zero if there is none.
func (p *Peers) hubSuperseded(now time.Time, up *uplink, laggingSince time.Time) bool {
	holder, _ := p.Lease.OtherHolder()
	if holder == "" {
		return false
	}
	if p.isDirect(up) {
		return holder != up.address
	}
	return !laggingSince.IsZero() && now.Sub(laggingSince) >= relayRenewalGrace
}

func (p *Peers) setUplink(up *uplink) {
	p.mu.Lock()
	p.uplink, p.linkedOnce = up, true
	p.mu.Unlock()
	p.updateQuotaRole(p.Now())
}

// receiveFrames receives and applies the hub's frames until the link fails. root outlives the link.
func (p *Peers) receiveFrames(ctx, root context.Context, up *uplink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.closeIdle(ctx, up)
	for {
		up.idle.begin(p.Now())
		m, err := up.conn.Receive(ctx)
		up.idle.end()
		if err != nil {
			return err
		}
		switch {
		case m.FleetState != nil:
			p.applyFleetState(root, up, m.FleetState)
		case m.ConfigState != nil:
			p.applyConfigState(m.ConfigState)
		case m.FindReply != nil:
			up.calls.deliver(m.FindReply.Call, m)
		case m.PermitReply != nil:
			up.calls.deliver(m.PermitReply.Call, m)
		case m.QuotaReply != nil:
			up.calls.deliver(m.QuotaReply.Call, m)
		}
	}
}

// leaseVersion returns the version of the controller's lease last received from the hub.
func (u *uplink) leaseVersion() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastLeaseVersion
}

func (u *uplink) setLeaseVersion(version int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastLeaseVersion = version
}

func (u *uplink) setReported(own map[string]pick.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reported = own
}

func (u *uplink) lastReported() map[string]pick.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reported
}

// applyFleetState applies a fleet state received from the hub.
func (p *Peers) applyFleetState(root context.Context, up *uplink, s *wire.FleetState) {
	now := p.Now()
	p.mu.Lock()
	p.vms = s.Vms
	up.direct = !s.Relayed
	up.complete = up.complete || s.Full
	up.withoutVersions = up.withoutVersions || slices.ContainsFunc(s.Servers, func(server wire.ServerState) bool { return server.Version == "" && !server.Gone })
	if up.complete && !up.withoutVersions {
		p.hubConfirmedAt, p.extraAge = now.Add(-time.Duration(s.AgeMs)*time.Millisecond), 0
		if s.Relayed {
			p.extraAge = relayExtraAge(p.Servers.Count())
		}
	}
	p.mu.Unlock()
	p.applyLeaseState(up, s)
	p.countForRetries(now, cmp.Or(s.Lease.ZzAllotmentVms, s.Vms))
	if p.Lease.Released() && p.hasPath() {
		// The hub has no path to the servers. Without the link this VM acquires the lease, unless
		// another one does so first.
		up.conn.Close()
	}
	if !up.complete {
		// The hub withholds the state, because this VM is to link to a relay.
		p.applyRelays(root, now, up, s.Relays)
		return
	}
	p.applyTightTeams(s.TightTeams)
	p.applyRejects(s.ZRejectLimits, false)
	states := make([]backs.State, 0, len(s.Servers))
	for _, state := range s.Servers {
		states = append(states, stateOf(state))
	}
	p.Servers.Merge(now, backs.Update{
		States: states, Full: s.Full, Age: time.Duration(s.AgeMs) * time.Millisecond, SyncedFor: time.Duration(s.KnownMs) * time.Millisecond,
	})
	p.applyPaces(now, s.ZzzzzServerPaces, s.Full)
	if !s.HasLoads {
		return
	}
	p.Poison.MergeSuspects(now, suspectsOf(s.Suspects))
	p.PartTracker.MergeSuspects(now, partSuspectsOf(s.ZzzSuspectParts), !p.Lease.Expired(now))
	p.Limits.Merge(now, limitsOf(s.Limits))
	p.mu.Lock()
	if len(s.ZStreamKeepers) > 0 {
		p.keepers.named = s.ZStreamKeepers
		p.keepers.update(now, s.ZStreamKeepers)
	}
	p.externalLoads = pick.SubtractLoads(loadsOf(s.Loads), up.lastReported())
	p.reportInterval = time.Duration(s.PauseMs) * time.Millisecond
	if len(s.VmsWithPath) > 0 || !p.needsProxies() {
		// A new hub names none until it has the report of this VM.
		p.hubProxies = s.VmsWithPath
	}
	p.mu.Unlock()
	p.updateOtherLoads()
	p.applyRelays(root, now, up, s.Relays)
}

// applyLeaseState applies the lease record in a frame of the hub.
func (p *Peers) applyLeaseState(up *uplink, s *wire.FleetState) {
	version := p.Lease.announcedVersion(s)
	up.setLeaseVersion(version)
	p.applyLease(version, s.Lease)
}

// applyLease applies the lease record received from the hub. A relay forwards a renewal at once.
func (p *Peers) applyLease(version int, record wire.ControllerLease) {
	before, _ := p.Lease.LatestRecord()
	p.Lease.ObserveAnnounced(version, record)
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == before || p.leaseRenewed == nil {
		return
	}
	select {
	case p.leaseRenewed <- struct{}{}:
	default:
	}
}

func (p *Peers) applyConfigState(s *wire.ConfigState) {
	value, err := decompressConfig(s)
	if err != nil {
		p.Log.Error().Err(err).Int("revision", s.Revision).Msg("decompressing the configuration received from the hub failed")
		return
	}
	p.ApplyConfig(s.Revision, value)
}
