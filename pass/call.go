package pass

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// call is one request of a caller on its way.
type call struct {
	id string
	// fingerprint is shared by repeats of the same request, even if their ids differ.
	fingerprint poison.Fingerprint

	request *http.Request
	body    []byte
	route   routes.Route
	service routes.Service
	version int
	work    pick.Work
	// urgent says that no route of its service goes before its own.
	urgent bool
	// arrived and deadline are of the clock that counts through a freeze, as is leaves,
	// when its caller gives up unless the answer has begun.
	arrived, deadline, leaves time.Time

	// tries counts the servers picked, sends how often it was sent, servers are
	// those it was sent to; rounds is how often all of them were tried, roundTries
	// the tries by then.
	tries, sends, rounds, roundTries int
	servers                          []string
	// avoid are servers not to be asked again for now, unreached those that
	// could not be connected to.
	avoid, unreached []string
	// uncertain is set once it may have run somewhere. A later refusal proves
	// nothing about the earlier send, so from then on a caller is not told
	// that it has not run.
	uncertain bool
	// budget is what retries draw on; broke is set when it had nothing left, and
	// reserved when the next send has been taken from it already.
	budget   *retry.Window
	broke    bool
	reserved bool
	// choice is what the last send was decided on; firstEvent is when the first event
	// came, longestPause the longest time between two reads of events, events how many
	// were passed on.
	choice                   pick.Choice
	firstEvent, longestPause time.Duration
	events                   int
	// lastEvent is the id of the last event passed to the caller, started says
	// that the head of the answer was.
	lastEvent string
	started   bool
	// left is set once the caller has closed its connection.
	left bool
	// heldSince is from when it waits for room at the servers, zero when it does
	// not; waited is how long it did before. comeBack is when its caller should try
	// again, 0 for soon.
	heldSince        time.Time
	waited, comeBack time.Duration
	// blocked is set when the request is not sent to servers because of earlier crashes.
	blocked bool
	// sought is how long it waited for a server with its model or adapter.
	sought time.Duration
	// failed is a failure that a server answered with and that no later try has
	// bettered.
	failed *answer
	// reason is why the last try did not answer.
	reason string
	status int
}

// answer is a whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// newCall reads what the path of a request depends on. The body must have been
// read.
func newCall(now time.Time, n *Names, r *http.Request, body []byte, t *routes.Table, route routes.Route) *call {
	c := &call{
		id: r.Header.Get(n.ID), fingerprint: poison.FingerprintOf(r, body), request: r, body: body, route: route, version: t.Version(),
		arrived: now, lastEvent: r.Header.Get(headerLastEvent),
	}
	c.service, _ = t.Service(route.Service(xxhash.Sum64String(c.id)))
	c.deadline = now.Add(patience(n, r, route))
	c.leaves = c.deadline
	if soon := now.Add(route.Leave); route.Leave > 0 && soon.Before(c.deadline) {
		c.leaves = soon
	}
	c.work.Objective = route.Objective
	c.urgent = route.Priority <= t.First(c.service.Name)
	if c.service.Engine != nil {
		c.work.Model, c.work.Adapter = n.ParseModel(r.Header.Get(n.Model))
		c.work.Route, c.work.RelativeModelSize = route.Name, c.service.Engine.Size(c.work.Model)
		c.work.Slots, c.work.TokensPerEvent = c.service.Engine.Slots, c.service.Engine.StrideTokens
		c.work.PromptTokens, c.work.MaxOutputTokens = n.ParseUsage(r.Header.Get(n.Usage))
		c.work.PromptParts = n.ParsePrefix(r.Header.Get(n.Prefix))
	}
	return c
}

// failure returns why the call was not answered by a server, nil when it was.
func (c *call) failure() error {
	if c.status < http.StatusInternalServerError {
		return nil
	}
	return fmt.Errorf("status %d: %s", c.status, c.reason)
}

// patience is how long a request may take: what the caller waits, within the
// route's timeout.
func patience(n *Names, r *http.Request, route routes.Route) time.Duration {
	limit := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(n.Deadline), 10, 64); err == nil && ms > 0 {
		if wait := time.Duration(ms) * time.Millisecond; limit == 0 || wait < limit {
			limit = wait
		}
	}
	if limit == 0 {
		limit = defaultPatience
	}
	return limit
}

// defaultPatience bounds requests that neither the caller nor the route
// bounds.
const defaultPatience = 30 * time.Second

// sawEvents notes events that came together at a time, and when the ones before did,
// the zero time for none.
func (c *call) sawEvents(now, last time.Time, events []byte) {
	if !last.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(last))
	}
	c.events += bytes.Count(events, eventEnd)
}

// takeRetry takes one more send from the retry budget, unless one is reserved, and
// reports whether there was one.
func (c *call) takeRetry(now time.Time) bool {
	if c.reserved {
		c.reserved = false
		return true
	}
	return c.budget.Allow(now)
}

// remaining returns how much time is left.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// holdTime returns how much longer the call may wait for a server. A stream that has begun
// waits by the time for the whole answer: its caller has listened past the moment up to
// which it waits for the first event, and would lose what it has.
func (c *call) holdTime(now time.Time) time.Duration {
	end := c.leaves
	if c.started {
		end = c.deadline
	}
	return time.Duration(holdShare * float64(end.Sub(now)))
}

// priorityLimit is the least urgent rank that servers know.
const priorityLimit = 9

// rank returns the request's priority at the server, by the route's. Work with
// a long objective is not put behind the rest: where its model has one copy
// beside busy ones, it would wait until it is too late for its caller.
func (c *call) rank() int { return min(1+2*c.route.Priority, priorityLimit) }

// head returns the head of the request for a server.
func (c *call) head(n *Names, server string, left time.Duration) []byte {
	r := c.request
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	listed := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if ends(name, listed) || c.replaced(n, name) {
			continue
		}
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	fmt.Fprintf(&b, "%s: %d\r\n", n.Deadline, max(left.Milliseconds(), 1))
	fmt.Fprintf(&b, "%s: %s\r\n", n.ExpectServer, server)
	if c.work.Model != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", n.Priority, c.rank())
	}
	if c.lastEvent != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerLastEvent, c.lastEvent)
	}
	if len(c.body) > 0 || r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&b, "%s: %d\r\n", headerLength, len(c.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// replaced reports whether a caller's header is dropped because the system
// writes it.
func (c *call) replaced(n *Names, name string) bool {
	switch name {
	case headerLength, headerLastEvent, n.Deadline, n.ExpectServer, n.Priority:
		return true
	}
	for _, reserved := range n.Reserved {
		if name == reserved {
			return true
		}
	}
	return false
}

func connectionHeaders(h http.Header) []string {
	var listed []string
	for _, v := range h.Values("Connection") {
		for part := range strings.SplitSeq(v, ",") {
			listed = append(listed, strings.TrimSpace(part))
		}
	}
	return listed
}

// context bounds the work for a call by its deadline and the caller's
// connection.
func (c *call) context(now time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.request.Context(), c.remaining(now))
}
