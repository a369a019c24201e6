package steer

import (
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

func (c *Controller) placeModels(ctx context.Context, now time.Time, service routes.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand, limiter := c.demand(service.Name), c.loadLimiter(service)
	limiter.Unanswered, limiter.Inherited = 0, 0
	c.recordReplicas(now, service.Name)
	c.updatePaces(now, service.Name)
	for _, s := range c.serversOf(service.Name) {
		if s.HasUnansweredLoad(now) {
			limiter.Unanswered++
		}
		limiter.Inherited += s.InheritedLoads(limiter.PredecessorEnd.Add(-limiter.Window))
	}
	planner := &Planner{
		Engine: service.Engine, Servers: c.serversOf(service.Name), Now: now,
		Work:   func(model string) float64 { return demand.Work(now, model) / meanAge(demandHalfLife) },
		StdErr: func(model string) float64 { return demand.StdErr(now, model) / meanAge(demandHalfLife) },
		Forecast: func(model string, horizon time.Duration) (future, mean float64) {
			future, mean = demand.Forecast(now, model, horizon)
			return future / meanAge(demandHalfLife), mean / meanAge(demandHalfLife)
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
	for _, step := range planner.Steps() {
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

func (c *Controller) loadLimiter(service routes.Service) *LoadLimiter {
	if c.loadLimiters == nil {
		c.loadLimiters = make(map[string]*LoadLimiter)
	}
	loadLimiter := c.loadLimiters[service.Name]
	if loadLimiter == nil {
		window := c.Window
		if window == 0 {
			window = defaultWindow
		}
		loadLimiter = &LoadLimiter{Window: window}
		c.loadLimiters[service.Name] = loadLimiter
	}
	loadLimiter.PerSecond = service.Engine.StoreLoadsPerSecond
	return loadLimiter
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
