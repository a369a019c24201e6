// Package places grants places at the servers of services with few slots, before requests are sent. The package
// performs no I/O and does not read the clock.
package places

import (
	"sync"
	"time"
)

// Load pattern: many VMs share a few servers with few slots each, for example 84 VMs and 3 servers of 6 slots and
// 60 ms a request. A VM knows the requests of the others as of some hundred milliseconds ago, in which a server runs
// thirty requests. All VMs see the same server with the shortest queue and fill it, and it rejects the rest while
// slots of the others are unused.
//
// One VM, the owner, therefore grants each request a place at a server. It counts the places that it has granted and
// not heard to have ended, so that a server has as many requests as it serves within the objective. Requests without
// a place wait in their VMs, which ask again at the time that the owner tells them. A request that can not be
// served in time is refused at once, with the time until there is room.

const (
	// queueShare is the share of its objective that a request may spend in the server. The rest of the wait
	// is spent at the VM, in the order of priority.
	queueShare = 0.6
	// timelyShare is the share of the remaining time within which a request has to be served by the estimate, which
	// is too low at times.
	timelyShare = 0.9
	// refillTime is the time without new requests for which the queue of a server lasts: the time for the report of an
	// end (20 ms), the next call of a waiting request and the way to the server.
	refillTime = 40 * time.Millisecond
	// transferTime is added to the processing time for the way to the server and back.
	transferTime = 10 * time.Millisecond
	// minWait and maxWait bound the time after which a waiting request asks again.
	minWait = 10 * time.Millisecond
	maxWait = 100 * time.Millisecond
	// waiterGrace is how long after that time a waiting request keeps its position.
	waiterGrace = 20 * time.Millisecond
	// defaultProcessingTime applies until the first place at a server has ended.
	defaultProcessingTime = 100 * time.Millisecond
	// processingWeight is the weight of one measurement in the average of the processing time.
	processingWeight = 0.1
	// expiryFactor times the expected response time is the longest usual one, after which a place without a report
	// of its end is free. minExpiry bounds it for short requests. With a larger factor and many ends lost, the
	// servers seem faster than they are, and reject requests.
	expiryFactor = 2
	minExpiry    = 300 * time.Millisecond
	// minObjectiveRounds times the response time of the fastest idle server is the least objective that places follow.
	minObjectiveRounds = 2
	// lateEndTime is how long after its expiry the end of a place still tells how slow the server is. Without it, a
	// server that is much slower than usual gets new requests each time that its places expire.
	lateEndTime = 10 * time.Second
	// maxFailures is the number of places in a row that end without a response from which a server gets one request at
	// a time, at probeInterval after a failure. A server that does not accept connections ends its places at once and
	// would get all requests. VMs that can not reach a server are a part of them, and others have responses in between.
	maxFailures   = 3
	probeInterval = 250 * time.Millisecond
	// idleTime is the time after which the state of a service without calls is removed.
	idleTime = time.Minute
)

// Server is a server of a service, as the owner knows it from the list of servers and the reports of the VMs.
type Server struct {
	ID    string
	Slots int
	// Running is the number of requests that ran or waited there as last reported. It counts when the owner sees the
	// server for the first time.
	Running int
	// ProcessingTime is the time of a request without a queue, 0 if unknown. It applies until the owner has
	// measured it.
	ProcessingTime time.Duration
}

// Request is a request for a place. A VM sends it again with the same key while it waits.
type Request struct {
	Key uint64
	// Priority is the priority of the request, 0 is first. Among equal ones the least Remaining time is first.
	Priority int
	// Objective is the objective of the request, and Remaining the rest of it.
	Objective, Remaining time.Duration
	// Avoid lists the servers to which the VM can not send the request.
	Avoid []string
}

// Answer is the answer to a request for a place. A request without a place is refused, or has to wait. The zero value means that the
// owner knows no usable server, and the VM decides itself.
type Answer struct {
	// Place is the number of the place and Server its server, 0 and "" if there is none.
	Place  int
	Server string
	// Refused is set if the request can not be served in time. Wait is the time until there is room then,
	// otherwise the time after which to ask again.
	Refused bool
	Wait    time.Duration
}

