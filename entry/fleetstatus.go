package entry

import (
	"github.com/hibiscuscart/hibiscuscart/wire"
)

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
