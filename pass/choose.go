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
	"github.com/hibiscuscart/hibiscuscart/places"
)

var (
	errNoServer         = errors.New("no server of the service is available")
	errDeadlineExceeded = errors.New("request deadline exceeded")
	errAllTried         = errors.New("all servers of the service failed or refused the request")
	errAlone            = errors.New("this VM is cut off from the store and the other VMs")
	errIsolated         = errors.New("this VM is cut off from the servers")
	errStopping         = errors.New("this VM is shutting down and has no server for the request")
	errQueuesFull       = errors.New("the queues of the servers are too long")
)

const (
	// maxRounds bounds the passes over all candidates. A server that refuses because a load order
	// is in progress accepts requests again within tens of milliseconds. If the servers are
	// unreachable, the request waits for the controller to load its model elsewhere, which takes
	// some seconds and fits into the request deadline.
	maxRounds = 4
	// roundInterval is the pause between two passes.
	roundInterval = 40 * time.Millisecond
	// unreachableRetryInterval is how long after a failed connection a request that still has no server tries the same
	// one again: its host may only have been silent for a moment, and then nobody loads the model elsewhere.
	unreachableRetryInterval = time.Second
	// findRetryInterval is the pause after a failed call to the controller.
	findRetryInterval = 150 * time.Millisecond
	// serverRecheckInterval is the interval between checks for a usable server while the list of
	// servers does not change: a server that reappeared becomes usable without a change.
	serverRecheckInterval = 100 * time.Millisecond
)

// maxServerWaitShare is the part of the remaining time for which a request may wait for a server. A
// request still without a server is then refused, so that its caller can retry or use another VM.
// When the wait was based on the request deadline, requests for models that were being loaded
// waited 5 s of 10 s, while their callers gave up after 2 s.
const maxServerWaitShare = 0.5

// chooseServer returns the server for a call. If no server has the model or adapter, the call waits
// for one to load it.
func (g *Gateway) chooseServer(ctx context.Context, c *call) (pick.Choice, error) {
	start := g.Now()
	deadline := start.Add(c.maxServerWait(start))
	waitCtx, cancel := context.WithTimeout(ctx, deadline.Sub(start))
	defer cancel()
	if g.ShutdownContext != nil {
		// A VM that shuts down may stop before the request deadline. Requests still waiting for a
		// server would then lose their connections without a response.
		defer context.AfterFunc(g.ShutdownContext, cancel)()
	}
	for {
		now := g.Now()
		if c.remaining(now) <= 0 || ctx.Err() != nil {
			return pick.Choice{}, errDeadlineExceeded
		}
		if g.blocked(now, c) {
			return pick.Choice{}, errBlocked
		}
		g.beginViaProxies(c)
		changed := g.Servers.Changed()
		serving := g.serversFor(now, c)
		if len(serving) == 0 && g.bindingGone(now, c) {
			g.Meter.AddCounter("pass.version_gone", 1)
			return pick.Choice{}, errVersionGone
		}
		if len(serving) == 0 {
			g.beginConfirming(waitCtx, c)
		}
		if g.needsPlace(now, c, serving) {
			choice, granted, again, err := g.acquirePlace(waitCtx, now, c, serving)
			if granted {
				err = g.refuseUnfinished(g.Now(), c, choice, 0)
			}
			if err != nil {
				g.endPlace(c, places.Unused)
				return pick.Choice{}, err
			}
			if granted {
				return choice, nil
			}
			if again {
				continue
			}
		}
		if choice, ok := g.pickServer(now, c, serving); ok {
			if err := g.refuseUnfinished(now, c, choice, 0); err != nil {
				return pick.Choice{}, err
			}
			if g.mayAdmit(now, c, choice) {
				if !g.acquirePermit(waitCtx, choice.Server.ID) {
					continue
				}
				return choice, nil
			}
			if !g.waitForAdmission(waitCtx, now, c, choice) {
				c.choice = choice
				g.Balancer.Unserved(now, c.service.Name, c.work)
				return pick.Choice{}, errQueuesFull
			}
			continue
		}
		if err := g.refuseUnfinishedWait(now, c, serving); err != nil {
			return pick.Choice{}, err
		}
		if again, err := g.awaitServing(waitCtx, now, deadline, c, serving); err != nil {
			return pick.Choice{}, err
		} else if again {
			continue
		}
		err := g.awaitServer(waitCtx, c, changed)
		c.modelWait += g.Now().Sub(now)
		if err != nil {
			return pick.Choice{}, g.refuseAfterWait(now, c, serving, err)
		}
	}
}

