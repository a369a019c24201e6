package steer

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Load pattern: a release has replaced a few of the servers of a service, and one of them crashes. The streams that
// began there may go on only at servers of its software version. These have other models, and the plan, which
// looks at all servers, sees replicas enough.
//
// A model that such streams need is therefore loaded at a server of their version, and the last replica of a version
// is not replaced as long as streams ask for it.

// versionNeedTime is how long after the last stream asked for it a replica is kept.
const versionNeedTime = 10 * time.Second

// versionNeed is a model that streams of a software version need.
type versionNeed struct{ service, model, version string }

// loadModelForVersion orders a model to be loaded at a server of the version that a need names, unless one has it or
// will have it. Where memory is short, a model yields that other servers have.
func (c *Controller) loadModelForVersion(ctx context.Context, now time.Time, service routes.Service, need backs.Need) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mixedVersions(service.Name) {
		return
	}
	if c.versionNeeds == nil {
		c.versionNeeds = make(map[versionNeed]time.Time)
	}
	c.versionNeeds[versionNeed{service.Name, need.Model, need.Version}] = now
	s, victim := c.serverForModel(now, service, need)
	switch {
	case s == nil:
	case victim != "":
		s.Reserve(now, need.Model)
		c.sendAsync(context.WithoutCancel(ctx), s, Order{Unload: true, Model: victim}, 0)
	default:
		c.loadModelAt(context.WithoutCancel(ctx), now, s, service, service.Engine.Models[need.Model])
	}
}

// serverForModel returns the server of a version at which a model is to be loaded, and the model that has to yield
// there, "" for none. It returns nil if a server of the version has the model or will have it, or none can take it.
func (c *Controller) serverForModel(now time.Time, service routes.Service, need backs.Need) (best *Server, victim string) {
	for _, s := range c.serversOf(service.Name) {
		if !need.AllowsVersion(s.entry) || !c.reachable(now, s) {
			continue
		}
		if r := s.models[need.Model]; r != nil && r.phase != unloading || s.ReservedFor(now) == need.Model {
			return nil, ""
		}
		if !s.AcceptsOrders(now) || c.orderInFlight[s.entry.ID] || s.ReservedFor(now) != "" {
			continue
		}
		yields, ok := c.modelToYield(now, s, service, service.Engine.Models[need.Model])
		if ok && (best == nil || yields == "" && victim != "") {
			best, victim = s, yields
		}
	}
	return best, victim
}

// loadModelAt orders a model to be loaded at a server, unless the weight store allows no further load now.
func (c *Controller) loadModelAt(ctx context.Context, now time.Time, s *Server, service routes.Service, m routes.Model) {
	loadTime, fromStore := s.loadTime(m)
	limiter := c.loadLimiter(service)
	var start *LoadStart
	if fromStore {
		if !limiter.Allow(now) {
			return
		}
		start = limiter.Start(now)
	}
	c.sendAsyncWithCallback(ctx, s, Order{Model: m.Name}, loadTime, func(result OrderResult) {
		limiter.RecordResult(c.Now(), start, result)
	})
}

// mixedVersions reports whether servers of several software versions serve. Otherwise the plan alone decides on models.
func (c *Controller) mixedVersions(service string) bool {
	version := ""
	for _, s := range c.serversOf(service) {
		if s.entry.Draining {
			continue
		}
		if version != "" && s.entry.SoftwareVersion != version {
			return true
		}
		version = s.entry.SoftwareVersion
	}
	return false
}

// modelToYield returns the model that has to be unloaded at a server before another one fits, "" if none has to. It
// returns false if none may.
func (c *Controller) modelToYield(now time.Time, s *Server, service routes.Service, m routes.Model) (victim string, ok bool) {
	free := service.Engine.WeightMemoryMB - s.usedMB(service.Engine)
	if free >= m.SizeMB {
		return "", true
	}
	demand := c.demand(service.Name)
	least := 0.0
	for name, r := range s.models {
		tooSmall := free+s.modelOf(service.Engine, name).SizeMB < m.SizeMB
		if r.phase != loaded || tooSmall || !c.loadedElsewhere(s, service.Name, name, "") || c.neededAt(now, s, service.Name, name) {
			continue
		}
		if work := demand.Work(now, name); victim == "" || work < least || work == least && name < victim {
			victim, least = name, work
		}
	}
	return victim, victim != ""
}

// loadedElsewhere reports whether another server of a software version, or of any, has a model loaded.
func (c *Controller) loadedElsewhere(s *Server, service, model, version string) bool {
	need := backs.Need{Version: version}
	for _, other := range c.serversOf(service) {
		if r := other.models[model]; other != s && r != nil && r.phase == loaded && !other.entry.Draining && need.AllowsVersion(other.entry) {
			return true
		}
	}
	return false
}

// neededAt reports whether a server has the last replica of a model that streams of its software version have asked
// for of late. c.mu is held.
func (c *Controller) neededAt(now time.Time, s *Server, service, model string) bool {
	version := s.entry.SoftwareVersion
	askedAt, asked := c.versionNeeds[versionNeed{service, model, version}]
	if !asked {
		return false
	}
	if now.Sub(askedAt) >= versionNeedTime {
		delete(c.versionNeeds, versionNeed{service, model, version})
		return false
	}
	return !c.loadedElsewhere(s, service, model, version)
}
