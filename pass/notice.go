package pass

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// Notice reads what the head of a response says about the server that sent it. wall is the time of day; it
// serves for a Retry-After date in a response without a Date. Invalid values are left out and described
// by the error. A response to a request that another server was expected to get says nothing.
func (n *HeaderNames) Notice(wall time.Time, resp *http.Response) (backs.Notice, error) {
	var notice backs.Notice
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return notice, nil
	}
	var leavingErr, restErr, limitErr error
	if value := resp.Header.Get(n.Leaving); value != "" {
		if notice.Leaving, leavingErr = strconv.ParseBool(strings.TrimSpace(value)); leavingErr != nil {
			leavingErr = fmt.Errorf("parse %s: %w", n.Leaving, leavingErr)
		}
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		if notice.Rest, restErr = httpx.ParseRetryAfter(wall, resp.Header); restErr != nil {
			restErr = fmt.Errorf("parse %s: %w", headerRetryAfter, restErr)
		}
	}
	if value := resp.Header.Get(n.RejectLimit); value != "" {
		var ok bool
		if notice.RejectLimit, ok = n.ParseRateLimit(value); !ok {
			limitErr = fmt.Errorf("parse %s: invalid rate %q", n.RejectLimit, value)
		}
		notice.HasRejectLimit = ok
	}
	return notice, errors.Join(leavingErr, restErr, limitErr)
}

// errResting is returned for a request whose servers all want rest from this VM.
var errResting = errors.New("the servers asked this VM for rest")

// allResting reports whether a call can not be served for now because its servers want rest from this VM:
// it could be sent to one of them, and all others are at rest, unreachable or beyond the number of servers
// that the call may be sent to. It sets the call's retryAfter to the time at which the first of them takes
// requests again.
func (g *Gateway) allResting(now time.Time, c *call, serving []backs.Entry) bool {
	resting, shortest := false, httpx.MaxRetryAfter
	for _, e := range serving {
		if c.work.Model != "" && !e.HasModel(c.work.Model, c.work.Adapter) || slices.Contains(c.unreachable, e.ID) {
			continue
		}
		rest := g.Servers.RestRemaining(now, e.ID)
		if rest == 0 && g.eligible(c, e) {
			return false
		}
		resting = resting || rest > 0
		shortest = min(shortest, rest)
	}
	if !resting {
		return false
	}
	c.retryAfter = shortest
	return true
}

// mayWaitOutRest reports whether a call whose servers all want rest may be served sooner by another one that
// loads its model or adapter: the controller does so if the rest is long. Any other call is refused at once.
func (g *Gateway) mayWaitOutRest(c *call) bool {
	return c.retryAfter > backs.LongRest && c.work.Model != "" && g.FindServer != nil
}