// awaitServing waits until one of the serving servers, none of which can be picked now, may take the call: once it has
// room, its backoff has ended or the next round begins. It reports whether to choose again, and returns an error if the
// call is to be refused.
func (g *Gateway) awaitServing(ctx context.Context, now, deadline time.Time, c *call, serving []backs.Entry) (again bool, err error) {
	if g.allResting(now, c, serving) && !g.mayWaitOutRest(c) {
		g.Meter.AddCounter("pass.refused_resting", 1)
		return false, errResting
	}
	if waited, err := g.awaitRoom(ctx, now, deadline, c, serving); waited || err != nil {
		return waited, err
	}
	if waited, err := g.awaitPermit(ctx, now, deadline, c, serving); waited || err != nil {
		return waited, err
	}
	return g.nextRound(ctx, now, c, serving)
}

// nextRound begins another pass over the candidates if every one was tried. A server that refused may accept
// the request after a pause. An unreachable server is skipped until the last round, while the controller
// loads its model elsewhere. It reports whether to choose again, and returns an error if no pass is left.
func (g *Gateway) nextRound(ctx context.Context, now time.Time, c *call, serving []backs.Entry) (again bool, err error) {
	if c.recallUnreachable(now) {
		return true, nil
	}
	if len(c.excluded) == 0 || c.attempts <= c.roundStartAttempts && g.replacementExpected(now, c) {
		return false, nil
	}
	if c.recallLeft() {
		return true, nil
	}
	c.roundStartAttempts = c.attempts
	c.rounds++
	if g.isolated(now, c) {
		return false, errIsolated
	}
	if c.rounds > maxRounds && !g.replacementExpected(now, c) {
		return false, errAllTried
	}
	pause.For(ctx, roundInterval)
	c.excluded = nil
	if c.rounds != maxRounds {
		c.excluded = c.unreachable
	}
	_, ok := g.pickServer(g.Now(), c, serving)
	return ok || !g.replacementExpected(now, c), nil
}

// recallUnreachable makes the servers that the call could not connect to candidates again after a time, and reports whether
// there are any.
func (c *call) recallUnreachable(now time.Time) bool {
	if len(c.unreachable) == 0 || now.Sub(c.notReachedAt) < unreachableRetryInterval {
		return false
	}
	c.excluded = slices.DeleteFunc(c.excluded, func(id string) bool { return slices.Contains(c.unreachable, id) })
	c.unreachable = nil
	return true
}

// refuseAfterWait returns the reason for refusing a call whose wait for a server ended with err, and sets
// the call's retryAfter.
func (g *Gateway) refuseAfterWait(now time.Time, c *call, serving []backs.Entry, err error) error {
	switch {
	case g.stopping():
		c.retryAfter = 0
		return errStopping
	case errors.Is(err, errAlone):
		// Other VMs may have a server, whatever a load would take here.
		g.Meter.AddCounter("pass.refused_alone", 1)
		c.retryAfter = 0
	case errors.Is(err, errResting):
		// Other VMs can send requests to the server, so the caller need not wait for the end of the rest.
		g.Meter.AddCounter("pass.refused_resting", 1)
		c.retryAfter = backs.LongRest
	default:
		c.retryAfter = g.remainingLoadTime(now, c, serving)
	}
	return err
}

// remainingLoadTime returns how much longer it will take to load the model of a call that has
// waited for a server. It returns 0 if a reachable server has the model, because an adapter loads
// in milliseconds. A caller that retried sooner would wait in vain once more, and then give up.
func (g *Gateway) remainingLoadTime(now time.Time, c *call, serving []backs.Entry) time.Duration {
	has := func(e backs.Entry) bool { return c.hasModel(e) && g.Servers.RestRemaining(now, e.ID) == 0 }
	if c.service.Engine == nil || slices.ContainsFunc(serving, has) {
		return 0
	}
	return max(c.service.Engine.Models[c.work.Model].LoadTime-c.modelWait, 0)
}

// hasModel reports whether a server has the call's model and was not found unreachable by the
// call.
func (c *call) hasModel(e backs.Entry) bool {
	return e.HasModel(c.work.Model, "") && !slices.Contains(c.unreachable, e.ID)
}

