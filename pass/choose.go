package pass

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

var (
	errNoServer = errors.New("no server of the service")
	errNoTime   = errors.New("no time left")
)

// holdShare is the part of its time that a request waits for a server at most:
// one that is still without a server then is refused while its caller has time
// to come back.
const holdShare = 0.5

// choose returns the server to send a call to. A call whose model or adapter no
// server holds waits for one to be loaded.
func (g *Gateway) choose(ctx context.Context, c *call) (pick.Choice, error) {
	hold, cancel := context.WithTimeout(ctx, time.Duration(holdShare*float64(c.left(g.Now()))))
	defer cancel()
	for {
		now := g.Now()
		if c.left(now) <= 0 || ctx.Err() != nil {
			return pick.Choice{}, errNoTime
		}
		changed := g.Servers.Changed()
		serving := g.Servers.Serving(now, c.service.Name)
		if choice, ok := g.pick(now, c, serving); ok {
			return choice, nil
		}
		if len(c.avoid) > 0 && !c.uncertain && c.route.Attempts > 1 {
			// Every candidate refused once; they are asked again.
			c.avoid = nil
			continue
		}
		if err := g.await(hold, c, changed); err != nil {
			return pick.Choice{}, err
		}
	}
}

// pick chooses among the serving servers that hold what the call needs.
func (g *Gateway) pick(now time.Time, c *call, serving []backs.Entry) (pick.Choice, bool) {
	if c.work.Model != "" {
		serving = slices.DeleteFunc(serving, func(e backs.Entry) bool { return !e.Holds(c.work.Model, c.work.Adapter) })
	}
	if len(c.servers) >= max(c.route.Attempts, 1) {
		serving = slices.DeleteFunc(serving, func(e backs.Entry) bool { return !slices.Contains(c.servers, e.ID) })
	}
	return g.Book.Choose(now, serving, c.work, g.tokenMemory(c), c.avoid)
}

func (g *Gateway) tokenMemory(c *call) int {
	if c.service.Engine == nil {
		return 0
	}
	return c.service.Engine.KVTokens
}

// await waits until there may be a server: one is found for the model, or what
// is known of the servers changes.
func (g *Gateway) await(ctx context.Context, c *call, changed <-chan struct{}) error {
	if c.work.Model == "" || g.Find == nil {
		select {
		case <-changed:
			return nil
		case <-ctx.Done():
			return errNoServer
		}
	}
	found := make(chan error, 1)
	find, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, err := g.Find(find, c.service.Name, c.work.Model, c.work.Adapter)
		found <- err
	}()
	select {
	case <-changed:
		return nil
	case err := <-found:
		if err != nil {
			return fmt.Errorf("find a server for %s: %w", c.work.Model, err)
		}
		return nil
	case <-ctx.Done():
		return errNoServer
	}
}
