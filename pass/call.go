package pass

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// call is the state of one request of a caller.
type call struct {
	id string
	// fingerprint is shared by repeats of the same request, even if their IDs differ.
	fingerprint poison.Fingerprint

	request       *http.Request
	body          []byte
	route         routes.Route
	service       routes.Service
	configVersion int
	work          pick.Work
	// team is the caller's team, or nil if the request needs no key.
	team    *routes.Team
	urgency routes.Urgency
	// These times are read from a clock that also advances while the VM is suspended. At
	// firstEventDeadline the caller disconnects if the response has not started.
	arrived, deadline, firstEventDeadline time.Time

	// attempts counts the servers selected, including those to which no connection could be opened,
	// and sends the requests sent. sentTo lists the servers that received one. rounds counts the
	// passes over all candidates, and roundStartAttempts is the value of attempts at the end of the
	// last pass.
	attempts, sends, rounds, roundStartAttempts int
	sentTo                                      []string
	// sendEndedAt is when the last send ended without a final response, zero before that.
	sendEndedAt time.Time
	// versions is the software version of the server of each send, in order.
	versions []string
	// excluded lists the servers that are not selected for now, unreachable those to which no
	// connection could be opened.
	excluded, unreachable []string
	// notReachedAt is when the call last failed to connect to a server.
	notReachedAt time.Time
	// mayHaveRun is set once a server may have executed the request. A later refusal proves nothing
	// about the earlier send, so from then on the response to the caller does not state that the
	// request was not executed.
	mayHaveRun bool
	// retryBudget limits the retries. budgetExhausted is set when it allowed no more, and
	// retryReserved when the next send was counted, zero if it is not yet.
	retryBudget     *retry.SlidingWindow
	budgetExhausted bool
	retryReserved   time.Time
	// choice is the server selection of the last send. timeToFirstEvent is measured from the
	// arrival of the request, maxEventGap is the longest time between two reads of events, and
	// eventCount counts the events forwarded.
	choice                        pick.Choice
	timeToFirstEvent, maxEventGap time.Duration
	eventCount                    int
	// eventsBySend describes the events that each send has brought, and order watches their IDs.
	eventsBySend eventsBySend
	order        eventOrder
	// lastEventID is the ID of the last event sent to the caller. headSent is set once the response
	// head was sent.
	lastEventID string
	headSent    bool
	// unnumbered is set while the last event that the caller got has no number as its ID. No other server can go on after
	// it: one that was asked to go on after an earlier event would give it again.
	unnumbered bool
	// binding binds the call to the software version that began its stream, and boundBy is how that was
	// found out for a stream that the caller takes up.
	binding binding
	boundBy string
	// listAge is for how long the list of servers had not been confirmed when it proved the version.
	listAge time.Duration
	// confirmed is not nil while the list of servers is being confirmed for bindingGone, and closed when that has ended.
	confirmed <-chan struct{}
	// toldAt is when the keepers of the stream's origin were told last.
	toldAt time.Time
	// refusal is why the call got no server.
	refusal error
	// resumes is the attempt that began the stream which the caller takes up, "" for a new request.
	resumes string
	// endsByClose is set if the response to the caller ends with its connection.
	endsByClose bool
	// proxy is the address of the VM that the last attempt went through, "" if it went to the server
	// directly. viaProxies is set once the call goes through proxies, and withoutPath if none took it.
	proxy                   string
	viaProxies, withoutPath bool
	// disconnected is set once the caller has closed its connection.
	disconnected bool
	// admissionWaitStart is when the current wait for capacity at the servers began, zero if there
	// is none; admissionWait is the total of the earlier waits. retryAfter is the minimum delay
	// announced to a refused caller.
	admissionWaitStart        time.Time
	admissionWait, retryAfter time.Duration
	// placeKey identifies the call while it waits for a place, 0 if it has not asked for one. placeWait is how long it
	// has waited, and place its place at the server that it is sent to, nil for none.
	placeKey  uint64
	placeWait time.Duration
	place     *heldPlace
	// quota is the call's use of its team's quota, quotaRank its rank within the team.
	quota     quotaUse
	quotaRank int
	// keyRemoved is set when the caller's key is no longer in the configuration.
	keyRemoved bool
	// blocked is set when the request is not sent to servers because of earlier crashes, and blockedPart to the part
	// of its prompt under which they were, "" if they were under the request itself.
	blocked     bool
	blockedPart poison.Part
	// modelWait is how long the request waited for a server with its model or adapter.
	modelWait time.Duration
	// inUse lists the servers of the call's attempts that a hedge is to stand in for.
	inUse []string
	// stopsIn is how long before the exit of the VM the request arrived, 0 if the VM was not stopping. expected is how long
	// the whole answer was expected to take at most when the VM last decided whether it would exit before.
	stopsIn, expected time.Duration
	// leftSilent lists the servers that the call left because they were silent, setAside those of them that it has not
	// asked since. brokeOff lists the servers that failed the call.
	leftSilent, setAside, brokeOff []string
	// errorResponse is an error response of a server; it is forwarded if no later attempt succeeds.
	errorResponse *response
	// serverLeaving and serverRetryAfter are what the last response said about its server: that it will
	// exit soon, and the value of its Retry-After header.
	serverLeaving    bool
	serverRetryAfter string
	// framing is how the last response marks its end, and partialEventBytes the length of the event in
	// which its stream ended, 0 if it ended after an event.
	framing           httpx.Framing
	partialEventBytes int
	// attribution is what ties the last response to the last send.
	attribution attribution
	// reason is why the last attempt failed.
	reason string
	status int
}