// replacementExpected reports whether the controller can be expected to load the call's model
// elsewhere, because the servers that have it are unreachable. If this VM itself is isolated, no
// replacement is expected, and the call is refused at once so that its caller can use another VM.
func (g *Gateway) replacementExpected(now time.Time, c *call) bool {
	return c.work.Model != "" && len(c.unreachable) > 0 && !g.cutOff(now, c)
}

// isolated reports whether a call reached none of its servers because this VM is partitioned from
// the other failure domains. Further rounds would end in the same refusal, after 0.2 s and up to
// ten connection attempts.
func (g *Gateway) isolated(now time.Time, c *call) bool {
	if g.Paths.Lost() {
		return false
	}
	reached := slices.ContainsFunc(c.excluded, func(id string) bool { return !slices.Contains(c.unreachable, id) })
	return !reached && len(c.unreachable) > 0 && g.cutOff(now, c)
}

// cutOff reports whether this VM is partitioned from the other failure domains, by all servers of the service:
// those that can take the call may be too few to tell.
func (g *Gateway) cutOff(now time.Time, c *call) bool {
	return g.Balancer.Isolated(now, g.Servers.Serving(now, c.service.Name))
}

// pickServer selects one of the serving servers that have what the call needs, are neither at rest nor in
// backoff, have room if they may not reject many requests, and may receive the call.
func (g *Gateway) pickServer(now time.Time, c *call, serving []backs.Entry) (pick.Choice, bool) {
	candidates := make([]backs.Entry, 0, len(serving))
	for _, e := range serving {
		if g.eligible(c, e) && g.Servers.RestRemaining(now, e.ID) == 0 && g.RateLimits.Backoff(now, e.ID) == 0 && g.Servers.SendPause(now, e.ID) == 0 {
			candidates = append(candidates, e)
		}
	}
	return g.Balancer.Choose(now, candidates, c.work, g.kvCacheTokens(c), c.excluded)
}

// eligible reports whether a server has what a call needs, and the call may be sent to another
// server or was already sent to this one.
func (g *Gateway) eligible(c *call, e backs.Entry) bool {
	if c.work.Model != "" && !e.HasModel(c.work.Model, c.work.Adapter) {
		return false
	}
	return len(c.sentTo) < max(c.route.MaxServers, 1) || slices.Contains(c.sentTo, e.ID)
}

func (g *Gateway) kvCacheTokens(c *call) int {
	if c.service.Engine == nil {
		return 0
	}
	return c.service.Engine.KVCacheTokens
}

// awaitServer waits until the controller has found a server for the model, or the server list
// changes.
func (g *Gateway) awaitServer(ctx context.Context, c *call, changed <-chan struct{}) error {
	if c.work.Model == "" || g.FindServer == nil {
		recheck := time.NewTimer(serverRecheckInterval)
		defer recheck.Stop()
		select {
		case <-changed:
			return nil
		case <-c.confirmed:
			c.confirmed = nil
			return nil
		case <-recheck.C:
			return nil
		case <-ctx.Done():
			return errNoServer
		}
	}
	var server string
	found := make(chan error, 1)
	findCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		var err error
		server, err = g.FindServer(findCtx, backs.Need{Service: c.service.Name, Model: c.work.Model, Adapter: c.work.Adapter, Version: c.binding.version})
		found <- err
	}()
	select {
	case <-changed:
		return nil
	case <-c.confirmed:
		c.confirmed = nil
		return nil
	case err := <-found:
		if err == nil && g.Servers.RestRemaining(g.Now(), server) > 0 {
			return errResting
		}
		if err == nil {
			// This VM may be unable to reach the server that was found, until the controller
			// detects that too.
			pause.For(ctx, roundInterval)
			return nil
		}
		// If no controller is reachable, another VM takes over the role within seconds, or a
		// server's entry lists the model.
		c.reason = fmt.Sprintf("find a server for %s: %v", c.work.Model, err)
		if g.Alone != nil && g.Alone() {
			return fmt.Errorf("find a server for %s: %w", c.work.Model, errAlone)
		}
		pause.For(ctx, findRetryInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("find a server for %s: %w", c.work.Model, err)
		}
		return nil
	case <-ctx.Done():
		return errNoServer
	}
}
