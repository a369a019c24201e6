package ctrl

import (
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// DueOrders returns the orders to send now: those of recorded intents without a
// reported outcome, resent with back-off. It returns none before this
// controller's first successful update.
func (r *Reconciler) DueOrders(now time.Time) []wire.Order {
	if r.fencingToken == 0 {
		return nil
	}
	if r.lastSentAt == nil {
		r.lastSentAt, r.sendCounts = make(map[string]time.Time), make(map[string]int)
	}
	var orders []wire.Order
	for _, h := range r.ledger.Holdings {
		order, outstanding := outstandingOrder(h)
		if !outstanding || !r.isDue(now, order.Order) {
			continue
		}
		r.lastSentAt[order.Order] = now
		r.sendCounts[order.Order]++
		orders = append(orders, order)
	}
	return orders
}

func (r *Reconciler) isDue(now time.Time, orderID string) bool {
	lastSent, ok := r.lastSentAt[orderID]
	if !ok {
		return true
	}
	delay := min(initialResendDelay<<min(r.sendCounts[orderID]-1, 10), maxResendDelay)
	return now.Sub(lastSent) >= delay
}

func outstandingOrder(h wire.Holding) (wire.Order, bool) {
	order := wire.Order{Order: h.Order, Model: h.Model, Adapter: h.Adapter, Version: h.Version, Bytes: h.Bytes}
	switch h.State {
	case wire.HoldingStateLoading:
		order.Action = wire.OrderActionLoad
	case wire.HoldingStateUnloading:
		order.Action = wire.OrderActionUnload
	default:
		return wire.Order{}, false
	}
	return order, true
}

// NewOrderIDGenerator returns a generator of order identifiers. They are unique
// if prefix is unique to one run of a controller.
func NewOrderIDGenerator(prefix string) func() string {
	sequence := 0
	return func() string {
		sequence++
		return fmt.Sprintf("%s-%d", prefix, sequence)
	}
}