// response is a complete response of a server.
type response struct {
	status  int
	header  http.Header
	body    *conns.Body
	framing httpx.Framing
}

// newCall returns the call of a request that arrived now, with its body, the route and the team that the table has for
// it, nil for none, and the attempt that began the stream which it takes up, "" for none. It parses the headers that
// routing depends on.
func newCall(
	now time.Time, names *HeaderNames, r *http.Request, body []byte,
	table *routes.Table, route routes.Route, team *routes.Team, resumes string,
) *call {
	c := &call{
		id: r.Header.Get(names.AttemptID), fingerprint: poison.FingerprintOf(r, body),
		request: r, body: body, arrived: now,
		route: route, team: team, configVersion: table.Version(),
		lastEventID: r.Header.Get(headerLastEvent), resumes: resumes,
	}
	c.deadline = now.Add(requestTimeout(names, r, route))
	c.firstEventDeadline = c.deadline
	if firstEventDeadline := now.Add(route.EventTimeout); route.EventTimeout > 0 && firstEventDeadline.Before(c.deadline) {
		c.firstEventDeadline = firstEventDeadline
	}
	c.work.Objective, c.work.MaxEventGap = route.Objective, route.MaxEventGap
	// A stream that is taken up goes to the service that began it.
	c.setService(names, table, route.PickService(xxhash.Sum64String(cmp.Or(resumes, c.id))))
	return c
}

// setService sets the service of the call and what depends on it. It reports false for a service that is not in the
// configuration.
func (c *call) setService(n *HeaderNames, t *routes.Table, name string) bool {
	service, ok := t.Service(name)
	c.service = service
	c.urgency = t.Urgency(c.route, c.team, c.service.Name)
	c.quotaRank = c.route.Priority - t.TopPriority(c.service.Name)
	c.work.Route = c.route.Name
	c.work.Priority = 0
	if t.HasMixedPriorities(c.service.Name) {
		c.work.Priority = c.serverPriority()
	}
	if c.service.Engine == nil {
		return ok
	}
	header := c.request.Header
	c.work.Model, c.work.Adapter = n.ParseModel(header.Get(n.Model))
	c.work.RelativeModelSize = c.service.Engine.RelativeSize(c.work.Model)
	c.work.Slots, c.work.TokensPerEvent = c.service.Engine.Slots, c.service.Engine.TokensPerEvent
	c.work.PromptTokens, c.work.MaxOutputTokens = n.ParseTokenUsage(header.Get(n.TokenUsage))
	c.work.PromptParts = n.ParsePromptPrefix(header.Get(n.PromptPrefix))
	return ok
}

// sharedParts returns the parts of the prompt that other requests may share.
func (c *call) sharedParts() []poison.Part { return sharedParts(c.work.PromptParts) }

// sharedParts returns the IDs of all parts but the last, which belongs to the request or its session.
func sharedParts(prompt []pick.PromptPart) []poison.Part {
	parts := make([]poison.Part, 0, len(prompt))
	for _, p := range prompt[:max(len(prompt)-1, 0)] {
		parts = append(parts, poison.Part(p.ID))
	}
	return parts
}

// partIDs returns the IDs of parts, for the log.
func partIDs(parts []poison.Part) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, string(p))
	}
	return ids
}

