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
	// dialTimeout bounds a new connection: servers are milliseconds away, and a
	// dial that takes longer meets a cut.
	dialTimeout = 250 * time.Millisecond
	// straysAllowed is how many answers to other requests are passed over on a
	// connection before it is given up.
	straysAllowed = 2
	// strayLimit bounds the body of an answer that is passed over.
	strayLimit = 1 << 20
)

// attempt sends a call to a server and passes its answer on. It reports whether
// the caller has its final answer; otherwise c says what is known.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, choice pick.Choice) bool {
	server := choice.Server.ID
	c.tries++
	now := g.Now()
	conn, err := g.connect(ctx, now, server, choice.Server.Address, !c.route.Repeatable())
	if err != nil {
		g.Book.Unreached(g.Now(), choice.Server)
		g.noteConnectionRefused(choice.Server, err)
		g.doubt(server)
		g.note(c, choice, "not connected: "+err.Error())
		c.avoid = append(c.avoid, server)
		c.unreached = append(c.unreached, server)
		return false
	}
	// The server may have begun to leave, or the caller's time may have run
	// out, while the connection was made or this VM stood still.
	now = g.Now()
	if left(c.request) {
		c.left = true
		g.Pool.Return(now, conn)
		return false
	}
	if !g.Servers.Usable(now, server) || c.remaining(now) <= 0 {
		g.Pool.Return(now, conn)
		g.note(c, choice, "server left before the send")
		c.avoid = append(c.avoid, server)
		return false
	}
	if g.blocked(now, c) {
		g.Pool.Return(now, conn)
		return false
	}
	// Only what reaches a server feeds an overload, so only sends draw on the
	// budget and failed connections do not.
	if c.sends > 0 && !c.takeRetry(now) {
		c.broke = true
		g.Pool.Return(now, conn)
		g.note(c, choice, c.reason+", retry budget spent")
		return false
	}
	c.choice = choice
	ticket := g.Book.Begin(now, choice, c.work, g.tokenMemory(c))
	t := &try{g: g, c: c, choice: choice, conn: conn, ticket: ticket}
	ctx, span := spans.Start(ctx, "attempt", attribute.String("server", server), attribute.Int64("predicted_ms", choice.Predicted.Milliseconds()))
	defer func() { spans.End(span, t.failure) }()
	stop := context.AfterFunc(ctx, conn.Close)
	done := t.run(ctx, w, now)
	if !stop() && t.whole {
		t.whole = false
	}
	t.finish()
	return done
}

func (g *Gateway) connect(ctx context.Context, now time.Time, server, address string, care bool) (*conns.Conn, error) {
	if conn := g.Pool.Take(now, server, care); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	g.Meter.AddCounter("pass.dials", 1)
	return g.Pool.Dial(ctx, server, address)
}

func (g *Gateway) doubt(server string) {
	if g.Doubt != nil {
		g.Doubt(server)
	}
}

// note logs why a try did not answer.
func (g *Gateway) note(c *call, choice pick.Choice, reason string) {
	c.reason = reason
	g.Log.Info().Str("request", c.id).Str("fingerprint", string(c.fingerprint)).Str("server", choice.Server.ID).Str("address", choice.Server.Address).
		Dur("predicted", choice.Predicted).Int("running", choice.Load.Running).
		Bool("may_have_run", c.uncertain).Str("reason", reason).Msg("try failed")
}

// try is one send of a call.
type try struct {
	g        *Gateway
	c        *call
	choice   pick.Choice
	conn     *conns.Conn
	ticket   *pick.Ticket
	sent     time.Time
	exchange *conns.Exchange
	resp     *http.Response
	// whole is set when the answer was read to its end.
	whole   bool
	verdict pick.Verdict
	// failure is why the try did not answer.
	failure error
}

func (t *try) finish() {
	now := t.g.Now()
	t.ticket.End(now, t.verdict)
	if t.whole && t.verdict != pick.Refused {
		t.g.Poison.Answered(now, t.c.fingerprint)
	}
	if t.exchange == nil {
		t.g.Pool.Discard(t.conn)
		return
	}
	t.exchange.Finish(now, t.g.Pool, t.resp, t.whole)
}

