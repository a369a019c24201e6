package poison

import (
	"maps"
	"slices"
	"time"
)

// confirmWindow is the maximum time between the loss of a connection and the notice that the server process ended.
// Store entries expire a few seconds after their last heartbeat.
const confirmWindow = 5 * time.Second

// confirmations finds the requests that were in progress on servers whose processes have ended. It takes the loss of a
// connection and the end of the process in either order, at most confirmWindow apart. R is what is kept of a request.
// The zero value is ready to use.
type confirmations[R any] struct {
	// lost holds the requests whose connection to a server was lost, and endedAt when a server process was found to
	// have ended, both by the ID of the server instance.
	lost    map[string][]lostConnection[R]
	endedAt map[string]time.Time
}

// lostConnection is a request whose connection to a server was lost before the response ended.
type lostConnection[R any] struct {
	request R
	at      time.Time
}

// connectionLost records that the connection of a request to a server was lost. It reports whether the end of the
// process confirms it already; if not, a later processEnded may return the request.
func (c *confirmations[R]) connectionLost(now time.Time, request R, server string) (confirmed bool) {
	if at, ok := c.endedAt[server]; ok && now.Sub(at) < confirmWindow {
		return true
	}
	if c.lost == nil {
		c.lost = make(map[string][]lostConnection[R])
	}
	c.lost[server] = append(c.lost[server], lostConnection[R]{request: request, at: now})
	return false
}

// processEnded records that a server process has ended, and returns the requests that this confirms, in the order in
// which their connections were lost.
func (c *confirmations[R]) processEnded(now time.Time, server string) []R {
	if c.endedAt == nil {
		c.endedAt = make(map[string]time.Time)
	}
	c.endedAt[server] = now
	var confirmed []R
	for _, l := range c.lost[server] {
		if now.Sub(l.at) < confirmWindow {
			confirmed = append(confirmed, l.request)
		}
	}
	delete(c.lost, server)
	return confirmed
}

// sweep removes what nothing can confirm any more.
func (c *confirmations[R]) sweep(now time.Time) {
	maps.DeleteFunc(c.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= confirmWindow })
	for server, list := range c.lost {
		list = slices.DeleteFunc(list, func(l lostConnection[R]) bool { return now.Sub(l.at) >= confirmWindow })
		if c.lost[server] = list; len(list) == 0 {
			delete(c.lost, server)
		}
	}
}
