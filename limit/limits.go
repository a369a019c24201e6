// Package limit tracks the request rate limits that backend servers announce in their answers. A
// server's limit applies to the requests of all VMs together. The package performs no I/O and does
// not read the clock.
package limit

import (
	"sync"
	"time"
)

// Limits holds the rate limits that this VM knows, by server ID. The zero value is ready to use.
// It is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]*serverLimit
}

// serverLimit is the rate limit of one server.
type serverLimit struct {
	// rate is in requests per second.
	rate float64
	// announcedAt is when an answer that contains the rate was last received.
	announcedAt time.Time
}

// Update applies an answer of the server with the given ID, received at now, to a request sent at
// sent. If limited is set, the answer contains a limit of rate requests per second. Otherwise the
// limit is removed, but only if the request was sent after the limit was last announced, as
// answers can arrive out of order. Update reports whether the server's limit changed.
func (l *Limits) Update(now, sent time.Time, id string, rate float64, limited bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if !limited {
		if s == nil || !sent.After(s.announcedAt) {
			return false
		}
		delete(l.servers, id)
		return true
	}
	if s != nil {
		s.announcedAt = now
		changed := s.rate != rate
		s.rate = rate
		return changed
	}
	if l.servers == nil {
		l.servers = make(map[string]*serverLimit)
	}
	l.servers[id] = &serverLimit{rate: rate, announcedAt: now}
	return true
}
