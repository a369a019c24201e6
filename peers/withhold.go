package peers

import (
	"maps"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Load pattern: all VMs of a fleet start, or lose their controller, at the same moment. Each linked to
// the controller, received the full state of all servers there, and received it again from the relay
// that it moved to. The controller sent as many full states as there are VMs, each as long as the list
// of servers, and nothing else got through for seconds.
//
// A hub whose VMs link to relays therefore withholds the full state from a VM that links to it, and tells
// it only the relays. The VM gets the state from the relay that it moves to, and the relays get it at
// once. A VM that no relay takes gets it from the hub after a time. Where the list of servers is short, the
// state is sent at once: a VM then serves some hundred milliseconds earlier.

const (
	// minWithheldStates is the number of VMs times servers from which the full state is withheld: as
	// many states of a server as a strong VM sends in a tenth of a second.
	minWithheldStates = 50_000
	// maxWithheldTime is how long a hub withholds the full state from a VM. Relays are ready within
	// some hundred milliseconds of their choice.
	maxWithheldTime = 1500 * time.Millisecond
	// maxWithheldLinks is how many links in a row of a VM, within rejectCooldown, are told the relays
	// only. A VM that returns once more finds no relay and gets the state at once.
	maxWithheldLinks = 2
)

// withheldLinks counts the links of a VM that were not sent the full state, and when the last was opened.
type withheldLinks struct {
	count int
	at    time.Time
}

// withholdsState reports whether the full state is withheld from a VM that links to this hub, and records
// it. p.mu must be held.
func (p *Peers) withholdsState(now time.Time, d *downlink) bool {
	announced := p.chooseRelays()
	hello := d.hello
	if p.expectedVMs()*p.Servers.Count() < minWithheldStates {
		return false
	}
	if hello.Address == "" || p.chosenRelays[d.vm] || !p.dividesVMs(hello, announced) {
		return false
	}
	links := p.withheld[hello.Boot]
	if now.Sub(links.at) >= rejectCooldown {
		links = withheldLinks{}
	}
	if links.count >= maxWithheldLinks {
		return false
	}
	if p.withheld == nil {
		p.withheld = make(map[string]withheldLinks)
	}
	p.withheld[hello.Boot] = withheldLinks{links.count + 1, now}
	d.withheldSince = now
	p.signalLoads()
	return true
}

// dividesVMs reports whether a VM that links to this hub is expected to move to a relay. p.mu must be
// held.
func (p *Peers) dividesVMs(hello wire.Hello, announced []wire.Relay) bool {
	switch {
	case p.furtherRelay:
		return false
	case p.relaying:
		return hello.FailureDomain == p.Domain && p.subtreeVMs() >= minDividedVMs
	}
	for _, r := range announced {
		if r.FailureDomain == hello.FailureDomain {
			return true
		}
	}
	return p.expectedVMs() >= minTreeVMs
}

// expectedVMs returns the number of VMs of the fleet as last known, before they have linked again. p.mu
// must be held.
func (p *Peers) expectedVMs() int {
	return max(p.vms, p.inheritedVMs, p.Lease.VMs(), p.subtreeVMs())
}

// enqueueWithheld enqueues the frame that a VM gets instead of the full state. p.mu must be held.
func (p *Peers) enqueueWithheld(d *downlink) error {
	frame, err := p.withheldFrame()
	if err != nil {
		return err
	}
	d.enqueue(frame)
	return nil
}

// withheldFrame returns the frame for VMs without the full state: the lease and the relays. p.mu must be
// held.
func (p *Peers) withheldFrame() ([]byte, error) {
	state := p.newFleetState(nil)
	state.AgeMs, state.Vms, state.Relayed = p.dataAgeMs(p.Now()), max(p.vms, 1), p.relaying
	state.HasLoads, state.PauseMs, state.Relays = true, int(loadInterval(len(p.links), p.vms).Milliseconds()), p.chooseRelays()
	return link.Encode(&wire.Message{FleetState: state})
}

// tellWithheld sends the relays to the VMs without the full state, and the full state to those that are
// relays now or have waited too long. p.mu must be held.
func (p *Peers) tellWithheld(now time.Time) {
	var frame []byte
	for d := range p.links {
		if d.withheldSince.IsZero() {
			continue
		}
		if p.chosenRelays[d.vm] || now.Sub(d.withheldSince) >= maxWithheldTime {
			// The next frame of the link is replaced by the full state.
			d.withheldSince = time.Time{}
			d.overflowed.Store(true)
			continue
		}
		if frame == nil {
			var err error
			if frame, err = p.withheldFrame(); err != nil {
				p.Log.Error().Err(err).Msg("encoding the relays failed")
				return
			}
		}
		d.enqueue(frame)
	}
	p.forgetWithheld(now)
}

// forgetWithheld removes old records. p.mu must be held.
func (p *Peers) forgetWithheld(now time.Time) {
	maps.DeleteFunc(p.withheld, func(_ string, links withheldLinks) bool { return now.Sub(links.at) >= rejectCooldown })
}
