// Package limit keeps all VMs together within limits that apply to their sum: the request rate limits
// that backend servers announce in their responses (Limits), and the quotas of the teams (Quotas). The
// package performs no I/O and does not read the clock.
package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// localPrecedence is how long a limit announced in a response takes precedence over the controller's
// list, which may be older.
const localPrecedence = 1500 * time.Millisecond

// Rate is the rate limit of a server.
type Rate struct {
	// Server is the ID of the server instance. A restarted server has a new one.
	Server string
	// PerSecond is the maximum number of requests per second from all VMs together.
	PerSecond float64
	// Ended is set if the server's responses no longer contain a limit.
	Ended bool
}

// Limits holds the rate limits known to a VM and the permits for requests to the limited servers.
// The zero value is ready to use. It is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]*serverLimit
	// ended holds the IDs of servers whose limit has ended since the last report.
	ended []string
}

// serverLimit is the rate limit of one server.
type serverLimit struct {
	rate float64
	// announcedAt is when the limit was added or last announced in a response to this VM.
	announcedAt time.Time
	reported    bool
	// backoffUntil is when this VM may request a permit again.
	backoffUntil time.Time
	// global holds the permits of all VMs, and local those of this VM only.
	global, local bucket
}

// Update applies a response of the server with the given ID, received at now, to a request sent at
// sent. If limited is set, the response contains a limit of rate requests per second. Otherwise the
// limit is removed, but only if the request was sent after the limit was last announced, as
// responses can arrive out of order. Update reports whether the server's limit changed.
func (l *Limits) Update(now, sent time.Time, id string, rate float64, limited bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if !limited {
		if s == nil || !sent.After(s.announcedAt) {
			return false
		}
		l.remove(id)
		return true
	}
	if s != nil {
		s.announcedAt = now
	}
	return l.setRate(now, id, rate, false)
}

// setRate sets a server's rate and reports whether it changed. l.mu must be held.
func (l *Limits) setRate(now time.Time, id string, rate float64, reported bool) bool {
	s := l.servers[id]
	if s != nil && s.rate == rate {
		return false
	}
	if s == nil {
		if l.servers == nil {
			l.servers = make(map[string]*serverLimit)
		}
		s = &serverLimit{announcedAt: now}
		l.servers[id] = s
	}
	s.rate, s.reported = rate, reported
	return true
}

// remove removes a limit and schedules its end for the next report. l.mu must be held.
func (l *Limits) remove(id string) {
	delete(l.servers, id)
	l.ended = append(l.ended, id)
}

// Rate returns the rate limit of a server and whether it has one.
func (l *Limits) Rate(id string) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return 0, false
	}
	return s.rate, true
}

// Backoff returns how long to wait before requesting a permit for a server. It is 0 if a permit may
// be requested now or the server has no limit.
func (l *Limits) Backoff(now time.Time, id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return 0
	}
	return max(s.backoffUntil.Sub(now), 0)
}

// SetBackoff prevents permit requests for a server until wait has passed. It has no effect if the
// server has no limit.
func (l *Limits) SetBackoff(now time.Time, id string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[id]; s != nil {
		s.backoffUntil = now.Add(wait)
	}
}

// Grant acquires one of the permits of all VMs for a request to a server. wait is 0 on success, and
// otherwise the time until the next attempt. limited is false if no limit of the server is known.
// Only the controller may call it.
func (l *Limits) Grant(now time.Time, id string) (wait time.Duration, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return 0, false
	}
	return s.global.acquire(now, max(s.rate, minRate)), true
}

// GrantShare is like Grant, but acquires the permit from this VM's equal share of the rate. It is used
// by VMs that cannot reach the controller.
func (l *Limits) GrantShare(now time.Time, id string, vms int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil {
		return 0
	}
	return s.local.acquire(now, max(s.rate, minRate)/float64(max(vms, 1)))
}

// Contended reports whether Grant has refused a large share of the attempts for a server since its
// limit became known. It stays true until the limit ends.
func (l *Limits) Contended(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	return s != nil && s.global.contended
}

// TakeReport returns the limits that changed or ended since the last report.
func (l *Limits) TakeReport() []Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Rate
	for _, id := range l.ended {
		list = append(list, Rate{Server: id, Ended: true})
	}
	l.ended = nil
	for id, s := range l.servers {
		if !s.reported {
			s.reported = true
			list = append(list, Rate{Server: id, PerSecond: s.rate})
		}
	}
	return list
}

// MarkUnreported makes all limits due for reporting again, as a new controller may not have received
// earlier reports. They take precedence over its first lists, which may lack them.
func (l *Limits) MarkUnreported(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		s.reported, s.announcedAt = false, now
	}
}

// AddReport applies another VM's report.
func (l *Limits) AddReport(now time.Time, list []Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		if !r.Ended {
			l.setRate(now, r.Server, r.PerSecond, false)
			continue
		}
		if l.servers[r.Server] != nil {
			l.remove(r.Server)
		}
	}
}

// Rates returns all limits, sorted by server.
func (l *Limits) Rates() []Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Rate, 0, len(l.servers))
	for id, s := range l.servers {
		list = append(list, Rate{Server: id, PerSecond: s.rate})
	}
	slices.SortFunc(list, func(a, b Rate) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// Merge replaces the limits with the controller's list, except those that were announced to this VM
// within localPrecedence.
func (l *Limits) Merge(now time.Time, list []Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Server] = true
		if s := l.servers[r.Server]; s == nil || now.Sub(s.announcedAt) >= localPrecedence {
			l.setRate(now, r.Server, r.PerSecond, true)
		}
	}
	for id, s := range l.servers {
		if !listed[id] && now.Sub(s.announcedAt) >= localPrecedence {
			delete(l.servers, id)
		}
	}
}

// Retain removes the limits of servers for which used returns false.
func (l *Limits) Retain(used func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.servers {
		if !used(id) {
			delete(l.servers, id)
		}
	}
}
