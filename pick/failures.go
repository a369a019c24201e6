package pick

import (
	"math"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// failureHalfLife is the half-life of recorded failures: a restarted or repaired
// server is tried again within seconds.
const failureHalfLife = 3 * time.Second

// failureRate is a moving average of failures that decays over time.
type failureRate struct {
	rate      float64
	updatedAt time.Time
	// lastSuccess is the time of the last success, connectFailures the number of
	// failed connections since.
	lastSuccess     time.Time
	connectFailures int
}

// now returns the rate after decay.
func (f *failureRate) now(now time.Time) float64 {
	if f == nil || f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-now.Sub(f.updatedAt).Seconds()/failureHalfLife.Seconds())
}

func (f *failureRate) record(now time.Time, result Result) {
	rate := f.now(now)
	switch result {
	case Succeeded:
		rate -= successWeight * rate
		f.lastSuccess, f.connectFailures = now, 0
	case Refused:
		rate += refusedWeight * (1 - rate)
	case Failed:
		rate += failureWeight * (1 - rate)
	case Neutral:
		return
	}
	f.rate, f.updatedAt = rate, now
}

// ConnectFailed records that no connection to a server could be made. Failed
// connections to a failure domain indicate that the domain is unreachable, so its
// other servers are avoided too.
func (b *Balancer) ConnectFailed(now time.Time, e backs.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serverState(e.ID).failures.record(now, Failed)
	if e.Domain == b.Domain {
		return
	}
	f := b.domainFailureRate(e.Domain)
	f.record(now, Failed)
	f.connectFailures++
}

// domainFailureRate returns the failure rate of a failure domain. b.mu is held.
func (b *Balancer) domainFailureRate(domain string) *failureRate {
	f := b.domainFailures[domain]
	if f == nil {
		if b.domainFailures == nil {
			b.domainFailures = make(map[string]*failureRate)
		}
		f = &failureRate{}
		b.domainFailures[domain] = f
	}
	return f
}

// ConnectSucceeded records that a connection to a server could be made.
func (b *Balancer) ConnectSucceeded(now time.Time, e backs.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.domainFailureRate(e.Domain).record(now, Succeeded)
}

// unreachableRate is the share of failed connections to a failure domain's servers from
// which the domain counts as unreachable.
const unreachableRate = 0.5

// DomainUnreachable reports whether a failure domain's servers are unreachable.
func (b *Balancer) DomainUnreachable(now time.Time, domain string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.domainFailures[domain].now(now) >= unreachableRate
}

const (
	// isolationSilence is the time without a response from a failure domain, and
	// isolationConnectFailures the number of failed connections to it since, before the
	// domain counts as unreachable in Isolated. While 40 in 100 servers are down, several
	// connections to a domain fail in a row, but in half a second a VM gets some ten
	// responses from it.
	isolationSilence         = 500 * time.Millisecond
	isolationConnectFailures = 2
)

// Isolated reports whether all other failure domains are unreachable, which means that this
// VM is the isolated one.
func (b *Balancer) Isolated(now time.Time, servers []backs.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := false
	for _, e := range servers {
		if e.Domain == b.Domain {
			continue
		}
		others = true
		if f := b.domainFailures[e.Domain]; f == nil || f.connectFailures < isolationConnectFailures || now.Sub(f.lastSuccess) < isolationSilence {
			return false
		}
	}
	return others
}
