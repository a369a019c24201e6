// Package paths decides whether one VM has a network path to the backend servers. A VM can lose it while
// callers, the store and the other VMs still reach the VM. What it can not do then, the others can, so that
// its requests go through one of them.
//
// The package does no I/O and takes the present time as an argument.
package paths

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

const (
	// lostServers is how many servers must fail, with none reached in between, for the path to count as
	// lost. While 40 in 100 servers are down, four more fail in a row once in forty times. They are probed
	// probesAtOnce at a time, so that a suspicion without a cause costs two probes.
	lostServers  = 5
	probesAtOnce = 2
	// suspicionInterval is the time since the last new connection that worked within which a failed one
	// raises no suspicion. While servers crash in series, each failed connection would otherwise cost
	// probes. It is a third of the time within which a lost path has to be known.
	suspicionInterval = time.Second
	// refusalDelay is the time after a refused connection from which bytes of any server tell that the path
	// is not lost. Bytes that arrived before a cut may be read a little later.
	refusalDelay = 50 * time.Millisecond
	// silenceLimit is the time without a byte from any server after which a silent server raises a
	// suspicion. A single server that is silent for a second is no sign of a lost path.
	silenceLimit = time.Second
)

// Tracker tracks whether a VM reaches the backend servers, by its new connections alone: in some failures
// open connections live on while no new ones can be made, in others they go silent and say nothing for
// seconds. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	// OnSuspicion is called when a new connection has failed and the path may be lost. Probes then tells
	// which servers to connect to. OnChange is called when the path is lost or is back. OnProcessEnded is
	// called for a server that refused a connection at a time, once it is known that the path is not lost.
	// All may be nil; they are called without locks held.
	OnSuspicion    func()
	OnChange       func(lost bool)
	OnProcessEnded func(refusedAt time.Time, server string)

	mu sync.Mutex
	// failed holds the servers that failed since a new connection last worked, at workedAt. refusedAt holds
	// when servers refused a connection and nothing told since whether the path is lost.
	failed    map[string]bool
	refusedAt map[string]time.Time
	workedAt  time.Time
	// suspected is set while probes are to tell whether the path is lost; the last such time began at
	// suspectedAt, and workedBefore is the value of workedAt then.
	suspected, lost           bool
	suspectedAt, workedBefore time.Time
	// heardAt is when a byte last arrived from any server.
	heardAt time.Time
	// lastProbed is the server that was probed last while the path is lost.
	lastProbed string
}

// Lost reports whether the VM has no path to any server.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// ConnectionFailed records that a new connection to a server could not be opened, or broke before the first
// byte of a response. refused is set if the connection was refused, as by a host without the server's
// process.
func (t *Tracker) ConnectionFailed(now time.Time, server string, refused bool) {
	for _, notify := range t.connectionFailed(now, server, refused) {
		notify()
	}
}

func (t *Tracker) connectionFailed(now time.Time, server string, refused bool) (notify []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused && !t.lost {
		if t.refusedAt == nil {
			t.refusedAt = make(map[string]time.Time)
		}
		t.refusedAt[server] = now
	}
	if t.mayBeLate(now) {
		// Servers that crash in series must not cost probes each, nor may their crashes wait for long.
		if refused && now.Sub(t.suspectedAt) >= suspicionInterval {
			return t.suspect(now)
		}
		return nil
	}
	if t.failed == nil {
		t.failed = make(map[string]bool)
	}
	t.failed[server] = true
	if !t.lost && len(t.failed) >= lostServers {
		notify = t.setLost(true)
	}
	return append(notify, t.suspect(now)...)
}

// mayBeLate reports whether a failed connection may have been begun before the one that worked last. t.mu is
// held.
func (t *Tracker) mayBeLate(now time.Time) bool {
	suspectedSince := t.suspected && t.suspectedAt.After(t.workedAt)
	return !t.lost && !suspectedSince && !t.workedAt.IsZero() && now.Sub(t.workedAt) < suspicionInterval
}

// Heard records that bytes arrived from a server, over any connection.
func (t *Tracker) Heard(now time.Time) {
	t.mu.Lock()
	t.heardAt = now
	var notify []func()
	if len(t.refusedAt) > 0 && !t.lost && !t.suspected {
		notify = t.processesEnded(now.Add(-refusalDelay))
	}
	t.mu.Unlock()
	for _, f := range notify {
		f()
	}
}