// failure returns an error if the status of the call is 500 or higher, and nil otherwise.
func (c *call) failure() error {
	if c.status < http.StatusInternalServerError {
		return nil
	}
	return fmt.Errorf("status %d: %s", c.status, c.reason)
}

// requestTimeout returns the shorter of the caller's deadline and the route's timeout.
func requestTimeout(n *HeaderNames, r *http.Request, route routes.Route) time.Duration {
	timeout := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(n.Deadline), 10, 64); err == nil && ms > 0 {
		if callerTimeout := clock.Duration(float64(ms), time.Millisecond); timeout == 0 || callerTimeout < timeout {
			timeout = callerTimeout
		}
	}
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	return timeout
}

// defaultRequestTimeout applies if neither the caller nor the route sets a limit.
const defaultRequestTimeout = 30 * time.Second

// beginEvents records that the events of an attempt follow.
func (c *call) beginEvents(a *attempt) {
	c.eventsBySend = append(c.eventsBySend, sendEvents{server: a.choice.Server.ID, send: a.sendIndex})
	c.order.beginSend(c.lastEventID)
}

// recordEvents records the events that were read together and are passed on. last is the time of the previous read,
// zero for none.
func (c *call) recordEvents(now, last time.Time, r *eventReader) {
	if !last.IsZero() {
		c.maxEventGap = max(c.maxEventGap, now.Sub(last))
	}
	n := r.splitter.count
	c.eventCount += n
	send := &c.eventsBySend[len(c.eventsBySend)-1]
	send.count += n
	send.dropped = r.splitter.dropped
	for _, id := range r.splitter.ids {
		c.order.add(id)
		if send.last = id; send.first == 0 {
			send.first = id
		}
	}
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// maxServerWait returns how much longer the call may wait for a server. For a started stream it
// depends on the request deadline: the caller no longer waits for the first event, and would lose a
// partial response.
func (c *call) maxServerWait(now time.Time) time.Duration {
	deadline := c.firstEventDeadline
	if c.headSent {
		deadline = c.deadline
	}
	return time.Duration(maxServerWaitShare * float64(deadline.Sub(now)))
}

// lowestServerPriority is the lowest priority that servers accept.
const lowestServerPriority = 9

// serverPriority returns the request's priority at the server, derived from its urgency. Requests
// with a long latency objective are not ranked last: if the only replica of their model shares a
// server with busy models, they would wait until after their callers' deadlines.
func (c *call) serverPriority() int {
	priority := 1 + 2*c.urgency.Priority
	if c.urgency.Deferrable {
		priority++
	}
	return min(priority, lowestServerPriority)
}

// requestHead returns the head of the request for a server, with the headers for a proxy.
func (c *call) requestHead(n *HeaderNames, server string, remaining time.Duration, proxyHeaders string) []byte {
	r := c.request
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	writeHeaders(&b, r.Header, func(name string) bool { return c.overridden(n, name) })
	fmt.Fprintf(&b, "%s: %d\r\n", n.Deadline, max(remaining.Milliseconds(), 1))
	fmt.Fprintf(&b, "%s: %s\r\n", n.ExpectServer, server)
	if c.team != nil {
		fmt.Fprintf(&b, "%s: %s\r\n", n.Team, c.team.Name)
	}
	if c.work.Model != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", n.Priority, c.serverPriority())
	}
	if c.lastEventID != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerLastEvent, c.lastEventID)
	}
	if len(c.body) > 0 || r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&b, "%s: %d\r\n", headerLength, len(c.body))
	}
	b.WriteString(proxyHeaders + "\r\n")
	return b.Bytes()
}

// overridden reports whether a header of the caller is dropped because the gateway sets it or
// reserves it.
func (c *call) overridden(n *HeaderNames, name string) bool {
	switch name {
	case headerLength, headerLastEvent, headerProxyServer, headerProxyVersion, n.Deadline, n.ExpectServer, n.Priority, n.Key, n.Team:
		return true
	}
	for _, reserved := range n.Reserved {
		if name == reserved {
			return true
		}
	}
	return false
}

func connectionOptions(h http.Header) []string {
	var options []string
	for _, v := range h.Values("Connection") {
		for option := range strings.SplitSeq(v, ",") {
			options = append(options, strings.TrimSpace(option))
		}
	}
	return options
}

// context returns a context that ends at the deadline or when the caller disconnects.
func (c *call) context(now time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.request.Context(), c.remaining(now))
}