// failed notes a try that may have run.
func (t *try) failed(ctx context.Context, reason string) bool {
	t.c.uncertain = true
	t.verdict = pick.Bad
	if ctx.Err() != nil {
		// The caller left or its time ran out; silence until then counts, an
		// answer on its way does not.
		t.verdict = pick.Neutral
		if t.c.request.Context().Err() == nil && t.resp == nil {
			t.verdict = pick.Bad
		}
	}
	return t.gaveUp(reason)
}

// gaveUp notes why a try did not answer; the call avoids its server for now.
func (t *try) gaveUp(reason string) bool {
	t.failure = errors.New(reason)
	t.c.avoid = append(t.c.avoid, t.choice.Server.ID)
	t.g.note(t.c, t.choice, reason)
	return false
}

// refused notes a try that has provably not run.
func (t *try) refused(reason string) bool {
	t.verdict = pick.Refused
	return t.gaveUp(reason)
}

func (t *try) run(ctx context.Context, w http.ResponseWriter, now time.Time) bool {
	c, g := t.c, t.g
	server := t.choice.Server.ID
	c.sends++
	if !slices.Contains(c.servers, server) {
		c.servers = append(c.servers, server)
	}
	t.sent = now
	var err error
	t.exchange, err = t.conn.Send(c.request.Method, c.head(g.Names, t.choice.Server.Called(), c.remaining(now)), c.body)
	if err != nil {
		return t.connectionLost(ctx, "send: "+err.Error(), err)
	}
	t.conn.Watch(t.patience(), t.elsewhere)
	if err := t.answer(); err != nil {
		return t.connectionLost(ctx, err.Error(), err)
	}
	t.conn.Watch(0, nil)
	if t.notRun() {
		return t.refuse()
	}
	return t.pass(ctx, w)
}

const (
	// patientObjectives is how many objectives a server has for the first event
	// of a request that may be repeated, before another server is asked. One
	// that is slow but alive is nearly always faster.
	patientObjectives = 3
	// stallGaps is how many of a route's longest pauses a stream that may be
	// resumed waits for its next event, and stallLeast the least: a preempted
	// stream is read anew in some hundred milliseconds.
	stallGaps  = 4
	stallLeast = 900 * time.Millisecond
)

// patience returns how long to wait for the head of the answer, 0 for as long
// as the caller does.
func (t *try) patience() time.Duration {
	if !t.c.route.Repeatable() || t.c.sends >= t.c.route.Attempts || t.c.route.Objective == 0 {
		return 0
	}
	return max(patientObjectives*t.c.route.Objective, 2*t.choice.Predicted+t.c.route.Objective)
}

// stall returns how long to wait for the next event, 0 for as long as the
// caller does.
func (t *try) stall() time.Duration {
	if !t.c.route.Repeatable() || t.c.sends >= t.c.route.Attempts {
		return 0
	}
	return max(stallGaps*t.c.route.Gap, stallLeast)
}

// elsewhere reports whether a call whose server is silent is better sent to another
// one, and takes what that needs: a retry of the budget, a server with room and time
// for it. Without all three the answer would be cut off, and the caller lose what
// the silent server may still go on with: mostly it has preempted the request and
// reads its prompt anew.
func (t *try) elsewhere() bool {
	c, g := t.c, t.g
	now := g.Now()
	if c.remaining(now) <= c.route.Objective || c.request.Context().Err() != nil {
		return false
	}
	c.avoid = append(c.avoid, t.choice.Server.ID)
	choice, ok := g.pick(now, c, g.Servers.Serving(now, c.service.Name))
	if ok = ok && choice.HasRoom() && c.takeRetry(now); ok {
		c.reserved = true
	} else {
		c.avoid = c.avoid[:len(c.avoid)-1]
	}
	g.Meter.AddCounter("pass.silent", 1)
	g.Log.Info().Str("request", c.id).Str("server", t.choice.Server.ID).Bool("started", c.started).Bool("given_up", ok).
		Str("instead", choice.Server.ID).Dur("predicted", choice.Predicted).Int("running", choice.Load.Running).Msg("server silent")
	return ok
}