// Unused is the Took of a place that no request was sent with. It says nothing about the server.
const Unused = -time.Microsecond

// End is the end of a request with a place.
type End struct {
	Place int
	// Took is the time between sending the request and the response, 0 if there was none, or Unused.
	Took time.Duration
}

// Owner grants the places of all services. The zero value is ready to use. It is safe for concurrent use.
type Owner struct {
	// Seed makes the numbers of places differ between owners, so that none takes a place of another owner for its own.
	Seed uint64

	mu       sync.Mutex
	last     int
	services map[string]*service
	granted  map[int]*place
}

// place is a granted place.
type place struct {
	server  *server
	expires time.Time
	// expired is set once the place counts no longer.
	expired bool
	// rounds is the number of rounds of requests at the server until this one was expected to end.
	rounds float64
}

// Ask decides on a request for a place at one of the servers of a service. Servers that are no longer listed lose their
// places.
func (o *Owner) Ask(now time.Time, name string, servers []Server, r Request) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(now, name)
	s.update(now, servers)
	o.expire(now, s)
	s.queue.remove(r.Key)
	ahead := s.queue.ahead(now, r)
	r = s.attainable(r)
	timely := time.Duration(timelyShare * float64(r.Remaining))
	rate, free := s.rate(r.Objective), s.free(r.Objective)
	best := s.best(r)
	if rate == 0 {
		return Answer{}
	}
	avoids := best == nil && free > 0
	if avoids {
		free = 0 // The free places are at servers that this VM can not use.
	}
	if best != nil && ahead < free {
		if finish := best.finish(); finish > timely && best.count() > 0 {
			return Answer{Refused: true, Wait: finish - timely}
		}
		return Answer{Place: o.grant(now, best), Server: best.id}
	}
	wait := time.Duration(float64(ahead-free+1) / rate * float64(time.Second))
	if finish := wait + s.shortestStay(r.Objective); finish > timely {
		return Answer{Refused: true, Wait: finish - timely}
	}
	wait = min(max(wait, minWait), maxWait)
	if !avoids { // Otherwise it would keep the free places from requests that can use them.
		s.queue.add(now, r, wait)
	}
	return Answer{Wait: wait}
}

// End records the ends of requests with places. Places of other owners and places that have expired are ignored.
func (o *Owner) End(now time.Time, ends []End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range ends {
		p := o.granted[e.Place]
		if p == nil {
			continue
		}
		delete(o.granted, e.Place)
		p.free()
		p.server.observe(now, e.Took, p.rounds)
	}
}

// grant grants a place at a server and returns its number. o.mu is held.
func (o *Owner) grant(now time.Time, s *server) int {
	if o.granted == nil {
		o.granted = make(map[int]*place)
		o.last = int(o.Seed & (1<<31 - 1))
	}
	o.last++
	expiry := max(expiryFactor*s.finish(), minExpiry)
	s.running++
	o.granted[o.last] = &place{server: s, expires: now.Add(expiry), rounds: s.rounds(s.count())}
	return o.last
}

// free makes a place free, once.
func (p *place) free() {
	if !p.expired {
		p.expired = true
		p.server.running--
	}
}

// expire frees places without a report of their end, and those of servers that are gone. o.mu is held.
func (o *Owner) expire(now time.Time, s *service) {
	if now.Sub(s.expiredAt) < minWait {
		return
	}
	s.expiredAt = now
	for number, p := range o.granted {
		if !now.Before(p.expires) || p.server.gone {
			p.free()
		}
		if !now.Before(p.expires.Add(lateEndTime)) || p.server.gone {
			delete(o.granted, number)
		}
	}
}

// service returns the state of a service, and removes that of services without calls. o.mu is held.
func (o *Owner) service(now time.Time, name string) *service {
	s := o.services[name]
	if s == nil {
		for other, idle := range o.services {
			if now.Sub(idle.askedAt) >= idleTime {
				delete(o.services, other)
			}
		}
		if o.services == nil {
			o.services = make(map[string]*service)
		}
		s = &service{}
		o.services[name] = s
	}
	s.askedAt = now
	return s
}

// Open reports whether the end of a granted place is not known.
func (o *Owner) Open(place int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.granted[place] != nil
}
