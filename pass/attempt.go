package pass

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

const (
	// dialTimeout bounds a connection attempt. Servers are milliseconds away, so a longer attempt
	// means a network partition.
	dialTimeout = 250 * time.Millisecond
	// maxForeignResponses is how many responses to other requests are discarded on a connection
	// before the attempt fails.
	maxForeignResponses = 2
	// maxForeignBodyBytes bounds the body of a discarded response.
	maxForeignBodyBytes = 1 << 20
)

// sendAttempt sends a call to a server and forwards its response. It returns true if the caller has
// received its final response. Otherwise it has updated the state of c for the next attempt.
func (g *Gateway) sendAttempt(ctx context.Context, w http.ResponseWriter, c *call, choice pick.Choice) bool {
	server := choice.Server.ID
	c.attempts++
	c.framing, c.partialEventBytes = httpx.FramingUnknown, 0
	now := g.Now()
	way, err := g.openWay(ctx, now, choice.Server, !c.route.Repeatable())
	c.proxy = way.proxy
	if err != nil {
		g.connectFailed(c, choice, err)
		return false
	}
	if err := g.checkServer(c, way, choice.Server); err != nil {
		g.logFailedAttempt(c, choice, err.Error())
		return false
	}
	// While the connection was opened or this VM was suspended, the server may have started
	// draining or asked for rest, or the request deadline may have passed.
	now = g.Now()
	if callerDisconnected(c.request) {
		c.disconnected = true
		way.pool.PutUnused(now, way.conn)
		return false
	}
	if !g.Servers.MaySend(now, server) || c.remaining(now) <= 0 {
		way.pool.PutUnused(now, way.conn)
		g.logFailedAttempt(c, choice, "server unavailable or at rest, or deadline passed before the send")
		c.excluded = append(c.excluded, server)
		return false
	}
	if g.blocked(now, c) || !g.recheckKey(c) {
		way.pool.PutUnused(now, way.conn)
		return false
	}
	// Only requests that reach a server contribute to an overload, so only sends count against the
	// retry budget, and failed connections do not.
	if c.sends > 0 && !g.takeRetry(now, c, server) {
		c.budgetExhausted = true
		way.pool.PutUnused(now, way.conn)
		g.logFailedAttempt(c, choice, c.reason+"; retry budget exhausted")
		return false
	}
	c.choice = choice
	balancerAttempt := g.Balancer.Begin(now, choice, c.work, g.kvCacheTokens(c))
	a := &attempt{
		reply: reply{g: g, conn: way.conn, proxy: way.proxy, unproven: !way.conn.Proven(), requestID: c.id, server: server}, c: c, choice: choice, pool: way.pool, balancerAttempt: balancerAttempt,
	}
	ctx, span := spans.Start(ctx, "attempt", attribute.String("server", server), attribute.Int64("predicted_ms", choice.PredictedTime.Milliseconds()))
	defer func() { spans.End(span, a.err) }()
	stop := context.AfterFunc(ctx, way.conn.Close)
	g.proxyLoads.add(way.proxy, 1)
	done := a.run(ctx, w, now)
	g.proxyLoads.add(way.proxy, -1)
	if !stop() && a.complete {
		a.complete = false
	}
	a.finish()
	return done
}

func (g *Gateway) reportSuspect(server string) {
	if g.ReportSuspect != nil {
		g.ReportSuspect(server)
	}
}

// logFailedAttempt logs why an attempt got no response that can be forwarded.
func (g *Gateway) logFailedAttempt(c *call, choice pick.Choice, reason string) {
	c.reason = reason
	g.Log.Info().Str("request", c.id).Str("fingerprint", string(c.fingerprint)).Str("server", choice.Server.ID).Str("address", choice.Server.Address).Str("software_version", choice.Server.SoftwareVersion).
		Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).
		Bool("may_have_run", c.mayHaveRun).Bool("server_leaving", c.serverLeaving).Str("server_retry_after", c.serverRetryAfter).
		Str("framing", c.framing.String()).Int("partial_event", c.partialEventBytes).Str("proxy", c.proxy).Str("reason", reason).Msg("try failed")
}

// attempt is one send of a call to one server.
type attempt struct {
	reply
	c               *call
	choice          pick.Choice
	pool            *conns.Pool
	balancerAttempt *pick.Attempt
	// firstSendToServer is set if the server has not got the call before.
	firstSendToServer bool
	// complete is set when the response was read to its end, survived when the server has gone on after it began
	// to write it.
	complete, survived bool
	result             pick.Result
	// err is why the attempt failed.
	err error
}

func (a *attempt) finish() {
	now := a.g.Now()
	a.balancerAttempt.End(now, a.result)
	if a.complete && a.result != pick.Refused {
		a.g.Poison.Answered(now, a.c.fingerprint)
	}
	if a.complete && a.result == pick.Succeeded {
		a.g.PartTracker.Survived(now, a.c.sharedParts())
	}
	if a.exchange == nil {
		a.pool.Discard(a.conn)
		return
	}
	a.exchange.Finish(now, a.pool, a.resp, a.complete)
}

