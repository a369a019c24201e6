package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
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
	// applied is the revision of the hub's list of servers whose changes this VM has applied.
	applied appliedRevision
}

func (u *uplink) close() {
	u.conn.Close()
	u.calls.close()
	u.applied.close()
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

func (p *Peers) isDirect(up *uplink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return up.direct
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
