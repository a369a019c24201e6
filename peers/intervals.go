package peers

import "time"

const (
	// fullRateVMs is the number of VMs that may poll the store at the full rate while none of
	// them has a controller. In a larger fleet, VMs with an acquire delay above
	// fullRateAcquireDelay poll less often. maxPollIntervalFactor bounds the interval: a change
	// must still be in force within 2 s after the store becomes reachable again.
	fullRateVMs           = 16
	fullRateAcquireDelay  = 500 * time.Millisecond
	maxPollIntervalFactor = 3.0
)

// PollIntervalFactor returns the factor by which this VM extends its intervals between store calls
// while it has no controller. In a large fleet VMs with a small CPU share poll less often, because all
// VMs together would exhaust the store's rate limit.
func (p *Peers) PollIntervalFactor() float64 {
	fleetFactor, delayFactor := float64(p.VMs())/fullRateVMs, float64(p.Lease.AcquireDelay)/float64(fullRateAcquireDelay)
	return min(max(fleetFactor*delayFactor, 1), maxPollIntervalFactor)
}

// herdVMs is the number of VMs from which intervals of calls to the store that all VMs make when a fleet
// starts grow with the fleet, up to maxPollIntervalFactor times. The store serves some hundred calls a
// second to all VMs.
const herdVMs = 100

// HerdFactor returns the factor by which this VM extends the time before a call to the store that all VMs
// of the fleet would make at the same moment.
func (p *Peers) HerdFactor() float64 {
	return min(max(float64(p.VMs())/herdVMs, 1), maxPollIntervalFactor)
}

// minLeaseReadInterval returns the least time between two reads of the lease record by a VM that has no
// hub. When a whole fleet starts, its VMs would otherwise read the record with each attempt to link,
// three times a second each. A strong VM reads an expired lease more often, because it acquires it.
func (p *Peers) minLeaseReadInterval(expired bool) time.Duration {
	factor := p.HerdFactor()
	if factor <= 1 || expired && p.Lease.AcquireDelay < minStaleReadDelay {
		return 0
	}
	return time.Duration(factor * float64(leaseReadInterval))
}

func (p *Peers) leaseReadPause() time.Duration {
	return time.Duration(p.PollIntervalFactor() * float64(leaseReadInterval))
}

// loadInterval returns the interval between frames with load for a number of links in a fleet of a number
// of VMs.
func loadInterval(links, vms int) time.Duration {
	return min(max(minLoadInterval, time.Duration(links)*loadIntervalPerLink, time.Duration(vms)*loadIntervalPerVM), maxLoadInterval)
}
