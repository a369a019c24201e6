package peers

import (
	"cmp"
	"slices"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM that has lost its path to the backend servers sends its requests through other VMs, its proxies. It
// tells its hub, and the hub names VMs that are linked to it and have a path.

// maxProxies bounds the proxies that a hub names, and with them the size of a frame.
const maxProxies = 32

// PathChanged makes this VM tell its hub, and the VMs linked to it, that it has lost its path to the backend
// servers or has it again.
func (p *Peers) PathChanged() {
	p.reportDue.raise()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalLoads()
}

// ProxyVMs returns the addresses of VMs through which this VM may send requests to backend servers. Some of
// them may have lost their path meanwhile.
func (p *Peers) ProxyVMs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.knownProxies(), func(address string) bool { return address == p.Address })
}

// ProxyKey returns the key that this VM presents to its proxies.
func (p *Peers) ProxyKey() string { return p.Lease.currentKey() }

// AcceptsProxyKey reports whether a VM that presents a key may use this one as its proxy.
func (p *Peers) AcceptsProxyKey(key string) bool { return p.Lease.acceptsKey(key) }

// hasPath reports whether this VM has a path to the backend servers.
func (p *Peers) hasPath() bool { return p.HasPath == nil || p.HasPath() }

// withoutPathBelow reports whether a VM linked to this one, directly or not, has no path. p.mu must be held.
func (p *Peers) withoutPathBelow() bool {
	for d := range p.links {
		if s := p.subtrees[d.vm]; s.withoutPath || s.withoutPathBelow {
			return true
		}
	}
	return false
}

// needsProxies reports whether a VM of this VM's subtree has no path. p.mu must be held.
func (p *Peers) needsProxies() bool { return !p.hasPath() || p.withoutPathBelow() }

// announcedProxies returns the proxies that this hub names, none while all VMs known to it have a path. p.mu
// must be held.
func (p *Peers) announcedProxies() []string {
	if len(p.hubProxies) == 0 && !p.needsProxies() {
		return nil
	}
	return p.knownProxies()
}

// knownProxies returns VMs that can serve as proxies: those of this VM's subtree, then those that its hub
// named. p.mu must be held.
func (p *Peers) knownProxies() []string {
	return appendProxies(p.linkedProxies(), p.hubProxies)
}

// linkedProxies returns the VMs of this VM's subtree that can serve as proxies, as far as it knows them: those
// linked to it and itself, the strongest first, then those below linked VMs without a path. p.mu must be held.
func (p *Peers) linkedProxies() []string {
	type proxy struct {
		address    string
		millicores int
	}
	var proxies []proxy
	if p.HasPath != nil && p.HasPath() {
		proxies = append(proxies, proxy{p.Address, int(1000 * p.Cores)})
	}
	var below []string
	for d := range p.links {
		s := p.subtrees[d.vm]
		if d.hello.ServesAsProxy && d.hello.Address != "" && !s.withoutPath {
			proxies = append(proxies, proxy{d.hello.Address, d.hello.Millicores})
		}
		below = append(below, s.proxies...)
	}
	slices.SortFunc(proxies, func(a, b proxy) int {
		return cmp.Or(cmp.Compare(b.millicores, a.millicores), cmp.Compare(a.address, b.address))
	})
	var addresses []string
	for _, x := range proxies {
		addresses = append(addresses, x.address)
	}
	slices.Sort(below)
	return appendProxies(addresses, below)
}

// appendProxies appends the proxies that are not in the list yet, up to maxProxies.
func appendProxies(list, more []string) []string {
	for _, address := range more {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list[:min(len(list), maxProxies)]
}

// currentKey returns the key of the current term.
func (l *Lease) currentKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Key
}

// acceptsKey reports whether a key is that of the current term or of the one before: not all VMs learn of a
// new controller at the same time.
func (l *Lease) acceptsKey(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := link.KeysEqual(key, l.record.Key)
	previous := link.KeysEqual(key, l.previousKey)
	return current || previous
}

// setRecord replaces the record and keeps the key of the term before. l.mu must be held.
func (l *Lease) setRecord(record wire.ControllerLease) {
	if record.Key != l.record.Key && l.record.Key != "" {
		l.previousKey = l.record.Key
	}
	l.record = record
}
