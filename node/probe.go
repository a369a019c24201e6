package node

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// probeEvery is how often a VM that no controller covers looks whether it
	// is cut off, and probeDial how long a server has to take a connection.
	probeEvery = 250 * time.Millisecond
	probeDial  = 200 * time.Millisecond
)

// probe finds out whether this VM is cut off from the other failure domains. In
// a cut its kept connections go silent and are given up one by one, after a
// second and more each; meanwhile it says that it is ready, and the balancer
// sends it callers that it can not serve. One dial to a server of each domain
// tells in a fifth of a second. While a controller covers the VM it makes none.
func (n *Node) probe(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeEvery)
		now := n.now()
		if !n.servers.Synced() || n.peers.HubDataFresh(now) || n.peers.Leading() {
			continue
		}
		for _, e := range n.oneOfEachDomain(now) {
			go n.dialProbe(ctx, e)
		}
	}
}

// oneOfEachDomain returns a serving server of each other failure domain.
func (n *Node) oneOfEachDomain(now time.Time) map[string]backs.Entry {
	own := n.settings().Text("vm", "failure_domain")
	chosen := make(map[string]backs.Entry)
	for _, e := range n.servers.All(now) {
		if e.Domain != own && !e.Draining {
			chosen[e.Domain] = e
		}
	}
	return chosen
}

func (n *Node) dialProbe(ctx context.Context, e backs.Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeDial)
	defer cancel()
	conn, err := n.pool.Dial(ctx, e.ID, e.Address)
	if err != nil {
		n.book.ConnectFailed(n.now(), e)
		return
	}
	n.book.ConnectSucceeded(n.now(), e)
	n.pool.Put(n.now(), conn, 0)
}
