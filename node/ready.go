package node

import (
	"net/http"
	"time"
)

// Ready reports whether the VM can serve new callers.
func (n *Node) Ready() bool { return n.unreadyReason(n.now()) == "" }

// unreadyReason returns why the VM can not serve new callers, or "" if it can: it has the configuration and
// the list of servers, is not stopping, and is not partitioned from most servers. A VM that has lost its path
// to the servers serves callers as long as it knows another VM that sends its requests.
func (n *Node) unreadyReason(now time.Time) string {
	switch {
	case n.table.Load() == nil:
		return "no configuration"
	case !n.serverView.Synced():
		return "no list of servers"
	case n.stopping():
		return "stopping"
	case n.paths.Lost() && len(n.peers.ProxyVMs()) == 0:
		return "path to the servers lost, and no other VM to send through"
	case n.partitioned(now):
		return "partitioned from the controller and most servers"
	}
	return ""
}

// partitioned reports whether the VM reaches neither the controller nor any server of another
// failure domain, while most servers are in other domains. The VM continues to serve its existing
// callers. The load balancer sends new callers to the VMs of another domain, which reach more
// servers.
func (n *Node) partitioned(now time.Time) bool {
	if n.peers.HubDataFresh(now) || n.peers.Leading() {
		return false
	}
	ownDomain := n.settings().Text("vm", "failure_domain")
	ownDomainServers, otherDomainServers := 0, 0
	for _, e := range n.serverView.All(now) {
		if e.Domain == ownDomain {
			ownDomainServers++
			continue
		}
		otherDomainServers++
		if !n.balancer.DomainUnreachable(now, e.Domain) {
			return false
		}
	}
	return otherDomainServers > ownDomainServers
}

// serveReadiness answers the load balancer, and logs each change of the answer.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	reason := n.unreadyReason(n.now())
	if last, _ := n.readiness.Swap(reason).(string); last != reason {
		n.log.Info().Bool("ready", reason == "").Str("reason", reason).Msg("readiness changed")
	}
	if reason != "" {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
