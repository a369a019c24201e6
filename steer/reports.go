package steer

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

func (c *Controller) requestReports(ctx context.Context, now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.serversOf(service) {
		interval := reportInterval
		if s.NeedsReport() || s.OrderDue(now) {
			interval = reportRetryInterval
		}
		id := s.entry.ID
		if s.Resting(now) || c.orderInFlight[id] || !c.lastReportRequest[id].IsZero() && now.Sub(c.lastReportRequest[id]) < interval {
			continue
		}
		c.lastReportRequest[id] = now
		e := s.entry
		c.spawn(func() { c.requestReport(ctx, e) })
	}
}

func (c *Controller) requestReport(ctx context.Context, e backs.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := c.Now()
	r, err := c.ServerCalls.Report(ctx, e)
	if err != nil {
		c.applyRefusedReport(e.ID, r.Notice, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[e.ID]
	if s == nil {
		return
	}
	if !r.StartedAt.IsZero() && !r.StartedAt.Equal(e.StartedAt) {
		c.Log.Info().Str("server", e.ID).Time("born", r.StartedAt).Msg("report from another instance of the server")
		if r.StartedAt.After(e.StartedAt) {
			c.Servers.MarkEnded(c.Now(), e.ID)
		}
		return
	}
	c.Servers.ApplyNotice(c.Now(), e.ID, r.Notice)
	ready, sequence, changed := s.AcceptsOrders(requestedAt), s.sequence, s.changedAt
	s.ApplyReport(c.Now(), requestedAt, r)
	if ready != s.AcceptsOrders(requestedAt) || sequence != s.sequence || changed != s.changedAt {
		c.Log.Info().Str("server", e.ID).Int("sequence", r.Sequence).Int("before", sequence).Bool("busy", r.Busy).
			Interface("models", r.Models).Interface("pending", r.Pending).Dur("age", c.Now().Sub(requestedAt)).Msg("report")
	}
	c.notifyChanged()
}

// applyRefusedReport applies the response of a server that sent no report, or the lack of one. A server that
// asks for rest has not failed: its replicas count, and nothing is loaded elsewhere in their place.
func (c *Controller) applyRefusedReport(id string, n backs.Notice, err error) {
	c.Servers.ApplyNotice(c.Now(), id, n)
	if n.Rest == 0 {
		c.recordFailedReport(id, err)
	}
}

// recordFailedReport records that a server did not respond to a report request.
func (c *Controller) recordFailedReport(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return
	}
	s.ReportFailed()
	c.Log.Info().Str("server", id).Bool("down", s.Unreachable()).Err(err).Msg("report failed")
}

// RequireReports makes the controller request reports from servers at once: a VM could not reach
// them, or they refused a request for a model that they were expected to have loaded.
func (c *Controller) RequireReports(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if s := c.servers[id]; s != nil {
			s.RequireReport()
		}
	}
}
