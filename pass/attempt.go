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
	"go.opentelemetry.io/otel/trace"

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
	// maxForeignBodyBytes bounds the body of a response that is discarded or of which only the head counts.
	maxForeignBodyBytes = 1 << 20
)

// sendAttempt sends a call to a server, and to others while that is silent, and forwards the response of the first one
// that goes on. It returns true if the caller has received its final response. Otherwise it has updated the state of c
// for the next attempt.
func (g *Gateway) sendAttempt(ctx context.Context, w http.ResponseWriter, c *call, choice pick.Choice) bool {
	defer func() {
		g.endPlace(c, 0)
		c.place = nil
	}()
	sends := c.sends
	for a := g.tryServer(ctx, c, choice); a != nil; {
		done := a.deliver(ctx, w)
		next := a.end()
		if done {
			return true
		}
		a = next
	}
	if c.sends > sends {
		c.sendEndedAt = g.Now()
	}
	g.awaitRetry(ctx, c)
	return false
}

// tryServer sends a call to a server and reads the beginning of its response. It returns the attempt whose response
// can be forwarded, which may be one at another server if this one was silent, or nil.
func (g *Gateway) tryServer(ctx context.Context, c *call, choice pick.Choice) *attempt {
	a := g.openAttempt(ctx, c, choice)
	if a == nil || a.begin(ctx) {
		return a
	}
	return a.end()
}

// openAttempt opens the way to a server and decides whether the call may be sent there. If not, it returns nil and has
// updated the state of c for the next attempt.
func (g *Gateway) openAttempt(ctx context.Context, c *call, choice pick.Choice) *attempt {
	c.attempts++
	c.framing, c.partialEventBytes, c.attribution = httpx.FramingUnknown, 0, attribution{}
	now := g.Now()
	way, err := g.openWay(ctx, now, choice.Server, c.id, !c.route.Repeatable())
	c.proxy = way.proxy
	if err != nil {
		if hedgeDropped(ctx) {
			return nil
		}
		g.connectFailed(c, choice, err)
		return nil
	}
	stopClosing := context.AfterFunc(ctx, way.conn.Close)
	if err := g.checkServer(c, way, choice.Server); err != nil {
		stopClosing()
		g.recordEndlessProbe(choice, err)
		g.logFailedAttempt(c, choice, err.Error())
		return nil
	}
	if hedgeDropped(ctx) || !g.maySend(c, choice) {
		stopClosing()
		way.pool.PutUnused(g.Now(), way.conn)
		return nil
	}
	now = g.Now()
	c.choice = choice
	if choice.OvertakenTime > 0 {
		g.Meter.AddCounter("pick.overtaken", 1)
	}
	a := &attempt{
		reply: reply{
			g: g, conn: way.conn, proxy: way.proxy, unproven: !way.conn.Proven(),
			requestID: c.id, server: choice.Server.ID,
		},
		c: c, choice: choice, pool: way.pool,
		balancerAttempt: g.Balancer.Begin(now, choice, c.work, g.kvCacheTokens(c)),
	}
	_, a.span = spans.Start(ctx, "attempt", attribute.String("server", a.server),
		attribute.Int64("predicted_ms", choice.PredictedTime.Milliseconds()))
	a.stopClosing = stopClosing
	g.proxyLoads.add(way.proxy, 1)
	return a
}

// maySend decides whether a call may be sent to a server to which a way is open. While that was opened or this VM was
// suspended, the server may have started draining or asked for rest, the request deadline may have passed, and the
// configuration or the blocked requests may have changed.
func (g *Gateway) maySend(c *call, choice pick.Choice) bool {
	now, server := g.Now(), choice.Server.ID
	if callerDisconnected(c.request) {
		c.disconnected = true
		return false
	}
	if !g.Servers.MaySend(now, server) || c.remaining(now) <= 0 {
		g.logFailedAttempt(c, choice, "server unavailable or at rest, or deadline passed before the send")
		c.excluded = append(c.excluded, server)
		return false
	}
	if g.blocked(now, c) || !g.recheckKey(c) {
		return false
	}
	if g.wouldBeCut(now, c, choice, 0) {
		// It is refused as it looks for a server again.
		g.logFailedAttempt(c, choice, errStopsTooSoon.Error())
		return false
	}
	// Only requests that reach a server contribute to an overload, so only sends count against the
	// retry budget, and failed connections do not.
	if c.sends > 0 && !g.takeRetry(now, c, server) {
		c.budgetExhausted = true
		g.logFailedAttempt(c, choice, c.reason+"; retry budget exhausted")
		return false
	}
	return true
}

