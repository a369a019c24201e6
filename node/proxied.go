package node

import (
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/pass"
)

const (
	// proxiedPerCore is how many requests of other VMs a VM sends at a time for each core that it has: some
	// times what it has of its own at the usual load, and as much work for its core as a few percent.
	proxiedPerCore = 100
	minProxied     = 8
)

// maxProxied returns how many requests of other VMs a VM with a CPU share sends at a time.
func maxProxied(cores float64) int { return max(int(proxiedPerCore*cores), minProxied) }

// peerHandler serves other VMs: their links, and their requests while they have no path to the servers.
func (n *Node) peerHandler() http.Handler {
	links := n.peers.Handler()
	proxied := n.peerConns.Handler(n.stopping, http.HandlerFunc(n.gateway.ServeProxied))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pass.IsProxied(r) {
			proxied.ServeHTTP(w, r)
			return
		}
		links.ServeHTTP(w, r)
	})
}
