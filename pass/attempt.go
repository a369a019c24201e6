package pass

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

const (
	// dialTimeout bounds a connection attempt. Servers are milliseconds away, so a longer attempt
	// means a network partition.
	dialTimeout = 250 * time.Millisecond
	// maxForeignResponses is how many responses to other requests are discarded on a connection
	// before the try fails.
	maxForeignResponses = 2
	// maxForeignBodyBytes bounds the body of a discarded response.
	maxForeignBodyBytes = 1 << 20
)

// attempt sends a call to a server and forwards its response. It reports whether the caller has
// received its final response; otherwise it has updated the state of c.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, choice pick.Choice) bool {
	server := choice.Server.ID
	c.tries++
	now := g.Now()
	conn, err := g.connect(ctx, now, server, choice.Server.Address, !c.route.Repeatable())
	if err != nil {
		g.Balancer.ConnectFailed(g.Now(), choice.Server)
		g.noteConnectionRefused(choice.Server, err)
		g.reportSuspect(server)
		g.logFailedTry(c, choice, "connect: "+err.Error())
		c.excluded = append(c.excluded, server)
		c.unreachable = append(c.unreachable, server)
		return false
	}
	// While the connection was opened or this VM was suspended, the server may have started
	// draining or the request deadline may have passed.
	now = g.Now()
	if callerDisconnected(c.request) {
		c.disconnected = true
		g.Pool.PutUnused(now, conn)
		return false
	}
	if !g.Servers.Usable(now, server) || c.remaining(now) <= 0 {
		g.Pool.PutUnused(now, conn)
		g.logFailedTry(c, choice, "server unavailable or deadline passed before the send")
		c.excluded = append(c.excluded, server)
		return false
	}
	if g.blocked(now, c) {
		g.Pool.PutUnused(now, conn)
		return false
	}
	// Only requests that reach a server contribute to an overload, so only sends count against the
	// retry budget, and failed connections do not.
	if c.sends > 0 && !c.takeRetry(now) {
		c.budgetExhausted = true
		g.Pool.PutUnused(now, conn)
		g.logFailedTry(c, choice, c.reason+"; retry budget exhausted")
		return false
	}
	c.choice = choice
	ticket := g.Balancer.Begin(now, choice, c.work, g.kvCacheTokens(c))
	t := &try{g: g, c: c, choice: choice, conn: conn, ticket: ticket}
	ctx, span := spans.Start(ctx, "attempt", attribute.String("server", server), attribute.Int64("predicted_ms", choice.PredictedTime.Milliseconds()))
	defer func() { spans.End(span, t.err) }()
	stop := context.AfterFunc(ctx, conn.Close)
	done := t.run(ctx, w, now)
	if !stop() && t.complete {
		t.complete = false
	}
	t.finish()
	return done
}

func (g *Gateway) connect(ctx context.Context, now time.Time, server, address string, avoidStale bool) (*conns.Conn, error) {
	if conn := g.Pool.Get(now, server, avoidStale); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	g.Meter.AddCounter("pass.dials", 1)
	return g.Pool.Dial(ctx, server, address)
}

func (g *Gateway) reportSuspect(server string) {
	if g.ReportSuspect != nil {
		g.ReportSuspect(server)
	}
}

// logFailedTry logs why a try got no response that can be forwarded.
func (g *Gateway) logFailedTry(c *call, choice pick.Choice, reason string) {
	c.reason = reason
	g.Log.Info().Str("request", c.id).Str("fingerprint", string(c.fingerprint)).Str("server", choice.Server.ID).Str("address", choice.Server.Address).
		Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).
		Bool("may_have_run", c.mayHaveRun).Str("reason", reason).Msg("try failed")
}

// try is one send of a call to one server.
type try struct {
	g        *Gateway
	c        *call
	choice   pick.Choice
	conn     *conns.Conn
	ticket   *pick.Attempt
	sent     time.Time
	exchange *conns.Exchange
	resp     *http.Response
	// complete is set when the response was read to its end.
	complete bool
	verdict  pick.Result
	// err is why the try failed.
	err error
}

func (t *try) finish() {
	now := t.g.Now()
	t.ticket.End(now, t.verdict)
	if t.complete && t.verdict != pick.Refused {
		t.g.Poison.Answered(now, t.c.fingerprint)
	}
	if t.exchange == nil {
		t.g.Pool.Discard(t.conn)
		return
	}
	t.exchange.Finish(now, t.g.Pool, t.resp, t.complete)
}