// answer reads the head of the answer to this call. Answers to other requests,
// which a server may send late or twice, are passed over.
func (t *try) answer() error {
	for range straysAllowed + 1 {
		resp, err := t.exchange.Answer()
		if err != nil {
			return err
		}
		id := resp.Header.Get(t.g.Names.ID)
		if id == t.c.id || id == "" && t.refusal(resp) {
			t.resp = resp
			t.updateLimit()
			return nil
		}
		t.g.Meter.AddCounter("pass.stray_answers", 1)
		t.g.Log.Warn().Str("request", t.c.id).Str("server", t.choice.Server.ID).Str("answer_to", id).Msg("answer to another request dropped")
		_, err = conns.ReadAll(resp.Body, strayLimit)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return fmt.Errorf("answer to another request: %w", err)
		}
	}
	return fmt.Errorf("only answers to other requests")
}

// refusal reports whether an answer proves that the server did not run the
// request.
func (t *try) refusal(resp *http.Response) bool {
	return resp.Header.Get(t.g.Names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

func (t *try) notRun() bool { return t.refusal(t.resp) }

func (t *try) refuse() bool {
	_, err := conns.ReadAll(t.resp.Body, strayLimit)
	t.whole = err == nil
	if t.resp.StatusCode == http.StatusMisdirectedRequest {
		// It does not hold the model or adapter, or another server has its
		// address: what was believed of it is wrong.
		t.g.Servers.Unlearn(t.choice.Server.ID, t.c.work.Model, t.c.work.Adapter)
		t.g.doubt(t.choice.Server.ID)
	}
	return t.refused("refused with " + strconv.Itoa(t.resp.StatusCode))
}

// pass hands the answer to the caller.
func (t *try) pass(ctx context.Context, w http.ResponseWriter) bool {
	resp := t.resp
	if resp.Header.Get(headerEncoding) != "" || resp.Header.Get(t.g.Names.Stamp) == "" {
		return t.failed(ctx, "answer is not the server's: status "+strconv.Itoa(resp.StatusCode))
	}
	if t.c.route.Kind == "stream" && resp.StatusCode < 300 && strings.HasPrefix(resp.Header.Get(headerType), typeEvents) {
		return t.stream(ctx, w)
	}
	if t.c.started {
		return t.failed(ctx, "resumed with status "+strconv.Itoa(resp.StatusCode))
	}
	return t.plain(ctx, w)
}

// plain passes on an answer that is read whole first: an answer that breaks off
// can then still be replaced.
func (t *try) plain(ctx context.Context, w http.ResponseWriter) bool {
	body, err := conns.ReadAll(t.resp.Body, answerLimit)
	if err != nil {
		return t.connectionLost(ctx, err.Error(), err)
	}
	t.whole = true
	t.verdict = pick.Good
	if t.resp.StatusCode >= http.StatusInternalServerError {
		t.verdict = pick.Bad
		if t.c.route.Repeatable() && t.c.sends < t.c.route.Attempts && ctx.Err() == nil {
			t.c.failed = &answer{status: t.resp.StatusCode, header: t.headers(), body: body}
			return t.failed(ctx, "server failed with "+strconv.Itoa(t.resp.StatusCode))
		}
	}
	t.g.write(w, t.c, &answer{status: t.resp.StatusCode, header: t.headers(), body: body})
	return true
}

// write passes a whole answer on.
func (g *Gateway) write(w http.ResponseWriter, c *call, a *answer) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set(headerLength, strconv.Itoa(len(a.body)))
	c.status = a.status
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		c.reason = "caller left"
	}
}

// headers returns the headers of the answer that are for the caller.
func (t *try) headers() http.Header {
	listed := connectionHeaders(t.resp.Header)
	kept := make(http.Header, len(t.resp.Header))
	for name, values := range t.resp.Header {
		if !ends(name, listed) && name != headerLength {
			kept[name] = values
		}
	}
	return kept
}
