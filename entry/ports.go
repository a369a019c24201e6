package entry

import (
	"context"
	"net"

	"github.com/hibiscuscart/hibiscuscart/guard"
)

// refusal is the answer on a connection that there is no room for.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + notRun

// serveGuarded serves both ports within the bounds of the machine.
func (d *Daemon) serveGuarded(peerListener net.Listener) {
	limits := d.config.Limits
	memory := int64(guard.MemoryShare * float64(guard.MachineMemory(limits.MemoryMB)))
	d.guard = &guard.Guard{Memory: func() int64 { return memory }, Meter: d.meter, Log: d.log}
	descriptors := guard.Descriptors(limits.Descriptors)
	callers := d.guard.Port(guard.Port{
		Name: "callers", MaxConns: guard.MaxConns(descriptors, guard.CallerShare), GivesWay: closeResponse, Refusal: refusal,
	})
	peers := guard.Port{Name: "peers", MaxConns: guard.MaxConns(descriptors, guard.PeerShare)}
	encrypted := d.config.TLS != nil
	if !encrypted {
		peers.GivesWay, peers.Refusal = closeResponse, refusal
	}
	guardedPeers := d.guard.Port(peers)
	callers.Attach(d.callerServer)
	guardedPeers.Attach(d.peerServer)
	d.serve("callers", d.callerServer, callers.Listener(d.callerListener), false)
	d.serve("peers", d.peerServer, guardedPeers.Listener(peerListener), encrypted)
}

func (d *Daemon) runGuard(ctx context.Context) { d.guard.Run(ctx, d.now) }
