package pass

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

var (
	errNoServer = errors.New("no server of the service")
	errNoTime   = errors.New("no time left")
	errAllTried = errors.New("all servers were tried")
	errCutOff   = errors.New("this VM is cut off from the servers")
	errStopping = errors.New("this VM stops and has no server for the request")
	errNoRoom   = errors.New("the servers' queues are too long")
)

const (
	// maxRounds bounds how often all candidates are tried: one that refuses for
	// an order under way takes requests again within some tens of milliseconds. A
	// request whose servers can not be reached waits for the controller to load
	// its model elsewhere: that takes some seconds, and its caller has the time.
	maxRounds = 4
	// roundPause lies between two rounds.
	roundPause = 40 * time.Millisecond
	// findAgain is the pause after a controller could not be asked.
	findAgain = 150 * time.Millisecond
)

// holdShare is the part of the time until its caller leaves that a request waits for a
// server at most: one that is still without a server then is refused, and its caller comes
// back or asks elsewhere. By the whole time for the answer instead, requests for models
// that were being loaded waited for 5 s of 10 while their callers gave up after 2.
const holdShare = 0.5

// choose returns the server to send a call to. A call whose model or adapter no
// server holds waits for one to be loaded.
func (g *Gateway) choose(ctx context.Context, c *call) (pick.Choice, error) {
	start := g.Now()
	deadline := start.Add(c.holdTime(start))
	hold, cancel := context.WithTimeout(ctx, deadline.Sub(start))
	defer cancel()
	if g.Closing != nil {
		// A VM that stops has less time than the request: what still waits for a
		// server then would be cut off without a word.
		defer context.AfterFunc(g.Closing, cancel)()
	}
	for {
		now := g.Now()
		if c.remaining(now) <= 0 || ctx.Err() != nil {
			return pick.Choice{}, errNoTime
		}
		if g.blocked(now, c) {
			return pick.Choice{}, errBlocked
		}
		changed := g.Servers.Changed()
		serving := g.Servers.Serving(now, c.service.Name)
		if choice, ok := g.pick(now, c, serving); ok {
			if g.admit(now, c, choice) {
				if !g.acquirePermit(hold, choice.Server.ID) {
					continue
				}
				return choice, nil
			}
			if !g.holdBack(hold, now, c, choice) {
				return pick.Choice{}, errNoRoom
			}
			continue
		}
		if waited, err := g.awaitPermit(hold, now, deadline, c, serving); err != nil {
			return pick.Choice{}, err
		} else if waited {
			continue
		}
		if len(c.avoid) > 0 && (c.tries > c.roundTries || !g.replaced(now, c, serving)) {
			// Every candidate was tried. One that refused may take the request
			// after a pause; one that can not be reached is left to the controller
			// to replace, until the last round.
			c.roundTries = c.tries
			c.rounds++
			if g.cutOff(now, c, serving) {
				return pick.Choice{}, errCutOff
			}
			if c.rounds > maxRounds && !g.replaced(now, c, serving) {
				return pick.Choice{}, errAllTried
			}
			pause.For(hold, roundPause)
			c.avoid = nil
			if c.rounds != maxRounds {
				c.avoid = c.unreached
			}
			if _, ok := g.pick(g.Now(), c, serving); ok || !g.replaced(now, c, serving) {
				continue
			}
		}
		err := g.await(hold, c, changed)
		c.sought += g.Now().Sub(now)
		if err != nil {
			if g.stopping() {
				return pick.Choice{}, errStopping
			}
			c.comeBack = c.loadLeft(serving)
			return pick.Choice{}, err
		}
	}
}

// loadLeft returns how much longer the model of a call that has waited for a server will
// take to be loaded, 0 where a server that can be reached holds it already: an adapter takes
// milliseconds. A caller that came back sooner would wait in vain once more, and then give up.
func (c *call) loadLeft(serving []backs.Entry) time.Duration {
	if c.service.Engine == nil || slices.ContainsFunc(serving, c.mayHold) {
		return 0
	}
	return max(c.service.Engine.Models[c.work.Model].Load-c.sought, 0)
}

// mayHold reports whether a server holds the call's model, and was not found dead by it.
func (c *call) mayHold(e backs.Entry) bool {
	return e.HasModel(c.work.Model, "") && !slices.Contains(c.unreached, e.ID)
}

// replaced reports whether a call's model can be expected to be loaded elsewhere,
// as the servers that hold it can not be reached. Where this VM is the one that is cut
// off, it can not be: its caller is better off with another VM, and is told so at once.
func (g *Gateway) replaced(now time.Time, c *call, serving []backs.Entry) bool {
	return c.work.Model != "" && len(c.unreached) > 0 && !g.Book.Isolated(now, serving)
}

// cutOff reports whether a call could reach none of its servers since this VM is cut off
// from the other failure domains. Further rounds would hold its caller up for 0.2 s, with as
// many as ten connections tried, for the same refusal.
func (g *Gateway) cutOff(now time.Time, c *call, serving []backs.Entry) bool {
	reached := slices.ContainsFunc(c.avoid, func(id string) bool { return !slices.Contains(c.unreached, id) })
	return !reached && len(c.unreached) > 0 && g.Book.Isolated(now, serving)
}

// pick chooses among the serving servers that hold what the call needs and that
// it may still be sent to.
func (g *Gateway) pick(now time.Time, c *call, serving []backs.Entry) (pick.Choice, bool) {
	candidates := make([]backs.Entry, 0, len(serving))
	for _, e := range serving {
		if g.eligible(c, e) && g.Limits.Backoff(now, e.ID) == 0 {
			candidates = append(candidates, e)
		}
	}
	return g.Book.Choose(now, candidates, c.work, g.tokenMemory(c), c.avoid)
}

// eligible reports whether a server holds what a call needs, and the call may be sent to another
// server or was already sent to this one.
func (g *Gateway) eligible(c *call, e backs.Entry) bool {
	if c.work.Model != "" && !e.HasModel(c.work.Model, c.work.Adapter) {
		return false
	}
	return len(c.servers) < max(c.route.Attempts, 1) || slices.Contains(c.servers, e.ID)
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
		if err == nil {
			// It may be one that this VM can not reach, until the controller
			// finds that out too.
			pause.For(ctx, roundPause)
			return nil
		}
		// Without a controller another one takes over within seconds, or the
		// entry of a server tells of the model.
		c.reason = fmt.Sprintf("find a server for %s: %v", c.work.Model, err)
		pause.For(ctx, findAgain)
		if ctx.Err() != nil {
			return fmt.Errorf("find a server for %s: %w", c.work.Model, err)
		}
		return nil
	case <-ctx.Done():
		return errNoServer
	}
}
