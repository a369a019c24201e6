package entry

import (
	"context"
	"net"

	"github.com/hibiscuscart/hibiscuscart/guard"
)

// refusal is the answer on a connection that there is no room for.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + notRun

// openPorts sets the bounds of both ports by the machine.
func (d *Daemon) openPorts() {
	limits := d.config.Limits
	machine := guard.MachineMemory(limits.MemoryMB)
	memory := int64(guard.MemoryShare * float64(machine))
	d.guard = &guard.Guard{Memory: func() int64 { return memory }, Meter: d.meter, Log: d.log}
	descriptors := guard.Descriptors(limits.Descriptors)
	maxCallers, maxPeers := guard.MaxConns(descriptors, guard.CallerShare), guard.MaxConns(descriptors, guard.PeerShare)
	d.callerPort = d.guard.AddPort(guard.Port{
		Name: "callers", MaxConns: maxCallers, UnreadBytes: guard.UnreadBytes(machine, maxCallers), GivesWay: closeResponse, Refusal: refusal,
	})
	peers := guard.Port{Name: "peers", MaxConns: maxPeers, UnreadBytes: guard.UnreadBytes(machine, maxPeers)}
	if d.config.TLS == nil {
		peers.GivesWay, peers.Refusal = closeResponse, refusal
	}
	d.peerPort = d.guard.AddPort(peers)
}

// servePorts serves both ports within their bounds.
func (d *Daemon) servePorts(peerListener net.Listener) {
	d.callerPort.Attach(d.callerServer)
	d.peerPort.Attach(d.peerServer)
	d.serve("callers", d.callerServer, d.callerPort.Listener(d.callerListener), false)
	d.serve("peers", d.peerServer, d.peerPort.Listener(peerListener), d.config.TLS != nil)
}

func (d *Daemon) runGuard(ctx context.Context) { d.guard.Run(ctx, d.now) }
