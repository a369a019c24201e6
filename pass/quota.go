package pass

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

var errQuotaExceeded = errors.New("the team's quota is used up")

// quotaPatience is the share of its latency objective for which a request waits for its team's tokens.
const quotaPatience = 0.25

// quotaUse is the use of a team's quota by one call.
type quotaUse struct {
	team   string
	tokens int
	// charged is the number of times that the tokens are counted, and runs the number of sends that
	// may have run.
	charged, runs int
	refused       bool
	wait          time.Duration
}

// takeQuota takes the tokens of a call from its team's quota before the call waits for a server, so
// that what exceeds the quota is in no queue. It reports whether the call may be sent.
func (g *Gateway) takeQuota(ctx context.Context, c *call) bool {
	if g.Quotas == nil || c.team == nil || !g.Quotas.Limited(c.team.Name) {
		return true
	}
	c.quota = quotaUse{team: c.team.Name, tokens: c.team.Quota.Size(g.HeaderNames.ParseTokenUsage(c.request.Header.Get(g.HeaderNames.TokenUsage)))}
	if !g.Quotas.Tight(g.Now(), c.quota.team) {
		g.Quotas.Spend(g.Now(), c.quota.team, c.quota.tokens)
		c.quota.charged = 1
		return true
	}
	start := g.Now()
	wait, granted := g.TakeQuota(ctx, limit.QuotaRequest{
		Team: c.quota.team, Tokens: c.quota.tokens, Rank: c.quotaRank, Patience: time.Duration(quotaPatience * float64(c.route.Objective)),
	})
	if !granted {
		c.quota.refused, c.reason, c.retryAfter = true, errQuotaExceeded.Error(), wait
		g.Meter.AddCounter("team."+c.quota.team+".quota_refused", 1)
		return false
	}
	c.quota.charged = 1
	if wait > 0 {
		pause.For(ctx, wait)
	}
	c.quota.wait = g.Now().Sub(start)
	return true
}

// chargeRun counts a send that may run. The first one is covered by takeQuota; a further one is never
// refused, but counts again.
func (g *Gateway) chargeRun(c *call) {
	if c.quota.charged == 0 {
		return
	}
	if c.quota.runs++; c.quota.runs > c.quota.charged {
		c.quota.charged++
		g.Quotas.Spend(g.Now(), c.quota.team, c.quota.tokens)
	}
}

// refundRun takes back chargeRun for a send that provably did not run.
func (c *call) refundRun() { c.quota.runs = max(c.quota.runs-1, 0) }

// settleQuota returns the tokens of a call that ends without having run as often as it was charged.
func (g *Gateway) settleQuota(c *call) {
	if unused := c.quota.charged - c.quota.runs; unused > 0 {
		g.Quotas.Spend(g.Now(), c.quota.team, -unused*c.quota.tokens)
	}
}

// failQuota writes the response to a call that exceeds its team's quota.
func (g *Gateway) failQuota(w http.ResponseWriter, c *call) {
	c.status = http.StatusTooManyRequests
	if c.request.Context().Err() != nil {
		c.status, c.reason, c.disconnected = statusCallerClosed, "caller disconnected", true
		return
	}
	w.Header().Set(headerRetryAfter, g.retryAfter(c.retryAfter))
	if c.id != "" {
		w.Header().Set(g.HeaderNames.AttemptID, c.id)
	}
	http.Error(w, errQuotaExceeded.Error()+"; the request was not run", c.status)
}
