package entry

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// concurrencyShare returns this VM's share of a profile's fleet-wide limit.
func (p *peers) concurrencyShare(profile hibiscuscart.Profile, localDemand int) int {
	others := p.remoteDemand.Load()
	return admit.Share(profile.ConcurrencyLimit(), others.vms+1, localDemand, []int{others.requests[profile.Name()]})
}

// remoteDemand is the demand at the other VMs, as of the last gossip round.
type remoteDemand struct {
	vms      int
	requests map[string]int
}

// sumRemoteDemand adds up the demand at the other VMs. A silent VM counts as a
// VM, as it may still be serving. The caller holds p.mu.
func (p *peers) sumRemoteDemand(now time.Time) *remoteDemand {
	others := &remoteDemand{requests: make(map[string]int)}
	for _, h := range p.list.Heartbeats() {
		if h.State == wire.HeartbeatStateDead || h.Incarnation == 0 {
			continue
		}
		others.vms++
		if !p.list.Alive(now, h.Node) {
			continue
		}
		for _, demand := range h.Demand {
			others.requests[demand.Name] += demand.Requests
		}
	}
	return others
}

// modelDemand returns the offered load of each model, by the failure domain of
// the VMs that received the requests, including this VM.
func (p *peers) modelDemand() map[string]map[string]float64 {
	demand := make(map[string]map[string]float64)
	add := func(domain string, models []wire.ModelDemand) {
		if demand[domain] == nil {
			demand[domain] = make(map[string]float64)
		}
		for _, m := range models {
			demand[domain][m.Model] += float64(m.Load) / loadScale
		}
	}
	add(p.d.config.FailureDomain, p.d.offeredLoads.snapshot(p.d.now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.list.Heartbeats() {
		if p.list.Alive(p.d.now(), h.Node) {
			add(h.FailureDomain, h.Models)
		}
	}
	return demand
}
