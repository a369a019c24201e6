package limit

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: a server crashes if it has to reject more than a few requests in a second for want of room, and
// queues hardly any. More is asked of it than it has slots. Each VM knows the requests of the others as of some
// hundred milliseconds ago, so that all of them see the same free slot, and the server rejects all but one.
//
// One VM, the controller, therefore grants each request to such a server. It counts what it has granted since the
// loads that it knows, as if none of it were in them yet, so that it grants too few rather than too many. A
// rejection, from whatever cause, lowers the share of the slots that it grants, which then grows slowly.

const (
	// loadAge is the age of the loads from which they certainly contain what was granted before.
	loadAge = 400 * time.Millisecond
	// maxSlotShare and minSlotShare bound the share of a server's slots that is granted. A rejection takes
	// it down by rejectFactor, and it grows by shareGrowth a second.
	maxSlotShare = 0.9
	minSlotShare = 0.2
	rejectFactor = 0.7
	shareGrowth  = 0.05
	// rejectPause is the time without grants after a rejection. No second has two series of them.
	rejectPause = time.Second
	// processingFactor is how many times its average a request may take before the known load has it, as
	// most take less. transferTime is added for the way to the server.
	processingFactor = 4
	transferTime     = 10 * time.Millisecond
	// newsAge is the time after which the controller knows of a rejection. At first, and after a rejection,
	// it grants at most half of what the server may reject in that time, or one request, as none of them
	// may have found room. Each second without a rejection adds as many.
	newsAge = 80 * time.Millisecond
	// uncoordinatedShare is the share of its equal part that a VM grants which can not reach the controller:
	// the parts of all VMs are used at random times.
	uncoordinatedShare = 0.5
	// minUsable and maxUnusedTime bound the time for which less than a slot is left unused.
	minUsable     = 0.01
	maxUnusedTime = 20 * time.Second
	// fullWait is how long a VM waits that asks for a server without room.
	fullWait = 50 * time.Millisecond
)

// Room is what is known of a server when a request to it is to be granted.
type Room struct {
	// Server is the ID of the server instance.
	Server string
	// Slots is the number of its slots, 0 if unknown. Running is the number of requests that run or wait
	// there, as last reported.
	Slots, Running int
	// RejectsPerSecond is how many requests it can reject in a second.
	RejectsPerSecond float64
	// ProcessingTime is how long a request takes there on average, 0 if unknown.
	ProcessingTime time.Duration
}

// grantAge is the age from which a granted request has ended or is in the known load.
func (r Room) grantAge() time.Duration {
	if r.ProcessingTime == 0 {
		return loadAge
	}
	return min(processingFactor*r.ProcessingTime+transferTime, loadAge)
}

// inProgress returns how many requests the server may have, of which some were granted within grantAge. Those of
// the known load have ended meanwhile if they take less time than it is old, and the load then only tells if the
// server has become slow.
func (r Room) inProgress(granted int) int {
	if r.grantAge() < loadAge {
		return max(r.Running, granted)
	}
	return r.Running + granted
}

// Slots grants requests to servers that may not reject many. The zero value is ready to use. It is safe for
// concurrent use.
type Slots struct {
	// Seed makes VMs that can not reach the controller use their parts at different times.
	Seed uint64

	mu      sync.Mutex
	servers map[string]*slotGrants
}

// slotGrants is what was granted of one server.
type slotGrants struct {
	// recent are the times of the grants that the known load may lack.
	recent     []time.Time
	pauseUntil time.Time
	// staggered is set once the first use of less than a slot was put off.
	staggered bool
	// share is the share of the slots that was granted at most at shareAt, when grants began or the last
	// rejection was recorded.
	share   float64
	shareAt time.Time
}

// Grant grants a request to a server, for all VMs. It returns 0, or how long to wait before asking again. Only
// the controller may call it.
func (s *Slots) Grant(now time.Time, r Room) time.Duration {
	return s.grant(now, r, float64(r.Slots))
}

// GrantShare is like Grant, but grants from this VM's equal part of the slots, as one of vms. Running counts its
// own requests only. It is used by VMs that can not reach the controller.
func (s *Slots) GrantShare(now time.Time, r Room, vms int) time.Duration {
	return s.grant(now, r, uncoordinatedShare*float64(r.Slots)/float64(max(vms, 1)))
}

// grant grants a request from a number of slots, which may be a fraction of one.
func (s *Slots) grant(now time.Time, r Room, slots float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.server(now, r.Server)
	if wait := g.pauseUntil.Sub(now); wait > 0 {
		return wait
	}
	for len(g.recent) > 0 && now.Sub(g.recent[0]) >= loadAge {
		g.recent = g.recent[1:]
	}
	usable, granted := g.shareNow(now)*slots, g.grantedSince(now.Add(-r.grantAge()))
	switch {
	case g.grantedSince(now.Add(-newsAge)) >= g.untold(now, r):
		return fullWait
	case r.Slots == 0:
		// Only rejections tell when there is no room.
	case usable < 1 && granted == 0 && r.Running == 0:
		// Less than a slot is used for a part of the time.
		unused := min(time.Duration(float64(loadAge)/max(usable, minUsable)), maxUnusedTime)
		if !g.staggered {
			g.staggered = true
			g.pauseUntil = now.Add(time.Duration(float64(unused) * s.phase(r.Server)))
			return g.pauseUntil.Sub(now)
		}
		g.pauseUntil = now.Add(unused)
	case float64(r.inProgress(granted)+1) > usable:
		return fullWait
	}
	g.recent = append(g.recent, now)
	return 0
}

// phase returns a number from 0 up to 1 that differs between VMs and servers.
func (s *Slots) phase(server string) float64 {
	return float64(xxhash.Sum64String(fmt.Sprintf("%d %s", s.Seed, server))>>11) / (1 << 53)
}

// grantedSince returns how many requests were granted since a time.
func (g *slotGrants) grantedSince(since time.Time) int {
	n := 0
	for _, at := range g.recent {
		if at.After(since) {
			n++
		}
	}
	return n
}

// untold returns how many requests may be granted before it would be known that the first was rejected.
func (g *slotGrants) untold(now time.Time, r Room) int {
	first := max(int(r.RejectsPerSecond/2), 1)
	return first * (1 + int(now.Sub(g.shareAt).Seconds()))
}

// RecordReject records that a server rejected a request of any VM.
func (s *Slots) RecordReject(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.server(now, server)
	if now.Before(g.pauseUntil) {
		return // It was under way when the last one was recorded.
	}
	g.share, g.shareAt = max(g.shareNow(now)*rejectFactor, minSlotShare), now
	g.pauseUntil = now.Add(rejectPause)
}

// Retain forgets the servers for which used returns false.
func (s *Slots) Retain(used func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if !used(id) {
			delete(s.servers, id)
		}
	}
}

// server returns the grants of a server. s.mu is held.
func (s *Slots) server(now time.Time, id string) *slotGrants {
	g := s.servers[id]
	if g == nil {
		if s.servers == nil {
			s.servers = make(map[string]*slotGrants)
		}
		g = &slotGrants{share: maxSlotShare, shareAt: now}
		s.servers[id] = g
	}
	return g
}

// shareNow returns the share of the slots that may be granted.
func (g *slotGrants) shareNow(now time.Time) float64 {
	return min(g.share+shareGrowth*now.Sub(g.shareAt).Seconds(), maxSlotShare)
}
