package pass

import (
	"sync"
	"time"
)

// proxyAvoidTime is how long a proxy that refused a request or could not be reached gets no others.
const proxyAvoidTime = 500 * time.Millisecond

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

func (l *proxyLoads) avoid(now time.Time, proxy string) {
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
	l.avoidUntil[proxy] = now.Add(proxyAvoidTime)
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
