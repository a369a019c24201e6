package steer

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// sendAsync sends an order in the background. c.mu is held. The order expects the sequence at the
// time of the decision: a report that arrives before the order is sent may show that a delayed
// order was executed and took the memory which the decision relied on. With the new sequence the
// server would accept the order and exceed its memory; with the old one it refuses.
func (c *Controller) sendAsync(ctx context.Context, s *Server, o Order, expectedTime time.Duration) {
	c.sendAsyncWithCallback(ctx, s, o, expectedTime, nil)
}

// sendAsyncWithCallback is sendAsync with a function that is called with the order's result while
// c.mu is held.
func (c *Controller) sendAsyncWithCallback(ctx context.Context, s *Server, o Order, expectedTime time.Duration, onResult func(OrderResult)) {
	c.orderInFlight[s.entry.ID] = true
	o.ExpectedSequence = s.sequence
	c.spawn(func() {
		result := c.send(ctx, s, o, expectedTime)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.orderInFlight, s.entry.ID)
		if onResult != nil {
			onResult(result)
		}
	})
}

// engine returns the model catalogue and capacities of a service's servers.
func (c *Controller) engine(service string) *routes.Engine {
	if t := c.Table(); t != nil {
		if s, ok := t.Service(service); ok && s.Engine != nil {
			return s.Engine
		}
	}
	return &routes.Engine{}
}

var errNotLeading = errors.New("this VM does not hold the controllers' lease")

// send sends one order and applies its result. The caller has marked the order as in flight.
func (c *Controller) send(ctx context.Context, s *Server, o Order, expectedTime time.Duration) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := c.Now()
	fencingToken, leading := c.FencingToken(now)
	if !leading {
		return Refused
	}
	c.mu.Lock()
	o.Holder, o.FencingToken = c.Name, fencingToken
	e := s.entry
	c.mu.Unlock()
	if rest := c.Servers.RestRemaining(now, e.ID); rest > 0 {
		c.Log.Info().Str("server", e.ID).Str("model", o.Model).Str("adapter", o.Adapter).Dur("rest", rest).Msg("order not sent, the server asked for rest")
		return Refused
	}
	result, notice, err := c.ServerCalls.Send(ctx, e, o)
	c.Servers.ApplyNotice(c.Now(), e.ID, notice)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ApplyResult(c.Now(), now, c.engine(e.Service), o, result, expectedTime)
	c.notifyChanged()
	c.Meter.AddCounter("steer.orders", 1)
	c.Log.Info().Str("server", e.ID).Str("model", o.Model).Str("adapter", o.Adapter).Bool("unload", o.Unload).
		Int("expect", o.ExpectedSequence).Int("fence", fencingToken).Dur("within", expectedTime).Int("verdict", int(result)).Err(err).Msg("order")
	return result
}
