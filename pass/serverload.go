package pass

import "sync"

const (
	// maxLoggedServers bounds the servers that are remembered as logged. Beyond it, each may be logged once more.
	maxLoggedServers = 4096
	// maxLoggedValue bounds how much of an invalid header is logged.
	maxLoggedValue = 80
)

// loggedServers are servers for which something was logged that is logged once for each. The zero value is empty.
type loggedServers struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add reports whether a server was not in the set, and adds it.
func (l *loggedServers) add(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.ids[id]; ok {
		return false
	}
	if l.ids == nil || len(l.ids) >= maxLoggedServers {
		l.ids = make(map[string]struct{})
	}
	l.ids[id] = struct{}{}
	return true
}

// has reports whether a server is in the set.
func (l *loggedServers) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.ids[id]
	return ok
}

// recordServerLoad records what the response reports about the load of its server. An invalid value is counted, logged once for
// each server, and ignored. A response through a proxy is recorded by the VM that chose the server, not by the proxy as well,
// so that it is one sample.
func (r *reply) recordServerLoad() {
	n := r.g.HeaderNames
	value := r.resp.Header.Get(n.ServerLoad)
	if value == "" || r.forOtherVM || r.g.Gauge == nil || n.ParseServerLoad == nil || !r.g.attested(r.resp) {
		return
	}
	reading, err := n.ParseServerLoad(value)
	if err != nil {
		r.g.Meter.AddCounter("gauge.invalid_readings", 1)
		if r.g.invalidLoads.add(r.server) {
			r.g.Log.Warn().Str("request", r.requestID).Str("server", r.server).Str("load", value[:min(len(value), maxLoggedValue)]).Err(err).Msg("invalid load of a server")
		}
		return
	}
	if reading.Pace > 0 {
		r.g.Meter.AddCounter("gauge.readings", 1)
		r.g.reportingServers.add(r.server)
		r.g.Gauge.Heard(r.g.Now(), r.server, reading)
	}
}
