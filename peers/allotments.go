package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// fleetMemory is how long a VM that is no longer heard of keeps its part of what all VMs share, the quotas of the
// teams and the retries. It may be cut off and use that part.
const fleetMemory = 10 * time.Minute

// fleetSize is the largest number of VMs of the last fleetMemory. The zero value is unknown.
type fleetSize struct {
	// vms is the largest number, peaks the numbers that no later one has reached, in order of time.
	vms   int
	peaks []fleetPeak
}

type fleetPeak struct {
	vms    int
	seenAt time.Time
}

func (f *fleetSize) observe(now time.Time, vms int) {
	f.peaks = slices.DeleteFunc(f.peaks, func(p fleetPeak) bool { return p.vms <= vms || now.Sub(p.seenAt) >= fleetMemory })
	f.peaks = append(f.peaks, fleetPeak{vms: vms, seenAt: now})
	f.vms = f.peaks[0].vms
}

// allotmentCount works out, at the controller, by which number each VM divides what all VMs share. VMs that are out of
// sight go on using the part that they were told last, so those in sight may only divide the rest. The zero value has
// counted none.
type allotmentCount struct {
	// domains holds the size of the fleet by failure domain: VMs are mostly out of sight together with their domain,
	// while others may be added elsewhere.
	domains map[string]*fleetSize
	// inSight is the number of VMs counted last, settled the divisor when none was out of sight.
	inSight, settled int
}

// maxDivisor leaves VMs in sight nothing: those out of sight use all of it.
const maxDivisor = 1 << 20

// inherit takes over what the term before has counted.
func (c *allotmentCount) inherit(now time.Time, record wire.ControllerLease) {
	for _, d := range record.ZzDomainVms {
		c.observeDomain(now, d.FailureDomain, d.Vms)
	}
	if record.ZzSettledVms > 0 {
		c.settled = record.ZzSettledVms
	}
}

func (c *allotmentCount) observeDomain(now time.Time, domain string, vms int) {
	if c.domains == nil {
		c.domains = make(map[string]*fleetSize)
	}
	if c.domains[domain] == nil {
		c.domains[domain] = &fleetSize{}
	}
	c.domains[domain].observe(now, vms)
}

// observe records the numbers of VMs in sight, by failure domain.
func (c *allotmentCount) observe(now time.Time, vms map[string]int) {
	c.inSight = 0
	for domain, n := range vms {
		c.inSight += n
		c.observeDomain(now, domain, n)
	}
	for domain := range c.domains {
		if vms[domain] == 0 {
			c.observeDomain(now, domain, 0)
		}
	}
	if c.settled == 0 || c.total() == c.inSight {
		c.settled = c.inSight
	}
}

// total returns the number of VMs that have an allotment, in sight or not.
func (c *allotmentCount) total() int {
	n := 0
	for _, d := range c.domains {
		n += d.vms
	}
	return n
}

// divisor returns the number by which each VM divides.
func (c *allotmentCount) divisor() int {
	total := c.total()
	hidden := total - c.inSight
	switch {
	case hidden <= 0:
		return total
	case hidden >= c.settled:
		return maxDivisor
	}
	left := c.settled - hidden
	return max(total, (c.inSight*c.settled+left-1)/left)
}

// record adds to a lease record what the next holder inherits. A process that goes on with the lease of the one before
// has counted nothing yet, and keeps what the record says.
func (c *allotmentCount) record(r *wire.ControllerLease) {
	if c.inSight == 0 {
		return
	}
	r.ZzDomainVms = make([]wire.DomainVms, 0, len(c.domains))
	for domain, d := range c.domains {
		r.ZzDomainVms = append(r.ZzDomainVms, wire.DomainVms{FailureDomain: domain, Vms: d.vms})
	}
	slices.SortFunc(r.ZzDomainVms, func(a, b wire.DomainVms) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	r.ZzAllotmentVms, r.ZzSettledVms = c.divisor(), c.settled
}

// RecordAllotments adds to the lease record of this VM, the controller, by which number VMs divide what all share.
func (p *Peers) RecordAllotments(r *wire.ControllerLease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allotments.record(r)
}

// countVMs counts the VMs linked to this controller, directly or through relays, and itself. p.mu must be held.
func (p *Peers) countVMs(now time.Time) {
	vms := map[string]int{p.Domain: 1}
	for d := range p.links {
		vms[d.hello.FailureDomain] += max(p.subtrees[d.vm].vms, 1)
	}
	p.allotments.observe(now, vms)
}

// countForRetries records for the retry budgets that this VM is one of those that have an allotment, and by which
// number they divide. Only the controller counts VMs, so a hub that no longer hears it may not know of this VM yet.
func (p *Peers) countForRetries(now time.Time, divisor int) {
	if p.Retries != nil && divisor > 0 && !p.Lease.Expired(now) {
		p.Retries.Counted(now, divisor)
	}
}
