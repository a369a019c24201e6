package pass

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// What servers of two software versions write into one stream does not fit together, and servers do not check
// it. From its first event on, a stream is bound to the version that began it, whoever goes on with it.

// binding is what binds a begun stream. The zero value is that of a stream that has not begun.
type binding struct {
	begun bool
	// version is the software version that began the stream, empty if it is unknown. Then only server, the
	// ID of the instance that began it, may go on.
	version, server string
}

// bindingAt returns the binding of a stream that begins at a server.
func bindingAt(e backs.Entry) binding {
	return binding{begun: true, version: e.SoftwareVersion, server: e.ID}
}

// allows reports whether a server may go on with the stream.
func (b binding) allows(e backs.Entry) bool {
	if !b.begun {
		return true
	}
	if b.version == "" {
		return e.ID == b.server
	}
	return e.SoftwareVersion == b.version
}

// serversFor returns the servers that may get new requests and may go on with the call's stream. Whatever
// counts the servers of a call counts these.
func (g *Gateway) serversFor(now time.Time, c *call) []backs.Entry {
	serving := g.Servers.Serving(now, c.service.Name)
	if !c.binding.begun {
		return serving
	}
	return slices.DeleteFunc(serving, func(e backs.Entry) bool { return !c.binding.allows(e) })
}

// listNeededBy returns the time as of which a list of servers shows who may go on with the call's stream: that of its
// arrival, and once it was sent, of the end of its last send.
func (c *call) listNeededBy() time.Time {
	if c.sendEndedAt.After(c.arrived) {
		return c.sendEndedAt
	}
	return c.arrived
}

// bindingGone reports whether no server will go on with the call's stream, so that waiting is in vain. A list that may be
// older than the request, or the end of its last send, does not say so: servers of the version may not be on it yet.
func (g *Gateway) bindingGone(now time.Time, c *call) bool {
	if !c.binding.begun || !g.Servers.CurrentAt().After(c.listNeededBy()) {
		return false
	}
	return !slices.ContainsFunc(g.Servers.All(now), func(e backs.Entry) bool {
		return e.Service == c.service.Name && !e.Draining && c.binding.allows(e)
	})
}

// beginConfirming begins to have the list of servers confirmed for bindingGone. awaitServer returns when that has ended.
func (g *Gateway) beginConfirming(ctx context.Context, c *call) {
	by := c.listNeededBy()
	if c.confirmed != nil || !c.binding.begun || g.Servers.CurrentAt().After(by) {
		return
	}
	confirmed := make(chan struct{})
	c.confirmed = confirmed
	go func() {
		defer close(confirmed)
		g.confirmServers(ctx, by)
	}()
}
