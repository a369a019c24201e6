package pass

import (
	"sync"
	"time"
)

const (
	// proxyAvoidTime is how long a proxy that could not be reached, or that can send nothing, gets no requests.
	proxyAvoidTime = 500 * time.Millisecond
	// busyProxyAvoidTime is the same for a proxy that sends as many requests as it may. One of them ends
	// within some tens of milliseconds. If all proxies counted as busy for longer, requests would be refused
	// which they could send.
	busyProxyAvoidTime = 100 * time.Millisecond
	// stoppingProxyAvoidTime is the same for a proxy that shuts down.
	stoppingProxyAvoidTime = 2 * time.Second
)

// proxyLoads spreads the requests of a VM over its proxies. The zero value is ready to use.
type proxyLoads struct {
	mu sync.Mutex
	// running is the number of this VM's requests at each proxy, and avoidUntil the time until which a
	// proxy gets none.
	running    map[string]int
	avoidUntil map[string]time.Time
}

// choose returns the proxy with the fewest requests of this VM.
func (l *proxyLoads) choose(now time.Time, proxies []string) (address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range proxies {
		if now.Before(l.avoidUntil[p]) {
			continue
		}
		if !ok || l.running[p] < l.running[address] {
			address, ok = p, true
		}
	}
	return address, ok
}

// avoid keeps requests from a proxy for a duration.
func (l *proxyLoads) avoid(now time.Time, proxy string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoidUntil == nil {
		l.avoidUntil = make(map[string]time.Time)
	}
	for p, until := range l.avoidUntil {
		if !now.Before(until) {
			delete(l.avoidUntil, p)
		}
	}
	l.avoidUntil[proxy] = now.Add(duration)
}

func (l *proxyLoads) add(proxy string, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[string]int)
	}
	if l.running[proxy] += delta; l.running[proxy] <= 0 {
		delete(l.running, proxy)
	}
}