// end ends an attempt, and returns the one that continues the call, nil for none.
func (a *attempt) end() *attempt {
	a.dropHedge()
	a.finish()
	spans.End(a.span, a.err)
	if a.release != nil {
		a.release()
	}
	return a.successor
}

func (g *Gateway) reportSuspect(server string) {
	if g.ReportSuspect != nil {
		g.ReportSuspect(server)
	}
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
	// sendIndex is the index of the send among those of the call.
	sendIndex int
	// complete is set when the response was read to its end, survived when the server has gone on after it began
	// to write it.
	complete, survived bool
	result             pick.Result
	// events reads the response if it is a stream, whole is the response otherwise.
	events *eventReader
	whole  *response
	// bodyBytes is how much was read of the body of a response that is not a stream.
	bodyBytes int
	// hedge is the attempt at another server while this one is silent, nil for none. successor is the attempt that
	// continues the call after this one.
	hedge     *hedge
	successor *attempt
	// hedgeOf is the hedge that this attempt belongs to, nil for none, and release frees its context.
	hedgeOf *hedge
	release func()
	// silenceLogged is set once a silence of the server was logged, left once the call has left it for that.
	silenceLogged, left bool
	finished            bool
	// stopClosing ends the closing of the connection with the context of the call, and reports whether it was in time.
	stopClosing func() bool
	span        trace.Span
	// err is why the attempt failed.
	err error
}

// finish releases the server and the connection of an attempt. No hedge uses the connection any more.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	now := a.g.Now()
	a.conn.SetStallTimeout(0, nil)
	a.g.proxyLoads.add(a.proxy, -1)
	if !a.stopClosing() {
		a.complete = false
	}
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
	a.markCarried(now, a.c.deadline)
	a.exchange.Finish(now, a.pool, a.resp, a.complete && a.reusable())
}

// failUncertain records the failure of an attempt that the server may have executed.
func (a *attempt) failUncertain(ctx context.Context, reason string) bool {
	a.c.mayHaveRun = true
	a.result = pick.Failed
	if ctx.Err() != nil {
		// The caller disconnected or the deadline passed. A server that had sent nothing by the
		// deadline counts as failed, a server whose response had started does not.
		a.result = pick.Neutral
		if a.c.request.Context().Err() == nil && a.resp == nil && !hedgeDropped(ctx) {
			a.result = pick.Failed
		}
	}
	return a.fail(reason)
}

// fail records why an attempt failed and excludes its server for now. If another server has been asked, the call waits
// for that one.
func (a *attempt) fail(reason string) bool {
	a.err = errors.New(reason)
	a.failOver()
	a.c.excluded = append(a.c.excluded, a.choice.Server.ID)
	if a.result == pick.Failed && !a.left {
		a.c.brokeOff = append(a.c.brokeOff, a.choice.Server.ID)
	}
	a.g.logFailedAttempt(a.c, a.choice, reason)
	return false
}

// failNotRun records the failure of an attempt that the server provably did not execute.
func (a *attempt) failNotRun(result pick.Result, reason string) bool {
	a.result = result
	a.failOver()
	a.c.refundRun()
	return a.fail(reason)
}

