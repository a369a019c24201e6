package peers

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

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