// failUncertain records the failure of a try that the server may have executed.
func (t *try) failUncertain(ctx context.Context, reason string) bool {
	t.c.mayHaveRun = true
	t.verdict = pick.Failed
	if ctx.Err() != nil {
		// The caller disconnected or the deadline passed. A server that had sent nothing by the
		// deadline counts as failed, a server whose response had started does not.
		t.verdict = pick.Neutral
		if t.c.request.Context().Err() == nil && t.resp == nil {
			t.verdict = pick.Failed
		}
	}
	return t.fail(reason)
}

// fail records why a try failed and excludes its server for now.
func (t *try) fail(reason string) bool {
	t.err = errors.New(reason)
	t.c.excluded = append(t.c.excluded, t.choice.Server.ID)
	t.g.logFailedTry(t.c, t.choice, reason)
	return false
}

// failNotRun records the failure of a try that the server provably did not execute.
func (t *try) failNotRun(reason string) bool {
	t.verdict = pick.Refused
	return t.fail(reason)
}

func (t *try) run(ctx context.Context, w http.ResponseWriter, now time.Time) bool {
	c, g := t.c, t.g
	server := t.choice.Server.ID
	c.sends++
	if !slices.Contains(c.sentTo, server) {
		c.sentTo = append(c.sentTo, server)
	}
	t.sent = now
	var err error
	t.exchange, err = t.conn.Send(c.request.Method, c.requestHead(g.HeaderNames, t.choice.Server.PlatformName(), c.remaining(now)), c.body)
	if err != nil {
		return t.connectionLost(ctx, "send request: "+err.Error(), err)
	}
	t.conn.SetStallTimeout(t.headTimeout(), t.reserveFailover)
	if err := t.readResponseHead(); err != nil {
		return t.connectionLost(ctx, err.Error(), err)
	}
	t.conn.SetStallTimeout(0, nil)
	if t.notRun() {
		return t.handleRefusal()
	}
	return t.forward(ctx, w)
}

const (
	// headTimeoutObjectives is the response timeout of a repeatable request, in latency objectives,
	// before another server is tried. A slow but healthy server nearly always responds sooner.
	headTimeoutObjectives = 3
	// eventTimeoutGaps is the event timeout of a resumable stream, in maximum event gaps of its
	// route, and minEventTimeout is its lower bound: after a preemption, a server recomputes the
	// prompt in some hundred milliseconds.
	eventTimeoutGaps = 4
	minEventTimeout  = 900 * time.Millisecond
)

// headTimeout returns how long to wait for the response head, or 0 if only the request deadline
// applies.
func (t *try) headTimeout() time.Duration {
	if !t.c.route.Repeatable() || t.c.sends >= t.c.route.MaxServers || t.c.route.Objective == 0 {
		return 0
	}
	return max(headTimeoutObjectives*t.c.route.Objective, 2*t.choice.PredictedTime+t.c.route.Objective)
}

// eventTimeout returns how long to wait for the next event, or 0 if only the request deadline
// applies.
func (t *try) eventTimeout() time.Duration {
	if !t.c.route.Repeatable() || t.c.sends >= t.c.route.MaxServers {
		return 0
	}
	return max(eventTimeoutGaps*t.c.route.MaxEventGap, minEventTimeout)
}

// reserveFailover reports whether a call should move from its silent server to another one. If so,
// it has reserved a retry from the budget, and another server has capacity and time for the call.
// If any of the three is missing, failing over would abort the response, although the silent server
// may still complete it: usually it has preempted the request and is recomputing its prompt.
func (t *try) reserveFailover() bool {
	c, g := t.c, t.g
	now := g.Now()
	if c.remaining(now) <= c.route.Objective || c.request.Context().Err() != nil {
		return false
	}
	c.excluded = append(c.excluded, t.choice.Server.ID)
	choice, ok := g.pickServer(now, c, g.Servers.Serving(now, c.service.Name))
	if ok = ok && choice.HasCapacity() && c.takeRetry(now); ok {
		c.retryReserved = true
	} else {
		c.excluded = c.excluded[:len(c.excluded)-1]
	}
	g.Meter.AddCounter("pass.silent", 1)
	g.Log.Info().Str("request", c.id).Str("server", t.choice.Server.ID).Bool("started", c.headSent).Bool("given_up", ok).
		Str("instead", choice.Server.ID).Dur("predicted", choice.PredictedTime).Int("running", choice.Load.Running).Msg("server silent")
	return ok
}

