package peers

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// maxStateWait is how long a VM that has just linked to a hub waits for the full state before it
	// lists the servers from the store, and maxFirstStateWait a VM that has no list yet. It receives
	// no new callers meanwhile.
	maxStateWait      = 800 * time.Millisecond
	maxFirstStateWait = 3 * time.Second
)

// Load pattern: hundreds of VMs start together, or lose their hub. Each that has no hub's data for half a
// second listed all servers from the store: twenty pages for 4,000 servers, at a store that serves 200
// pages a second to all of them. A VM that is on its way to a relay gets the list from there.

// AwaitsState reports whether this VM expects the full state from a hub that it has just linked to.
func (p *Peers) AwaitsState(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uplink == nil || p.uplink.complete {
		return false
	}
	limit := maxStateWait
	if !p.Servers.Synced() {
		limit = maxFirstStateWait
	}
	return now.Sub(p.uplink.openedAt) < limit
}

// applyFleetState applies a fleet state received from the hub.
func (p *Peers) applyFleetState(root context.Context, up *uplink, s *wire.FleetState) {
	now := p.Now()
	p.recordHubState(now, up, s)
	p.applyLeaseState(up, s)
	p.countForRetries(now, cmp.Or(s.Lease.ZzAllotmentVms, s.Vms))
	if p.Lease.Released() && p.hasPath() {
		// The hub has no path to the servers. Without the link this VM acquires the lease, unless
		// another one does so first.
		up.conn.Close()
	}
	if !up.complete {
		// The hub withholds the state, because this VM is to link to a relay.
		p.applyRelays(root, now, up, s.Relays)
		return
	}
	p.applyTightTeams(s.TightTeams)
	p.applyRejects(s.ZRejectLimits, false)
	p.applyServerStates(now, up, s)
	p.applyPaces(now, s.ZzzzzServerPaces, s.Full)
	if !s.HasLoads {
		return
	}
	p.applyLoadState(now, up, s)
	p.updateOtherLoads()
	p.applyRelays(root, now, up, s.Relays)
}

// recordHubState records the size of the fleet, the role of the hub and the age of its data.
func (p *Peers) recordHubState(now time.Time, up *uplink, s *wire.FleetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = s.Vms
	up.direct = !s.Relayed
	up.complete = up.complete || s.Full
	up.withoutVersions = up.withoutVersions || slices.ContainsFunc(s.Servers, func(server wire.ServerState) bool { return server.Version == "" && !server.Gone })
	if !up.complete || up.withoutVersions {
		return
	}
	p.hubConfirmedAt, p.extraAge = now.Add(-time.Duration(s.AgeMs)*time.Millisecond), 0
	if s.Relayed {
		p.extraAge = relayExtraAge(p.Servers.Count())
	}
}

// applyServerStates applies the server states of a frame: all of them in a full state, else those that have
// changed. Only a confirmation says how new they are: see confirmAtHub. The hub may have collected changes before a full
// state, and queued them after it.
func (p *Peers) applyServerStates(now time.Time, up *uplink, s *wire.FleetState) {
	states := make([]backs.State, 0, len(s.Servers))
	for _, state := range s.Servers {
		states = append(states, stateOf(state))
	}
	p.Servers.Merge(now, backs.Update{
		States: states, Full: s.Full, Age: time.Duration(s.AgeMs) * time.Millisecond, SyncedFor: time.Duration(s.KnownMs) * time.Millisecond,
		Superseded: !s.Full && up.applied.beyond(s.ZzzzzzServerRevision),
	})
	up.applied.set(s.ZzzzzzServerRevision)
}

// applyLoadState applies what a hub adds to a frame with the load, except its relays: see addLoadState.
func (p *Peers) applyLoadState(now time.Time, up *uplink, s *wire.FleetState) {
	p.Poison.MergeSuspects(now, suspectsOf(s.Suspects))
	p.PartTracker.MergeSuspects(now, partSuspectsOf(s.ZzzSuspectParts), !p.Lease.Expired(now))
	p.Limits.Merge(now, limitsOf(s.Limits))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(s.ZStreamKeepers) > 0 {
		p.keepers.named = s.ZStreamKeepers
		p.keepers.update(now, s.ZStreamKeepers)
	}
	p.externalLoads = pick.SubtractLoads(loadsOf(s.Loads), up.lastReported())
	p.reportInterval = time.Duration(s.PauseMs) * time.Millisecond
	if len(s.VmsWithPath) > 0 || !p.needsProxies() {
		// A new hub names none until it has the report of this VM.
		p.hubProxies = s.VmsWithPath
	}
}

func (p *Peers) applyConfigState(s *wire.ConfigState) {
	value, err := decompressConfig(s)
	if err != nil {
		p.Log.Error().Err(err).Int("revision", s.Revision).Msg("decompressing the configuration received from the hub failed")
		return
	}
	p.ApplyConfig(s.Revision, value)
}

// clearExternalLoads discards the load of VMs outside the subtree, because no hub updates it any more.
func (p *Peers) clearExternalLoads() {
	p.mu.Lock()
	p.externalLoads = nil
	p.mu.Unlock()
	p.updateOtherLoads()
}
