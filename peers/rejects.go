package peers

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Rejections by a server that may not make many are told to all VMs at once: up the tree in reports, and down in
// frames of their own.

// rejectNews is what a VM has heard of such servers and not told yet.
type rejectNews struct{ up, down []wire.RejectLimit }

// addRejectNews adds news to a list with one entry for each server.
func addRejectNews(list, news []wire.RejectLimit) []wire.RejectLimit {
	for _, n := range news {
		i := slices.IndexFunc(list, func(l wire.RejectLimit) bool { return l.Server == n.Server })
		if i < 0 {
			list = append(list, n)
			continue
		}
		n.Rejected = n.Rejected || list[i].Rejected
		list[i] = n
	}
	return list
}

// SignalReject makes this VM tell at once that a server has rejected a request.
func (p *Peers) SignalReject() {
	p.reportDue.raise()
	p.frameDue.raise()
}

// takeRejectsUp returns the news for the hub.
func (p *Peers) takeRejectsUp(now time.Time) []wire.RejectLimit {
	return p.takeRejects(now, &p.rejects.up)
}

// takeRejectsDown returns the news for the linked VMs.
func (p *Peers) takeRejectsDown(now time.Time) []wire.RejectLimit {
	return p.takeRejects(now, &p.rejects.down)
}

// takeRejects takes the news out of a list of p.rejects, with what this VM has heard from servers itself.
func (p *Peers) takeRejects(now time.Time, list *[]wire.RejectLimit) []wire.RejectLimit {
	p.collectRejects(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	news := *list
	*list = nil
	return news
}

// collectRejects adds what this VM has heard from servers itself.
func (p *Peers) collectRejects(now time.Time) {
	p.addRejects(rejectLimitList(p.Servers.TakeRejectLimits(now)), true)
}

// addRejects adds news for the linked VMs, and for the hub if they do not come from there.
func (p *Peers) addRejects(news []wire.RejectLimit, up bool) {
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		if n.Rejected {
			p.rooms.RecordReject(p.Now(), n.Server)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if up && p.uplink != nil {
		p.rejects.up = addRejectNews(p.rejects.up, news)
	}
	if len(p.links) > 0 {
		p.rejects.down = addRejectNews(p.rejects.down, news)
	}
}

// applyRejects applies news of another VM, a linked one or, unless up is set, the hub.
func (p *Peers) applyRejects(news []wire.RejectLimit, up bool) {
	if len(news) == 0 {
		return
	}
	source := backs.FromHub
	if up {
		source = backs.FromReport
	}
	p.Servers.MergeRejectLimits(p.Now(), rejectLimitsOf(news), source)
	p.addRejects(news, up)
	p.frameDue.raise()
	if up {
		p.reportDue.raise()
	}
}

// grantRoom grants a request to a server, for all VMs. limited is false if the server may reject any number.
func (p *Peers) grantRoom(now time.Time, server string) (wait time.Duration, limited bool) {
	room, limited := p.roomOf(now, server)
	if !limited {
		return 0, false
	}
	room.Running = p.Balancer.Running(server)
	return p.rooms.Grant(now, room), true
}

// grantRoomShare grants a request from this VM's part of a server.
func (p *Peers) grantRoomShare(now time.Time, server string) time.Duration {
	room, limited := p.roomOf(now, server)
	if !limited {
		return 0
	}
	room.Running = p.Balancer.LocalRunning(server)
	return p.rooms.GrantShare(now, room, p.VMs())
}

// RetainServers forgets what was granted of servers for which used returns false.
func (p *Peers) RetainServers(used func(id string) bool) { p.rooms.Retain(used) }

func (p *Peers) roomOf(now time.Time, server string) (room limit.Room, limited bool) {
	perSecond, limited := p.Servers.RejectLimit(now, server)
	e, _ := p.Servers.Entry(server)
	return limit.Room{Server: server, Slots: e.Slots, RejectsPerSecond: perSecond, ProcessingTime: p.Balancer.ResponseTime(e)}, limited
}

// rejectLimitList converts limits to their wire form.
func rejectLimitList(limits []backs.RejectLimit) []wire.RejectLimit {
	var list []wire.RejectLimit
	for _, l := range limits {
		list = append(list, wire.RejectLimit{Server: l.Server, PerSecond: l.PerSecond, Rejected: l.Rejected})
	}
	return list
}

// rejectLimitsOf converts limits from their wire form.
func rejectLimitsOf(list []wire.RejectLimit) []backs.RejectLimit {
	var limits []backs.RejectLimit
	for _, l := range list {
		limits = append(limits, backs.RejectLimit{Server: l.Server, PerSecond: l.PerSecond, Rejected: l.Rejected})
	}
	return limits
}
