package pass

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// What servers of two software versions write into one stream does not fit together, and servers do not check
// it. From its first event on, a stream is bound to the version that began it, whoever goes on with it.

// errVersionGone is returned for a begun stream of whose software version no server serves any more.
var errVersionGone = errors.New("no server of the software version that began the stream serves any more")

// origin is what binds a begun stream. The zero value is that of a stream that has not begun.
type origin struct {
	begun bool
	// version is the software version that began the stream, empty if it is unknown. Then only server, the
	// ID of the instance that began it, may go on.
	version, server string
}

// originAt returns the origin of a stream that begins at a server.
func originAt(e backs.Entry) origin {
	return origin{begun: true, version: e.SoftwareVersion, server: e.ID}
}

// allows reports whether a server may go on with the stream.
func (o origin) allows(e backs.Entry) bool {
	if !o.begun {
		return true
	}
	if o.version == "" {
		return e.ID == o.server
	}
	return e.SoftwareVersion == o.version
}

// servingCall returns the servers that may get new requests and may go on with the call's stream. Whatever
// counts the servers of a call counts these.
func (g *Gateway) servingCall(now time.Time, c *call) []backs.Entry {
	serving := g.Servers.Serving(now, c.service.Name)
	if !c.origin.begun {
		return serving
	}
	return slices.DeleteFunc(serving, func(e backs.Entry) bool { return !c.origin.allows(e) })
}

// originGone reports whether no server will go on with the call's stream, so that waiting is in vain.
func (g *Gateway) originGone(now time.Time, c *call) bool {
	if !c.origin.begun {
		return false
	}
	return !slices.ContainsFunc(g.Servers.All(now), func(e backs.Entry) bool {
		return e.Service == c.service.Name && !e.Draining && c.origin.allows(e)
	})
}
