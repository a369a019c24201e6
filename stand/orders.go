package stand

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// staleFencingTokenError reports that a call had a fencing token below the highest
// one received.
type staleFencingTokenError struct{ current int }

func (e *staleFencingTokenError) Error() string {
	return fmt.Sprintf("the fencing number is now %d", e.current)
}

// RaiseFencingToken sets the fencing token. It returns an error if the token is lower
// than the current one.
func (e *Engine) RaiseFencingToken(token int) error {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkFencingTokenLocked(token)
}

func (e *Engine) checkFencingTokenLocked(token int) error {
	if !e.ChecksFencing {
		return nil
	}
	if token < e.fencingToken {
		e.counts.staleFencingTokens.Add(1)
		return &staleFencingTokenError{current: e.fencingToken}
	}
	e.fencingToken = token
	return nil
}

// Apply executes an order. A repeated order has no effect.
func (e *Engine) Apply(order wire.Order, fencingToken int) error {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencingTokenLocked(fencingToken); err != nil {
		return err
	}
	if e.appliedOrders[order.Order] {
		return nil
	}
	e.appliedOrders[order.Order] = true
	switch order.Action {
	case wire.OrderActionLoad:
		e.loadLocked(order)
	case wire.OrderActionUnload:
		e.unloadLocked(order)
	case wire.OrderActionSetRole:
		e.role = string(order.Role)
	}
	return nil
}

func (e *Engine) loadLocked(order wire.Order) {
	key := residentKey{order.Model, order.Adapter, order.Version}
	if e.residents[key] != nil {
		return
	}
	e.residents[key] = &resident{bytes: order.Bytes}
	e.checkMemoryLocked()
	go e.fetchWeights(key, order)
}

func (e *Engine) fetchWeights(key residentKey, order wire.Order) {
	var err error
	if e.FetchWeights != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err = e.FetchWeights(ctx, order)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.residents[key]
	if r == nil {
		return
	}
	if err != nil {
		// The sender can retry an order that is no longer recorded.
		delete(e.residents, key)
		delete(e.appliedOrders, order.Order)
		return
	}
	r.loaded = true
	e.counts.loads.Add(1)
	e.reportedAt = time.Time{}
}

// unloadLocked unloads the weights after the requests that use them have ended.
func (e *Engine) unloadLocked(order wire.Order) {
	key := residentKey{order.Model, order.Adapter, order.Version}
	r := e.residents[key]
	if r == nil {
		return
	}
	r.unloading = true
	e.unloadIfUnusedLocked(key, r)
}

func (e *Engine) unloadIfUnusedLocked(key residentKey, r *resident) {
	if !r.unloading || r.activeRuns > 0 {
		return
	}
	delete(e.residents, key)
	e.counts.unloads.Add(1)
	e.reportedAt = time.Time{}
}

// injectOrderFault loses or delays an order, depending on the faults. It reports
// whether the order's connection breaks.
func (e *Engine) injectOrderFault(order wire.Order, fencingToken int) bool {
	faults := e.Faults()
	if e.shouldInject(faults.LostOrderShare) {
		return true
	}
	if !e.shouldInject(faults.DelayedOrderShare) {
		return false
	}
	e.counts.delayedOrders.Add(1)
	time.AfterFunc(time.Duration(faults.OrderDelayMs)*time.Millisecond, func() { _ = e.Apply(order, fencingToken) })
	return true
}