// failUncertain records the failure of an attempt that the server may have executed.
func (a *attempt) failUncertain(ctx context.Context, reason string) bool {
	a.c.mayHaveRun = true
	a.result = pick.Failed
	if ctx.Err() != nil {
		// The caller disconnected or the deadline passed. A server that had sent nothing by the
		// deadline counts as failed, a server whose response had started does not.
		a.result = pick.Neutral
		if a.c.request.Context().Err() == nil && a.resp == nil {
			a.result = pick.Failed
		}
	}
	return a.fail(reason)
}

// fail records why an attempt failed and excludes its server for now.
func (a *attempt) fail(reason string) bool {
	a.err = errors.New(reason)
	a.c.excluded = append(a.c.excluded, a.choice.Server.ID)
	a.g.logFailedAttempt(a.c, a.choice, reason)
	return false
}

// failNotRun records the failure of an attempt that the server provably did not execute.
func (a *attempt) failNotRun(reason string) bool {
	a.result = pick.Refused
	a.c.refundRun()
	return a.fail(reason)
}

func (a *attempt) run(ctx context.Context, w http.ResponseWriter, now time.Time) bool {
	c, g := a.c, a.g
	server := a.choice.Server.ID
	c.sends++
	c.versions = append(c.versions, a.choice.Server.SoftwareVersion)
	g.chargeRun(c)
	if a.firstSendToServer = !slices.Contains(c.sentTo, server); a.firstSendToServer {
		c.sentTo = append(c.sentTo, server)
	}
	a.sent = now
	var err error
	a.exchange, err = a.conn.Send(c.request.Method, c.requestHead(g.HeaderNames, a.choice.Server.PlatformName(), c.remaining(now), a.proxyHeaders()), c.body)
	if err != nil {
		return a.connectionLost(ctx, "send request: "+err.Error(), err)
	}
	a.limitSilence(a.startTimeout())
	err = a.readHead()
	c.serverLeaving, c.serverRetryAfter = a.leaving, a.retryAfter
	if err != nil {
		return a.connectionLost(ctx, err.Error(), err)
	}
	c.framing = httpx.FramingOf(a.resp)
	if a.refusedByProxy(a.resp) {
		a.conn.SetStallTimeout(0, nil)
		return a.handleProxyRefusal()
	}
	if a.notRun() {
		a.conn.SetStallTimeout(0, nil)
		return a.handleRefusal()
	}
	return a.forward(ctx, w)
}

const (
	// startTimeoutObjectives is the timeout for the first event of a resumable stream, or for each part of
	// another repeatable response, in latency objectives. After it, another server is tried. A slow but
	// healthy server nearly always responds sooner. The head alone is no sign of that: a server can fall
	// silent right after it.
	startTimeoutObjectives = 3
	// eventTimeoutGaps is the event timeout of a resumable stream, in maximum event gaps of its
	// route, and minEventTimeout is its lower bound: after a preemption, a server recomputes the
	// prompt in some hundred milliseconds.
	eventTimeoutGaps = 4
	minEventTimeout  = 900 * time.Millisecond
)

// pathCheckInterval is how often a request that waits for a server checks whether this VM has lost its path
// to all of them.
const pathCheckInterval = 400 * time.Millisecond

// limitSilence moves the call to another server when its server is silent for a time, if that is possible.
// A limit of 0 waits for the request deadline.
func (a *attempt) limitSilence(limit time.Duration) {
	interval := pathCheckInterval
	if limit > 0 {
		checks := (limit + pathCheckInterval - 1) / pathCheckInterval
		interval = limit / checks
	}
	a.conn.SetStallTimeout(interval, func(waited time.Duration) bool {
		now := a.g.Now()
		a.g.Paths.Silent(now, now.Add(-waited))
		return limit > 0 && waited >= limit && a.reserveFailover()
	})
}

// startTimeout returns how long to wait for the response to begin, or 0 if only the request deadline
// applies.
func (a *attempt) startTimeout() time.Duration {
	if !a.c.route.Repeatable() || a.c.sends >= a.c.route.MaxServers || a.c.route.Objective == 0 {
		return 0
	}
	return max(startTimeoutObjectives*a.c.route.Objective, 2*a.choice.PredictedTime+a.c.route.Objective)
}

// eventTimeout returns how long to wait for the event after the one with an ID, or 0 if only the request
// deadline applies. A stream whose events have no IDs can not be resumed.
func (a *attempt) eventTimeout(lastID string) time.Duration {
	if !a.c.route.Repeatable() || a.c.sends >= a.c.route.MaxServers || lastID == a.c.request.Header.Get(headerLastEvent) {
		return 0
	}
	return max(eventTimeoutGaps*a.c.route.MaxEventGap, minEventTimeout)
}

