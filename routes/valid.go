package routes

import (
	"time"

	"github.com/gravitational/trace"
)

// Empty reports whether a table has nothing, not even a version, as that of a document which is no configuration.
func (t *Table) Empty() bool { return t.version == 0 && len(t.routesByHost)+len(t.services) == 0 }

// Validate returns a trace.BadParameter error that names the first field that no operator sets so.
func (t *Table) Validate() error {
	if t.version < 0 {
		return trace.BadParameter("version %d is negative", t.version)
	}
	if l := t.limits; l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return trace.BadParameter("limits %+v are negative", l)
	}
	for _, list := range t.routesByHost {
		for _, r := range list {
			if min(r.Timeout, r.Objective, r.MaxEventGap) < 0 || r.Priority < 0 {
				return trace.BadParameter("a time or the priority of route %.100q is negative", r.Name)
			}
		}
	}
	for _, s := range t.services {
		if err := s.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (s Service) validate() error {
	if s.MaxConns < 0 {
		return trace.BadParameter("service %.100q has %d connections", s.Name, s.MaxConns)
	}
	e := s.Engine
	if e == nil {
		return nil
	}
	if min(e.Slots, e.KVCacheTokens, e.TokensPerEvent, e.AdapterSlots, e.MaxCacheEventCalls) < 0 ||
		min(e.WeightMemoryMB, e.HostCacheMB, e.DiskCacheMB, e.StoreLoadsPerSecond) < 0 {
		return trace.BadParameter("a capacity of the engine of service %.100q is negative", s.Name)
	}
	for _, m := range e.Models {
		if min(m.SizeMB, m.AdapterSizeMB) < 0 || min(m.LoadTime, m.MemoryLoadTime, m.DiskLoadTime) < time.Duration(0) || m.AdapterCount < 0 {
			return trace.BadParameter("model %.100q of service %.100q has a negative size or time", m.Name, s.Name)
		}
	}
	return nil
}
