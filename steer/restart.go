package steer

import "time"

// An order that got no response may be carried out seconds later. A server that has started again under its name counts
// orders from zero, so that the order can become valid a second time, at an instance that it was not decided for. What
// is known of such orders therefore outlives the instance, by the server's name, until they can no longer be carried out.

// maxOrderDelay is how long an unanswered order can still be executed: up to twelve seconds later
// according to the deployments.
const maxOrderDelay = 15 * time.Second

// endSeenWithin is how long after the end of an instance a controller may still send orders to it. The entry of an
// instance expires after three heartbeats, and clocks of VMs and servers differ a little.
const endSeenWithin = 4 * time.Second

// endedServer is an instance of a server that has ended.
type endedServer struct {
	*Server
	endedAt time.Time
}

// holdLate records that an order to this instance, or to one before it, may be carried out until the given time.
func (s *Server) holdLate(until time.Time) { s.lateUntil = later(s.lateUntil, until) }

// block sends no orders to this instance until the given time.
func (s *Server) block(until time.Time) { s.blockedUntil = later(s.blockedUntil, until) }

// BlockAfterRestart blocks orders to this instance of a server while an unanswered order to its
// previous instance may still be executed. The restarted server counts orders from zero again, so
// the sequence of the unanswered order can become valid a second time. It would then be executed
// in addition to an order that was decided on without it, and exceed the server's memory. An order
// that the previous instance accepted later invalidated the unanswered one there, but not here.
func (s *Server) BlockAfterRestart(now time.Time, previous *Server) {
	if now.Before(previous.lateUntil) {
		s.holdLate(previous.lateUntil)
		s.block(previous.lateUntil)
	}
}

// resume adds what is known of the orders to an instance whose entry was removed for a while. Where the platform does
// not report when instances start, it may also have restarted, which its first report shows by a sequence below the one
// before.
func (s *Server) resume(before *Server) {
	s.holdLate(before.lateUntil)
	s.block(before.blockedUntil)
	s.unansweredLoad, s.unansweredOrder, s.unansweredSequence = before.unansweredLoad, before.unansweredOrder, before.unansweredSequence
	s.outcomeUnknownAt, s.sequenceBefore = before.unansweredOrder, before.sequence
}

// endServer removes a server that is no longer listed, and keeps what is known of the orders to it. c.mu is held.
func (c *Controller) endServer(now time.Time, s *Server) {
	if c.orderInFlight[s.entry.ID] {
		s.holdLate(now.Add(maxOrderDelay))
	}
	name := s.entry.PlatformName()
	if before, ok := c.ended[name]; ok {
		s.BlockAfterRestart(now, before.Server)
	}
	if c.ended == nil {
		c.ended = make(map[string]endedServer)
	}
	c.ended[name] = endedServer{s, now}
	delete(c.servers, s.entry.ID)
	delete(c.lastReportRequest, s.entry.ID)
}

// blockRestarted blocks orders to the instances of a service's servers to which an order to the instance before may
// still be sent or carried out, and forgets the instances for which that time is over. c.mu is held.
func (c *Controller) blockRestarted(now time.Time, service string) {
	for _, s := range c.servers {
		if s.entry.Service != service {
			continue
		}
		name := s.entry.PlatformName()
		before, ok := c.ended[name]
		switch {
		case !ok:
		case before.entry.ID == s.entry.ID:
			s.resume(before.Server)
			delete(c.ended, name)
		default:
			s.BlockAfterRestart(now, before.Server)
		}
		if until := c.unseenUntil(s); now.Before(until) {
			s.holdLate(until)
			s.block(until)
		}
	}
	for name, e := range c.ended {
		if !now.Before(e.lateUntil) && now.Sub(e.endedAt) > maxOrderDelay+endSeenWithin {
			delete(c.ended, name)
		}
	}
}

// beginTermOrders records that the previous controller may have left an order unanswered at each server. It sent none to
// an instance once it knew of its end. c.mu is held.
func (c *Controller) beginTermOrders() {
	for _, s := range c.servers {
		s.holdLate(c.predecessorEnd.Add(maxOrderDelay))
	}
	for _, e := range c.ended {
		e.holdLate(earliest(c.predecessorEnd, e.endedAt.Add(endSeenWithin)).Add(maxOrderDelay))
	}
}

// unseenUntil returns until when an order of a previous controller to an earlier instance of a server may be carried out
// though this VM, which has not watched the servers for long enough, knows of no earlier instance. It returns the zero
// time if there was no previous controller, or if all instances have names of their own.
func (c *Controller) unseenUntil(s *Server) time.Time {
	if !c.hasPredecessor || s.entry.StartedAt.IsZero() {
		return time.Time{}
	}
	lastOrder := earliest(c.predecessorEnd, s.entry.StartedAt.Add(endSeenWithin), c.firstListed[s.entry.Service].Add(endSeenWithin))
	return lastOrder.Add(maxOrderDelay)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}