// begin sends the call and reads the beginning of the response. It reports whether the response can be forwarded.
func (a *attempt) begin(ctx context.Context) bool {
	c, g := a.c, a.g
	now, server := g.Now(), a.choice.Server.ID
	c.sends++
	a.sendIndex = len(c.versions)
	c.versions = append(c.versions, a.choice.Server.SoftwareVersion)
	g.chargeRun(c)
	if a.firstSendToServer = !slices.Contains(c.sentTo, server); a.firstSendToServer {
		c.sentTo = append(c.sentTo, server)
	}
	a.sent = now
	a.recordSend(now)
	var err error
	a.exchange, err = a.conn.Send(c.request.Method, c.requestHead(g.HeaderNames, a.choice.Server.PlatformName(), c.remaining(now), a.proxyHeaders()), c.body)
	if err != nil {
		return a.connectionLost(ctx, "send request: "+err.Error(), err)
	}
	a.limitSilence(ctx, a.startTimeout())
	err = a.readHead()
	c.serverLeaving, c.serverRetryAfter, c.attribution = a.leaving, a.retryAfter, a.attribution
	if err != nil {
		return a.readFailed(ctx, err.Error(), err)
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
	return a.readBeginning(ctx)
}

func (a *attempt) notRun() bool { return a.g.provesNotRun(a.resp) }

func (a *attempt) handleRefusal() bool {
	result := pick.Refused
	err := a.drainBody()
	if a.complete = err == nil; errors.Is(err, conns.ErrEndless) {
		a.recordEndless(err)
		result = pick.Failed
	}
	a.recordReject()
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		// The server does not have the model or adapter, or another server has taken over its
		// address. The cached state of the server is wrong.
		a.g.Servers.RemoveModel(a.choice.Server.ID, a.c.work.Model, a.c.work.Adapter)
		a.g.reportSuspect(a.choice.Server.ID)
	}
	return a.failNotRun(result, "refused with "+strconv.Itoa(a.resp.StatusCode))
}

// proxyHeaders returns the headers for the proxy of the attempt, if it has one.
func (a *attempt) proxyHeaders() string {
	if a.proxy == "" {
		return ""
	}
	return a.g.proxyHeaders(a.c, a.choice.Server)
}

// readBeginning reads as much of the response as must have come before anything of it is forwarded: the first events
// of a stream, all of another response.
func (a *attempt) readBeginning(ctx context.Context) bool {
	resp := a.resp
	if resp.Header.Get(headerEncoding) != "" || resp.Header.Get(a.g.HeaderNames.ServerStamp) == "" {
		return a.failUncertain(ctx, "response is not from the expected server: status "+strconv.Itoa(resp.StatusCode))
	}
	if a.c.route.Kind == "stream" && resp.StatusCode < 300 && strings.HasPrefix(resp.Header.Get(headerType), typeEvents) {
		return a.readFirstEvents(ctx)
	}
	if a.c.headSent {
		return a.failUncertain(ctx, "resume stream: status "+strconv.Itoa(resp.StatusCode))
	}
	return a.readWhole(ctx)
}

// deliver forwards the response to the caller. It reports whether that was the final response.
func (a *attempt) deliver(ctx context.Context, w http.ResponseWriter) bool {
	if a.whole != nil {
		a.g.writeResponse(w, a.c, a.whole)
		return true
	}
	return a.forwardStream(ctx, w)
}

// mayBeReplaced reports whether another server may still answer in place of one that responded with an error.
func (a *attempt) mayBeReplaced() bool {
	return a.hedgeOf != nil && !a.hedgeOf.isLeading() || a.c.route.Repeatable() && a.c.sends < a.c.route.MaxServers
}

// readWhole reads the whole response, so that a truncated one can still be replaced by a retry.
func (a *attempt) readWhole(ctx context.Context) bool {
	body, err := a.readBody(ctx)
	if err != nil {
		return a.bodyFailed(ctx, err)
	}
	a.complete = true
	a.result = pick.Succeeded
	whole := &response{status: a.resp.StatusCode, header: a.responseHeaders(), body: body, framing: httpx.FramingOf(a.resp)}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.result = pick.Failed
		if a.mayBeReplaced() && ctx.Err() == nil {
			a.c.errorResponse = whole
			return a.failUncertain(ctx, "server error: status "+strconv.Itoa(a.resp.StatusCode))
		}
	}
	a.g.endPlace(a.c, a.g.Now().Sub(a.sent))
	a.dropHedge()
	a.conn.SetStallTimeout(0, nil)
	a.whole = whole
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
		w.Header().Set(headerLength, strconv.Itoa(resp.body.Len()))
	}
	c.status = resp.status
	w.WriteHeader(resp.status)
	_, err := resp.body.WriteTo(w)
	if err == nil {
		err = c.completeByClose(w)
	}
	if err != nil {
		g.recordWriteFailed(c)
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
