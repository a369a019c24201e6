package stand

import (
	"fmt"
	"sync"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// prefixCache is a FIFO cache of prompt prefixes. It keeps the latest events of
// insertions and evictions.
type prefixCache struct {
	capacity int

	mu             sync.Mutex
	insertionOrder []uint64
	cached         map[uint64]bool
	sequence       int
	events         []wire.CacheEvent
}

// add inserts a prefix and reports whether it was already cached.
func (c *prefixCache) add(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil {
		c.cached = make(map[uint64]bool)
	}
	if c.cached[prefix] {
		return true
	}
	c.cached[prefix] = true
	c.insertionOrder = append(c.insertionOrder, prefix)
	c.recordEvent(prefix, false)
	if len(c.insertionOrder) > c.capacity {
		c.recordEvent(c.insertionOrder[0], true)
		delete(c.cached, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
	return false
}

func (c *prefixCache) recordEvent(prefix uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, wire.CacheEvent{Sequence: c.sequence, Prefix: fmt.Sprintf("%016x", prefix), Evicted: evicted})
	if excess := len(c.events) - 2*c.capacity; excess > 0 {
		c.events = c.events[excess:]
	}
}

// eventsAfter returns the retained events after a sequence number.
func (c *prefixCache) eventsAfter(sequence int) []wire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []wire.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence {
			events = append(events, e)
		}
	}
	return events
}