// readResponseHead reads the head of the response to this call. It discards responses to other
// requests, which a server may send late or twice.
func (t *try) readResponseHead() error {
	for range maxForeignResponses + 1 {
		resp, err := t.exchange.ReadResponse()
		if err != nil {
			return err
		}
		id := resp.Header.Get(t.g.HeaderNames.AttemptID)
		if id == t.c.id || id == "" && t.provesNotRun(resp) {
			t.resp = resp
			t.updateRateLimit()
			return nil
		}
		t.g.Meter.AddCounter("pass.stray_answers", 1)
		t.g.Log.Warn().Str("request", t.c.id).Str("server", t.choice.Server.ID).Str("answer_to", id).Msg("discarded a response to another request")
		_, err = conns.ReadAll(resp.Body, maxForeignBodyBytes)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return fmt.Errorf("read response to another request: %w", err)
		}
	}
	return fmt.Errorf("server sent only responses to other requests")
}

// provesNotRun reports whether a response proves that the server did not execute the request.
func (t *try) provesNotRun(resp *http.Response) bool {
	return resp.Header.Get(t.g.HeaderNames.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

func (t *try) notRun() bool { return t.provesNotRun(t.resp) }

func (t *try) handleRefusal() bool {
	_, err := conns.ReadAll(t.resp.Body, maxForeignBodyBytes)
	t.complete = err == nil
	if t.resp.StatusCode == http.StatusMisdirectedRequest {
		// The server does not have the model or adapter, or another server has taken over its
		// address. The cached state of the server is wrong.
		t.g.Servers.RemoveModel(t.choice.Server.ID, t.c.work.Model, t.c.work.Adapter)
		t.g.reportSuspect(t.choice.Server.ID)
	}
	return t.failNotRun("refused with " + strconv.Itoa(t.resp.StatusCode))
}

// forward forwards the response to the caller.
func (t *try) forward(ctx context.Context, w http.ResponseWriter) bool {
	resp := t.resp
	if resp.Header.Get(headerEncoding) != "" || resp.Header.Get(t.g.HeaderNames.ServerStamp) == "" {
		return t.failUncertain(ctx, "response is not from the expected server: status "+strconv.Itoa(resp.StatusCode))
	}
	if t.c.route.Kind == "stream" && resp.StatusCode < 300 && strings.HasPrefix(resp.Header.Get(headerType), typeEvents) {
		return t.forwardStream(ctx, w)
	}
	if t.c.headSent {
		return t.failUncertain(ctx, "resume stream: status "+strconv.Itoa(resp.StatusCode))
	}
	return t.forwardBuffered(ctx, w)
}

// forwardBuffered reads the whole response before forwarding it, so that a truncated response can
// still be replaced by a retry.
func (t *try) forwardBuffered(ctx context.Context, w http.ResponseWriter) bool {
	body, err := conns.ReadAll(t.resp.Body, maxResponseBytes)
	if err != nil {
		return t.connectionLost(ctx, err.Error(), err)
	}
	t.complete = true
	t.verdict = pick.Succeeded
	if t.resp.StatusCode >= http.StatusInternalServerError {
		t.verdict = pick.Failed
		if t.c.route.Repeatable() && t.c.sends < t.c.route.MaxServers && ctx.Err() == nil {
			t.c.errorResponse = &response{status: t.resp.StatusCode, header: t.responseHeaders(), body: body}
			return t.failUncertain(ctx, "server error: status "+strconv.Itoa(t.resp.StatusCode))
		}
	}
	t.g.writeResponse(w, t.c, &response{status: t.resp.StatusCode, header: t.responseHeaders(), body: body})
	return true
}

// writeResponse writes a buffered response to the caller.
func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, resp *response) {
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	w.Header().Set(headerLength, strconv.Itoa(len(resp.body)))
	c.status = resp.status
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.body); err != nil {
		c.reason = "caller disconnected"
	}
}

// responseHeaders returns the response headers without the hop-by-hop headers and Content-Length.
func (t *try) responseHeaders() http.Header {
	options := connectionOptions(t.resp.Header)
	headers := make(http.Header, len(t.resp.Header))
	for name, values := range t.resp.Header {
		if !isHopByHop(name, options) && name != headerLength {
			headers[name] = values
		}
	}
	return headers
}