// reserveFailover reports whether a call should move from its silent server to another one. That
// requires a retry from the budget, which it reserves, another server with capacity, and enough time
// before the deadline. If any of the three is missing, failing over would abort the response,
// although the silent server may still complete it: usually it has preempted the request and is
// recomputing its prompt.
func (a *attempt) reserveFailover() bool {
	c, g := a.c, a.g
	now := g.Now()
	if c.remaining(now) <= c.route.Objective || c.request.Context().Err() != nil {
		return false
	}
	c.excluded = append(c.excluded, a.choice.Server.ID)
	choice, ok := g.pickServer(now, c, g.serversFor(now, c))
	if ok = ok && choice.HasCapacity() && g.takeRetry(now, c, choice.Server.ID); ok {
		c.retryReserved = now
	} else {
		c.excluded = c.excluded[:len(c.excluded)-1]
	}
	g.Meter.AddCounter("pass.silent", 1)
	if ok {
		c.leftSilent = append(c.leftSilent, a.choice.Server.ID)
		g.Meter.AddCounter("pass.left_silent", 1)
	}
	g.Log.Info().Str("request", c.id).Str("server", a.choice.Server.ID).Bool("started", c.headSent).Bool("given_up", ok).
		Str("instead", choice.Server.ID).Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).Msg("server silent")
	return ok
}

func (a *attempt) notRun() bool { return a.g.provesNotRun(a.resp) }

func (a *attempt) handleRefusal() bool {
	_, err := conns.ReadAll(a.resp.Body, maxForeignBodyBytes)
	a.complete = err == nil
	a.recordReject()
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		// The server does not have the model or adapter, or another server has taken over its
		// address. The cached state of the server is wrong.
		a.g.Servers.RemoveModel(a.choice.Server.ID, a.c.work.Model, a.c.work.Adapter)
		a.g.reportSuspect(a.choice.Server.ID)
	}
	return a.failNotRun("refused with " + strconv.Itoa(a.resp.StatusCode))
}

// proxyHeaders returns the headers for the proxy of the attempt, if it has one.
func (a *attempt) proxyHeaders() string {
	if a.proxy == "" {
		return ""
	}
	return a.g.proxyHeaders(a.c, a.choice.Server)
}

// forward forwards the response to the caller.
func (a *attempt) forward(ctx context.Context, w http.ResponseWriter) bool {
	resp := a.resp
	if resp.Header.Get(headerEncoding) != "" || resp.Header.Get(a.g.HeaderNames.ServerStamp) == "" {
		return a.failUncertain(ctx, "response is not from the expected server: status "+strconv.Itoa(resp.StatusCode))
	}
	if a.c.route.Kind == "stream" && resp.StatusCode < 300 && strings.HasPrefix(resp.Header.Get(headerType), typeEvents) {
		return a.forwardStream(ctx, w)
	}
	if a.c.headSent {
		return a.failUncertain(ctx, "resume stream: status "+strconv.Itoa(resp.StatusCode))
	}
	return a.forwardBuffered(ctx, w)
}

// forwardBuffered reads the whole response before forwarding it, so that a truncated response can
// still be replaced by a retry.
func (a *attempt) forwardBuffered(ctx context.Context, w http.ResponseWriter) bool {
	body, err := conns.ReadAll(a.resp.Body, maxResponseBytes)
	if err != nil {
		return a.connectionLost(ctx, err.Error(), err)
	}
	a.conn.SetStallTimeout(0, nil)
	a.complete = true
	a.result = pick.Succeeded
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.result = pick.Failed
		if a.c.route.Repeatable() && a.c.sends < a.c.route.MaxServers && ctx.Err() == nil {
			a.c.errorResponse = &response{status: a.resp.StatusCode, header: a.responseHeaders(), body: body, framing: a.c.framing}
			return a.failUncertain(ctx, "server error: status "+strconv.Itoa(a.resp.StatusCode))
		}
	}
	a.g.writeResponse(w, a.c, &response{status: a.resp.StatusCode, header: a.responseHeaders(), body: body, framing: a.c.framing})
	return true
}

// writeResponse writes a buffered response to the caller.
func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, resp *response) {
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	switch {
	case resp.framing == httpx.FramedByClose:
		c.endByClose(w.Header())
	case c.request.Method != http.MethodHead:
		w.Header().Set(headerLength, strconv.Itoa(len(resp.body)))
	}
	c.status = resp.status
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	if err == nil {
		err = c.completeByClose(w)
	}
	if err != nil {
		c.reason = "caller disconnected"
	}
}

// responseHeaders returns the response headers without the hop-by-hop headers, and without Content-Length
// unless it stands for a body that is not sent.
func (a *attempt) responseHeaders() http.Header {
	options := connectionOptions(a.resp.Header)
	headers := make(http.Header, len(a.resp.Header))
	for name, values := range a.resp.Header {
		if !isHopByHop(name, options) && (name != headerLength || a.c.request.Method == http.MethodHead) {
			headers[name] = values
		}
	}
	return headers
}
