package pass

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/places"
)

// errNoPlace is returned for a request that gets no place at a server in time.
var errNoPlace = errors.New("the servers have no place in time")

const (
	// maxSlotsPerVM is the number of slots of a service for each VM from which its requests need no places: a VM then
	// knows enough of the load of the servers by its own requests.
	maxSlotsPerVM = 4
	// maxPlaceKey bounds the key of a request, which is an integer on the wire.
	maxPlaceKey = 1 << 53
)

// heldPlace is the place of a call at a server. Hedges of the call share it.
type heldPlace struct {
	number int
	once   sync.Once
}

// needsPlace reports whether a call needs a place: its service runs no models, its servers report their load and have few slots
// for the number of VMs, and its route has an objective. Servers with limits of their own get permits instead.
func (g *Gateway) needsPlace(now time.Time, c *call, serving []backs.Entry) bool {
	if g.RequestPlace == nil || c.service.Engine != nil || c.route.Objective <= 0 || c.binding.begun {
		return false
	}
	slots, reports := 0, false
	for _, e := range serving {
		_, rateLimited := g.RateLimits.Rate(e.ID)
		_, rejectLimited := g.Servers.RejectLimit(now, e.ID)
		if e.Slots == 0 || rateLimited || rejectLimited {
			return false
		}
		slots += e.Slots
		reports = reports || g.reportingServers.has(e.ID)
	}
	return reports && slots < maxSlotsPerVM*g.vmCount()
}

// acquirePlace requests a place for a call. It returns the server of the place if one was granted. Otherwise again is set after
// a wait, when the caller should choose again, or the call is to be sent without a place because no owner answers.
func (g *Gateway) acquirePlace(ctx context.Context, now time.Time, c *call, serving []backs.Entry) (choice pick.Choice, granted, again bool, err error) {
	avoid := g.unusable(now, c, serving)
	if len(avoid) == len(serving) {
		return pick.Choice{}, false, false, nil // The call waits until a server can be used again, or for its next round.
	}
	if c.placeKey == 0 {
		g.mu.Lock()
		c.placeKey = 1 + g.random(now).Uint64N(maxPlaceKey)
		g.mu.Unlock()
	}
	answer, err := g.RequestPlace(ctx, c.service.Name, places.Request{
		Key: c.placeKey, Priority: c.urgency.Priority, Objective: c.route.Objective, Remaining: max(c.arrived.Add(c.route.Objective).Sub(now), 0), Avoid: avoid,
	})
	switch {
	case ctx.Err() != nil:
		g.returnPlace(answer)
		return pick.Choice{}, false, false, errNoPlace
	case err != nil || answer == (places.Answer{}):
		g.Meter.AddCounter("places.fallback", 1)
		return pick.Choice{}, false, false, nil
	case answer.Refused:
		g.Meter.AddCounter("places.refused", 1)
		c.retryAfter = answer.Wait
		return pick.Choice{}, false, false, errNoPlace
	case answer.Place == 0:
		pause.For(ctx, answer.Wait)
		c.placeWait += g.Now().Sub(now)
		return pick.Choice{}, false, true, nil
	}
	c.placeWait += g.Now().Sub(now)
	i := slices.IndexFunc(serving, func(e backs.Entry) bool { return e.ID == answer.Server })
	if i >= 0 {
		choice, granted = g.pickServer(g.Now(), c, serving[i:i+1])
	}
	if !granted {
		// The owner's list of servers is newer or older than that of this VM, or the server has asked for rest meanwhile.
		g.returnPlace(answer)
		g.Meter.AddCounter("places.fallback", 1)
		return pick.Choice{}, false, false, nil
	}
	g.Meter.AddCounter("places.granted", 1)
	c.place = &heldPlace{number: answer.Place}
	return choice, true, false, nil
}

// unusable returns the servers to which a call can not be sent now.
func (g *Gateway) unusable(now time.Time, c *call, serving []backs.Entry) []string {
	var ids []string
	for i, e := range serving {
		if _, ok := g.pickServer(now, c, serving[i:i+1]); !ok {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// returnPlace ends a place that is not used.
func (g *Gateway) returnPlace(a places.Answer) {
	if a.Place != 0 {
		g.EndPlace(places.End{Place: a.Place, Took: places.Unused})
	}
}

// endPlace ends the place of a call, if it has one that has not ended. took is the time from sending the request to its response, 0
// if there was none.
func (g *Gateway) endPlace(c *call, took time.Duration) {
	if p := c.place; p != nil {
		p.once.Do(func() { g.EndPlace(places.End{Place: p.number, Took: took}) })
	}
}
