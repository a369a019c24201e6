package node

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

const (
	// probeInterval is the interval between probes while the VM has no current data from a
	// controller. probeDialTimeout is how long a server may take to accept a connection.
	probeInterval    = 250 * time.Millisecond
	probeDialTimeout = 200 * time.Millisecond
)

// probeDomains detects a network partition between this VM and the other failure domains. In a
// partition, the idle connections of the pool get no response, and each is closed only after a second
// or more. Until then the VM would report that it is ready, and the load balancer would send it
// callers that it cannot serve. A dial to one server of each domain detects the partition in a fifth
// of a second. The VM makes no dials while a controller keeps its data current.
func (n *Node) probeDomains(ctx context.Context) {
	for ctx.Err() == nil {
		n.pauseForHub(ctx, n.peers.TermStarted(), probeInterval)
		now := n.now()
		if !n.serverView.Synced() || n.peers.HubDataFresh(now) || n.peers.Leading() {
			continue
		}
		for _, e := range n.serverPerDomain(now) {
			go n.probeServer(ctx, e)
		}
	}
}

// serverPerDomain returns one server of each other failure domain that is neither draining nor at rest.
func (n *Node) serverPerDomain(now time.Time) map[string]backs.Entry {
	ownDomain := n.settings().Text("vm", "failure_domain")
	chosen := make(map[string]backs.Entry)
	for _, e := range n.serverView.All(now) {
		if e.Domain != ownDomain && !e.Draining && n.serverView.RestRemaining(now, e.ID) == 0 {
			chosen[e.Domain] = e
		}
	}
	return chosen
}

func (n *Node) probeServer(ctx context.Context, e backs.Entry) {
	conn, err := n.connPool.DialWithin(ctx, probeDialTimeout, e.ID, e.Address)
	if err != nil {
		n.balancer.ConnectFailed(n.now(), e)
		return
	}
	n.balancer.ConnectSucceeded(n.now(), e)
	n.connPool.Put(n.now(), conn, 0)
}
