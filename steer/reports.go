package steer

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

func (c *Controller) askReports(ctx context.Context, now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.of(service) {
		pause := reportEvery
		if s.NeedsReport() || s.Finishing(now) {
			pause = reportAgain
		}
		id := s.entry.ID
		if c.busy[id] || !c.asked[id].IsZero() && now.Sub(c.asked[id]) < pause {
			continue
		}
		c.asked[id] = now
		e := s.entry
		c.spawn(func() { c.askReport(ctx, e) })
	}
}

func (c *Controller) askReport(ctx context.Context, e backs.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := c.Now()
	r, err := c.Commands.Report(ctx, e)
	if err != nil {
		c.missed(e.ID, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[e.ID]
	if s == nil {
		return
	}
	if !r.Born.IsZero() && !r.Born.Equal(e.StartedAt) {
		c.Log.Info().Str("server", e.ID).Time("born", r.Born).Msg("report of another start of the server")
		if r.Born.After(e.StartedAt) {
			c.Servers.MarkEnded(c.Now(), e.ID)
		}
		return
	}
	known, sequence, changed := s.Free(asked), s.sequence, s.changed
	s.Reported(c.Now(), asked, r)
	if known != s.Free(asked) || sequence != s.sequence || changed != s.changed {
		c.Log.Info().Str("server", e.ID).Int("sequence", r.Sequence).Int("before", sequence).Bool("busy", r.Busy).
			Interface("models", r.Models).Interface("pending", r.Pending).Dur("age", c.Now().Sub(asked)).Msg("report")
	}
	c.notify()
}

// missed notes a server that gave no report.
func (c *Controller) missed(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return
	}
	s.Missed()
	c.Log.Info().Str("server", id).Bool("down", s.Down()).Err(err).Msg("no report")
}

// Doubt makes servers be asked for their state at once: a VM could not reach
// them or was refused what they are thought to hold.
func (c *Controller) Doubt(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if s := c.servers[id]; s != nil {
			s.Doubt()
		}
	}
}
