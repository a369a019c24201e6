package peers

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// permitTimeout bounds a permit call. The round trip on a link takes milliseconds.
const permitTimeout = 150 * time.Millisecond

// Permit requests a permit for one request to a server that limits its requests or its rejections. It returns 0 if the permit
// was granted, and otherwise how long to wait before the next attempt. The controller grants the
// permits of all VMs, so that they stay within the limit together. A VM that cannot reach it uses
// its equal share of the rate.
func (p *Peers) Permit(ctx context.Context, server string) time.Duration {
	wait, err := p.requestPermit(ctx, server)
	if err == nil {
		return wait
	}
	if ctx.Err() != nil {
		return permitTimeout // The caller has canceled the request.
	}
	p.Log.Info().Str("server", server).Err(err).Msg("permit call failed, using the local share")
	now := p.Now()
	return max(p.Limits.GrantShare(now, server, p.VMs()), p.grantRoomShare(now, server))
}

// requestPermit gets a permit from the controller, which may be this VM, or how long to wait.
func (p *Peers) requestPermit(ctx context.Context, server string) (time.Duration, error) {
	now := p.Now()
	up, grants := p.grantor(now)
	if grants {
		roomWait, limited := p.grantRoom(now, server)
		if roomWait > 0 {
			return roomWait, nil
		}
		wait, known := p.Limits.Grant(now, server)
		if !known && !limited {
			return 0, errUnknownLimit
		}
		return wait, nil
	}
	if up == nil {
		return 0, errNoController
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return up.permit(ctx, server)
}

// grantor returns the link to the hub that grants the permits and places of all VMs, nil if there is none, or whether
// this VM grants them itself.
func (p *Peers) grantor(now time.Time) (up *uplink, self bool) {
	p.mu.Lock()
	// A controller that has lost the lease continues to serve the VMs linked to it while no other VM
	// can acquire the lease.
	up, acting := p.uplink, p.uplink == nil && !p.relaying && len(p.links) > 0
	p.mu.Unlock()
	return up, acting || p.Lease.Held(now)
}

func (p *Peers) answerPermit(ctx context.Context, d *downlink, call *wire.PermitCall) {
	if call.ZzzServers {
		p.answerConfirm(ctx, d, call)
		return
	}
	if call.ZzPlace != nil || len(call.ZzEnded) > 0 {
		p.answerPlace(ctx, d, call)
		return
	}
	ctx, span := spans.Start(ctx, "permit", attribute.String("server", call.Server))
	wait, err := p.requestPermit(ctx, call.Server)
	spans.End(span, err)
	reply := &wire.PermitReply{Call: call.Call, WaitUs: int(wait.Microseconds())}
	if err != nil {
		reply.WaitUs = -1
	}
	frame, err := link.Encode(&wire.Message{PermitReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding a permit reply failed")
		return
	}
	d.enqueueReply(frame)
}

// limitList converts limits to their wire form.
func limitList(rates []limit.Rate) []wire.ServerLimit {
	var list []wire.ServerLimit
	for _, r := range rates {
		list = append(list, wire.ServerLimit{Server: r.Server, Rate: r.PerSecond, Ended: r.Ended})
	}
	return list
}

// limitsOf converts limits from their wire form.
func limitsOf(list []wire.ServerLimit) []limit.Rate {
	var rates []limit.Rate
	for _, l := range list {
		rates = append(rates, limit.Rate{Server: l.Server, PerSecond: l.Rate, Ended: l.Ended})
	}
	return rates
}
