package steer

import (
	"cmp"
	"slices"
	"time"
)

// syncServers applies the entries of a service's servers and removes the servers that are no
// longer listed.
func (c *Controller) syncServers(now time.Time, service string) {
	entries := c.Servers.StoredEntries(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.sortedServers = make(map[string][]*Server)
		c.servers, c.orderInFlight, c.lastReportRequest = make(map[string]*Server), make(map[string]bool), make(map[string]time.Time)
		c.firstListed, c.lastReplicaSeen = make(map[string]time.Time), make(map[string]time.Time)
	}
	listedIDs, previous := make(map[string]bool), len(c.sortedServers[service])
	added := 0
	for _, e := range entries {
		if e.Service != service {
			continue
		}
		listedIDs[e.ID] = true
		s := c.servers[e.ID]
		if s == nil {
			s = NewServer(e.ReceivedAt, e.Entry)
			c.servers[e.ID] = s
			added++
		}
		s.ApplyEntry(now, e.ReceivedAt, e.Entry)
		s.SetRest(now, e.Rest)
		if e.Unreadable {
			s.RequireReport()
		}
	}
	for id, s := range c.servers {
		if s.entry.Service == service && !listedIDs[id] {
			c.endServer(now, s)
		}
	}
	if added > 0 || len(listedIDs) != previous {
		c.sortServers(service)
	}
	if c.firstListed[service].IsZero() && len(listedIDs) > 0 {
		c.firstListed[service] = now
	}
	c.blockRestarted(now, service)
	c.notifyChanged()
}

// serversOf returns the servers of a service sorted by ID. Callers must not change the list.
func (c *Controller) serversOf(service string) []*Server { return c.sortedServers[service] }

// sortServers sorts the servers of a service by ID, so that the same state leads to the same
// decisions.
func (c *Controller) sortServers(service string) {
	var list []*Server
	for _, s := range c.servers {
		if s.entry.Service == service {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	c.sortedServers[service] = list
}
