package node

import "github.com/hibiscuscart/hibiscuscart/gauge"

// newGauge returns the gauge of the servers in the view, which counts and logs what it decides.
func (n *Node) newGauge() *gauge.Gauge {
	return &gauge.Gauge{
		Service: func(server string) string {
			e, _ := n.serverView.Entry(server)
			return e.Service
		},
		OnTold: func(estimates int) { n.meter.AddCounter("gauge.told", int64(estimates)) },
		OnDistrust: func(d gauge.Distrust) {
			n.meter.AddCounter("gauge.distrusted", 1)
			n.log.Warn().Str("server", d.Server).Float64("reported", d.Reported).Float64("observed", d.Observed).
				Msg("pace of a server limited by its responses")
		},
	}
}

// retainPaces discards the paces of servers that are no longer listed. Servers that are out of use for a moment keep theirs, as
// the hub does not repeat them soon.
func (n *Node) retainPaces() {
	if !n.serverView.Synced() {
		return
	}
	n.peers.RetainPaces(n.now(), func(server string) bool {
		_, listed := n.serverView.Entry(server)
		return listed
	})
}
