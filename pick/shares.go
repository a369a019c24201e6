package pick

import (
	"math"
	"time"
)

// Load pattern: urgent requests alone exceed the capacity of the servers for many seconds. Servers
// run them first, so that less urgent requests are not run at all: they are refused by their VMs, or
// wait at a server until their callers disconnect.
//
// Each VM therefore counts how many of its requests of each class get a first event. While a class is
// served much more rarely than all requests together, requests that are more urgent than it yield:
// they are sent only to servers whose whole queue is so short that the less urgent ones there get
// their turn, and that have a free slot. That costs the urgent requests some capacity; below the
// bound nothing changes.

const (
	// minServedShare is how often a class is served at least, relative to all requests, for more
	// urgent requests not to yield. The bound for callers is 0.25; the rest covers the small numbers
	// that a VM counts and the time until yielding takes effect.
	minServedShare = 0.5
	// servedHalfLife is the half-life of the counts: a VM has a handful of requests a second of each
	// class.
	servedHalfLife = 4 * time.Second
	// servedPrior is the number of requests that a class counts as served like all, in addition to
	// those that were: one or two refusals prove nothing.
	servedPrior = 3
	// maxYieldQueueTime is the whole queue up to which yielding requests are sent. It keeps a server
	// busy until the next check.
	maxYieldQueueTime = maxLateQueueTime / 2
)

// servedClass is a class of requests: those of a route to a service with the same server priority.
type servedClass struct {
	service, route string
	priority       int
}

// servedCount counts the requests of a class that were served, and all that were either served or
// not. Both decay.
type servedCount struct {
	served, all float64
	updatedAt   time.Time
}

// at returns the count after decay.
func (c servedCount) at(now time.Time) servedCount {
	factor := math.Exp2(-max(now.Sub(c.updatedAt), 0).Seconds() / servedHalfLife.Seconds())
	return servedCount{served: factor * c.served, all: factor * c.all, updatedAt: now}
}

// forgottenCount is the count below which a class is forgotten, so that the classes of removed routes
// do not accumulate.
const forgottenCount = 0.01

// recordServed records whether a request got a first event. b.mu is held.
func (b *Balancer) recordServed(now time.Time, service string, w Work, served bool) {
	if w.Model == "" {
		return
	}
	if b.servedCounts == nil {
		b.servedCounts = make(map[servedClass]servedCount)
	}
	class := servedClass{service: service, route: w.Route, priority: w.serverPriority()}
	c := b.servedCounts[class].at(now)
	c.all++
	if served {
		c.served++
	}
	b.servedCounts[class] = c
}

// Unserved records a request that was refused because the queues of the servers of its service are
// too long.
func (b *Balancer) Unserved(now time.Time, service string, w Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordServed(now, service, w, false)
}

// Yields reports whether a request yields to less urgent ones, because a class of them is served
// much more rarely than all requests of the service.
func (b *Balancer) Yields(now time.Time, service string, w Work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var total servedCount
	for class, c := range b.servedCounts {
		if c = c.at(now); c.all < forgottenCount {
			delete(b.servedCounts, class)
		} else if class.service == service {
			total.served += c.served
			total.all += c.all
		}
	}
	if total.all == 0 {
		return false
	}
	share := total.served / total.all
	for class, c := range b.servedCounts {
		if class.service != service || class.priority <= w.serverPriority() {
			continue
		}
		if c = c.at(now); (c.served+servedPrior*share)/(c.all+servedPrior) < minServedShare*share {
			return true
		}
	}
	return false
}