// Silent records that a request has waited for a server since a time. Its connection may have gone silent.
func (t *Tracker) Silent(now, since time.Time) {
	t.mu.Lock()
	var notify []func()
	silent := now.Sub(latest(since, t.heardAt, t.workedAt)) >= silenceLimit
	untoldRefusals := len(t.refusedAt) > 0 && now.Sub(t.suspectedAt) >= suspicionInterval
	if silent || untoldRefusals {
		notify = t.suspect(now)
	}
	t.mu.Unlock()
	for _, f := range notify {
		f()
	}
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// suspect begins a suspicion, unless there is one. t.mu is held.
func (t *Tracker) suspect(now time.Time) []func() {
	if t.suspected || t.OnSuspicion == nil {
		return nil
	}
	t.suspected, t.suspectedAt, t.workedBefore = true, now, t.workedAt
	return []func(){t.OnSuspicion}
}

// processesEnded returns the notifications that the processes of servers have ended which refused a connection
// until a time. t.mu is held.
func (t *Tracker) processesEnded(until time.Time) (notify []func()) {
	for server, at := range t.refusedAt {
		if at.After(until) {
			continue
		}
		delete(t.refusedAt, server)
		if t.OnProcessEnded != nil {
			notify = append(notify, func() { t.OnProcessEnded(at, server) })
		}
	}
	return notify
}

// setLost changes whether the path is lost. t.mu is held.
func (t *Tracker) setLost(lost bool) []func() {
	t.lost = lost
	t.refusedAt = nil
	if t.OnChange == nil {
		return nil
	}
	return []func(){func() { t.OnChange(lost) }}
}

// ConnectionWorked records that a response arrived over a new connection.
func (t *Tracker) ConnectionWorked(now time.Time) {
	for _, notify := range t.connectionWorked(now) {
		notify()
	}
}

func (t *Tracker) connectionWorked(now time.Time) (notify []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workedAt = now
	if t.lost {
		notify = t.setLost(false)
	} else {
		notify = t.processesEnded(now)
	}
	t.failed = nil
	return notify
}

// Probes returns the servers among candidates to connect to now, in order to find out whether the path is
// lost or is back. It returns none once that is known, which ends the suspicion. The caller records the
// result of each probe and asks again.
//
// A suspicion is probed at servers of other services and failure domains first, because a whole service or
// domain can fail for all VMs. A lost path is probed at one server after the other. In a deployment with
// fewer servers than are probed, the path is lost if all of them fail.
func (t *Tracker) Probes(candidates []backs.Entry) []backs.Entry {
	due, notify := t.probes(candidates)
	for _, f := range notify {
		f()
	}
	return due
}

func (t *Tracker) probes(candidates []backs.Entry) (due []backs.Entry, notify []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b backs.Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if t.lost {
		return t.nextProbe(candidates), nil
	}
	untried := slices.DeleteFunc(candidates, func(e backs.Entry) bool { return t.failed[e.ID] })
	switch {
	case t.workedAt.After(t.workedBefore):
		t.suspected = false
		return nil, nil
	case len(untried) > 0:
		return spread(untried, min(lostServers-len(t.failed), probesAtOnce)), nil
	case len(t.failed) > 1:
		return t.nextProbe(candidates), t.setLost(true)
	}
	t.suspected = false
	return nil, nil
}

// nextProbe returns the candidate after the one that was probed last. t.mu is held.
func (t *Tracker) nextProbe(candidates []backs.Entry) []backs.Entry {
	if len(candidates) == 0 {
		return nil
	}
	next := candidates[0]
	for _, e := range candidates {
		if e.ID > t.lastProbed {
			next = e
			break
		}
	}
	t.lastProbed = next.ID
	return []backs.Entry{next}
}

// spread returns n servers of as many services and failure domains as possible.
func spread(servers []backs.Entry, n int) []backs.Entry {
	var chosen []backs.Entry
	for len(chosen) < min(n, len(servers)) {
		best, bestShared := backs.Entry{}, -1
		for _, e := range servers {
			if slices.ContainsFunc(chosen, func(c backs.Entry) bool { return c.ID == e.ID }) {
				continue
			}
			shared := 0
			for _, c := range chosen {
				if c.Service == e.Service {
					shared += 2
				}
				if c.Domain == e.Domain {
					shared++
				}
			}
			if bestShared < 0 || shared < bestShared {
				best, bestShared = e, shared
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}
