package pass

import (
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// Streams end within streamLifeTimeouts times their route's timeout, and callers that wait longer than
	// that, within minStreamLife.
	streamLifeTimeouts = 2
	minStreamLife      = 10 * time.Second
)

// streamLives holds for how long streams at each service may last that have begun under any configuration that this VM has
// had in force. A stream keeps the timeout under which it began. The zero value is ready to use.
type streamLives struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

// observe applies a configuration that comes into force.
func (l *streamLives) observe(t *routes.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = make(map[string]time.Duration)
	}
	for _, r := range t.Routes() {
		if r.Kind != routes.Stream {
			continue
		}
		for _, target := range r.Targets {
			l.byService[target.Service] = max(l.byService[target.Service], streamLife(r))
		}
	}
}

// of returns how long a stream on a route at a service may last.
func (l *streamLives) of(r routes.Route, service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.byService[service], streamLife(r))
}

// streamLife returns how long a stream on a route may last. Without a timeout that is as long as its caller likes.
func streamLife(r routes.Route) time.Duration {
	if r.Timeout <= 0 {
		return backs.HistoryRetention
	}
	return min(max(streamLifeTimeouts*r.Timeout, minStreamLife), backs.HistoryRetention)
}

// ObserveTable applies a configuration that comes into force.
func (g *Gateway) ObserveTable(t *routes.Table) { g.lives.observe(t) }
