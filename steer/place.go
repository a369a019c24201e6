package steer

import (
	"cmp"
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// startupListingTime is how long the controller waits for the other servers of a service after
	// the first one was listed: servers that start together write their entries within two
	// heartbeats, some 2.5 s. Until then the models of unlisted servers seem to have no replica.
	// Loading them at once replaced half the replicas of the busiest model, moments before its
	// requests began.
	startupListingTime = 4 * time.Second
	// defaultWindow is the default window of the weight store's load limit.
	defaultWindow = 5 * time.Second
)

// placeModels sends the next orders of a service's plan.
func (c *Controller) placeModels(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand, limiter := c.demand(service.Name), c.loadLimiter(service)
	c.recordReplicas(now, service.Name)
	c.updatePaces(now, service.Name)
	c.countStoreLoads(now, limiter, service.Name)
	for _, step := range c.planner(now, service, demand, limiter).Steps() {
		if c.orderInFlight[step.Server.entry.ID] {
			limiter.Release(step.LoadStart)
			continue
		}
		if step.ReplacedBy != "" {
			step.Server.Reserve(now, step.ReplacedBy)
		}
		c.sendAsyncWithCallback(ctx, step.Server, Order{Unload: step.Unload, Model: step.Model.Name}, step.LoadTime, func(result OrderResult) {
			limiter.RecordResult(c.Now(), step.LoadStart, result)
		})
	}
}

// countStoreLoads updates the limiter's numbers of load orders without an answer and of loads that the previous
// controller may have begun. c.mu is held.
func (c *Controller) countStoreLoads(now time.Time, limiter *LoadLimiter, service string) {
	limiter.Unanswered, limiter.Inherited = 0, 0
	for _, s := range c.serversOf(service) {
		if s.HasUnansweredLoad(now) {
			limiter.Unanswered++
		}
		limiter.Inherited += s.InheritedLoads(limiter.PredecessorEnd.Add(-limiter.Window))
	}
}

// planner returns the planner of a service. c.mu is held, also while the planner is used.
func (c *Controller) planner(now time.Time, service routes.Service, demand *Demand, limiter *LoadLimiter) *Planner {
	// A decaying sum divided by its mean age is the rate of what is added to it.
	age := meanAge(demandHalfLife)
	return &Planner{
		Engine: service.Engine, Servers: c.serversOf(service.Name), Now: now,
		Work:   func(model string) float64 { return demand.Work(now, model) / age },
		StdErr: func(model string) float64 { return demand.StdErr(now, model) / age },
		Forecast: func(model string, horizon time.Duration) (future, mean float64) {
			future, mean = demand.Forecast(now, model, horizon)
			return future / age, mean / age
		},
		Contended:          c.Contended,
		Needed:             func(s *Server, model string) bool { return c.neededAt(now, s, service.Name, model) },
		TimeWithoutReplica: func(model string) time.Duration { return c.timeWithoutReplica(now, service.Name, model) },
		SinceRequested:     func(model string) (time.Duration, bool) { return c.sinceRequested(now, demand, model), true },
		MayBeUnlisted: func(model string) bool {
			return now.Sub(c.firstListed[service.Name]) < startupListingTime && demand.Last(model).IsZero()
		},
		// Counts each planned load at once: one plan may contain many, and each must count the
		// ones before it.
		StartStoreLoad: func() *LoadStart {
			if !limiter.Allow(now) {
				return nil
			}
			return limiter.Start(now)
		},
	}
}

// loadLimiter returns the limiter of a service's loads from the weight store. c.mu is held.
func (c *Controller) loadLimiter(service routes.Service) *LoadLimiter {
	if c.loadLimiters == nil {
		c.loadLimiters = make(map[string]*LoadLimiter)
	}
	limiter := c.loadLimiters[service.Name]
	if limiter == nil {
		limiter = &LoadLimiter{Window: cmp.Or(c.Window, defaultWindow)}
		c.loadLimiters[service.Name] = limiter
	}
	limiter.PerSecond = service.Engine.StoreLoadsPerSecond
	return limiter
}

// recordReplicas records which models have a replica now. c.mu is held.
func (c *Controller) recordReplicas(now time.Time, service string) {
	for _, s := range c.serversOf(service) {
		if !s.Placeable(now) || c.Contended != nil && c.Contended(s.entry.ID) {
			continue
		}
		for name, r := range s.models {
			if r.phase != unloading {
				c.lastReplicaSeen[service+"/"+name] = now
			}
		}
	}
}

// timeWithoutReplica returns how long a model has been without a replica. c.mu is held.
func (c *Controller) timeWithoutReplica(now time.Time, service, model string) time.Duration {
	last, ok := c.lastReplicaSeen[service+"/"+model]
	if !ok {
		last = c.firstListed[service]
	}
	return now.Sub(last)
}

// sinceRequested returns how long ago a model was last requested. The requests before this VM's term are
// unknown, and may have been sent just before it. c.mu is held.
func (c *Controller) sinceRequested(now time.Time, demand *Demand, model string) time.Duration {
	last := demand.Last(model)
	if last.Before(c.termBegunAt) {
		last = c.termBegunAt
	}
	return now.Sub(last)
}
