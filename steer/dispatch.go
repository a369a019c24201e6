package steer

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// start sends an order in the background. c.mu is held. The sequence is that
// of the decision: a report that comes in before the order is sent may show an
// order that was carried out late and took the memory which the decision
// counted on. With the new sequence the server would take the order and exceed
// its memory; with the old one it refuses.
func (c *Controller) start(ctx context.Context, s *Server, o Order, within time.Duration) {
	c.startModel(ctx, s, o, within, nil)
}

// startModel is start with a function that is told the server's verdict, with c.mu held.
func (c *Controller) startModel(ctx context.Context, s *Server, o Order, within time.Duration, answered func(Verdict)) {
	c.busy[s.entry.ID] = true
	o.Expect = s.sequence
	c.spawn(func() {
		verdict := c.order(ctx, s, o, within)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, s.entry.ID)
		if answered != nil {
			answered(verdict)
		}
	})
}

// engine returns what the servers of a service can hold.
func (c *Controller) engine(service string) *routes.Engine {
	if t := c.Table(); t != nil {
		if s, ok := t.Service(service); ok && s.Engine != nil {
			return s.Engine
		}
	}
	return &routes.Engine{}
}

var errNotLeading = errors.New("this VM does not hold the controllers' lease")

// order sends one order and takes in its outcome. The caller has marked the
// server as busy.
func (c *Controller) order(ctx context.Context, s *Server, o Order, within time.Duration) Verdict {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := c.Now()
	fence, leading := c.Fence(now)
	if !leading {
		return Refused
	}
	c.mu.Lock()
	o.Holder, o.Fence = c.Name, fence
	e := s.entry
	c.mu.Unlock()
	verdict, err := c.Commands.Send(ctx, e, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Answered(c.Now(), now, c.engine(e.Service), o, verdict, within)
	c.notify()
	c.Meter.AddCounter("steer.orders", 1)
	c.Log.Info().Str("server", e.ID).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
		Int("expect", o.Expect).Int("fence", fence).Dur("within", within).Int("verdict", int(verdict)).Err(err).Msg("order")
	return verdict
}
