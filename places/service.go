package places

import (
	"slices"
	"time"
)

// service is the state of a service at the owner.
type service struct {
	// servers are in the order of the list of servers.
	servers            []*server
	queue              queue
	askedAt, expiredAt time.Time
}

// server is the state of a server at the owner.
type server struct {
	id    string
	slots int
	// processing is the average time of a request without a queue.
	processing time.Duration
	// running is the number of places. unowned is the number of requests from before this owner, until unownedUntil.
	running, unowned int
	unownedUntil     time.Time
	gone             bool
	// failures counts the places that ended without a response since the last one with a response, and failedAt is when the
	// last one did. failing is set while the server gets no requests for that.
	failures int
	failedAt time.Time
	failing  bool
}

// update follows the list of servers.
func (s *service) update(now time.Time, list []Server) {
	previous := s.servers
	s.servers = make([]*server, 0, len(list))
	for _, l := range list {
		if l.Slots <= 0 {
			continue
		}
		i := slices.IndexFunc(previous, func(p *server) bool { return p.id == l.ID })
		if i >= 0 {
			previous[i].slots = l.Slots
			if !now.Before(previous[i].unownedUntil) {
				previous[i].unowned = 0
			}
			s.servers = append(s.servers, previous[i])
			continue
		}
		added := &server{id: l.ID, slots: l.Slots, processing: l.ProcessingTime, unowned: l.Running}
		if added.processing <= 0 {
			added.processing = defaultProcessingTime
		}
		added.unownedUntil = now.Add(added.stay(l.Running))
		s.servers = append(s.servers, added)
	}
	for _, server := range s.servers {
		server.failing = server.failures >= maxFailures && now.Sub(server.failedAt) < probeInterval
	}
	for _, p := range previous {
		p.gone = !slices.Contains(s.servers, p)
	}
}

// rate returns how many requests with an objective the servers complete in a second.
func (s *service) rate(objective time.Duration) float64 {
	sum := 0.0
	for _, server := range s.servers {
		sum += float64(min(server.slots, server.depth(objective))) / server.processing.Seconds()
	}
	return sum
}

// free returns the number of free places for requests with an objective.
func (s *service) free(objective time.Duration) int {
	n := 0
	for _, server := range s.servers {
		n += max(server.depth(objective)-server.count(), 0)
	}
	return n
}

// best returns the server with a free place that is expected to complete the request first, nil for none.
func (s *service) best(r Request) *server {
	var best *server
	for _, server := range s.servers {
		if server.count() >= server.depth(r.Objective) || slices.Contains(r.Avoid, server.id) {
			continue
		}
		if best == nil || server.finish() < best.finish() {
			best = server
		}
	}
	return best
}

// shortestStay returns the time that a request spends at a server with all of its places taken.
func (s *service) shortestStay(objective time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, server := range s.servers {
		if server.failing {
			continue
		}
		if stay := server.stay(server.depth(objective)); shortest == 0 || stay < shortest {
			shortest = stay
		}
	}
	return shortest
}

// attainable adds to the objective of a request what the fastest server needs beyond it. Requests whose objective no server can
// meet are served late rather than refused.
func (s *service) attainable(r Request) Request {
	fastest := time.Duration(0)
	for _, server := range s.servers {
		if stay := server.stay(1); fastest == 0 || stay < fastest {
			fastest = stay
		}
	}
	if extra := minObjectiveRounds*fastest - r.Objective; extra > 0 {
		r.Objective += extra
		r.Remaining += extra
	}
	return r
}

// count returns the number of requests that run or wait at the server.
func (s *server) count() int { return s.running + s.unowned }

// rounds returns in how many rounds a server completes a number of requests.
func (s *server) rounds(requests int) float64 {
	return max(float64(requests)/float64(s.slots), 1)
}

// stay returns the time until a request has completed that is the last one of a number of requests at the server.
func (s *server) stay(requests int) time.Duration {
	return time.Duration(s.rounds(requests)*float64(s.processing)) + transferTime
}

// finish returns the time in which one more request would complete.
func (s *server) finish() time.Duration { return s.stay(s.count() + 1) }

// depth returns how many requests with an objective the server may have. A server that is too slow for the objective gets
// one at a time, which shows when it is faster again, and so does one that fails, at intervals.
func (s *server) depth(objective time.Duration) int {
	if s.failing {
		return 0
	}
	if s.failures >= maxFailures || s.stay(1) > time.Duration(timelyShare*float64(objective)) {
		return 1
	}
	within := max(queueShare*objective.Seconds(), s.processing.Seconds()+refillTime.Seconds())
	return max(int(float64(s.slots)*within/s.processing.Seconds()), s.slots)
}

// observe records the time of a request that was expected to take a number of rounds, 0 if it got no response. Unused
// places say nothing.
func (s *server) observe(now time.Time, took time.Duration, rounds float64) {
	if took == Unused {
		return
	}
	if took <= 0 {
		s.failures++
		s.failedAt = now
		return
	}
	s.failures = 0
	s.processing += time.Duration(processingWeight * (float64(took)/rounds - float64(s.processing)))
}
