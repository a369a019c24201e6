package pass

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// A faulty server may send bytes that form no response, in a head or a body, until its connection is closed. Without
// bounds, a VM reads them until its memory is used up: heads without an end took 447 to 983 MB in three seconds. Such a
// server counts as broken, although it goes on sending.

// minEndlessBytes is the length from which a body that gave way to other responses, and whose length was not stated, is
// taken for one without an end. The usual responses of a VM take less than the rest of the budget.
const minEndlessBytes = maxResponseBytes - 1<<20

var errEventTooLong = fmt.Errorf("%w: event of more than %d bytes", conns.ErrEndless, maxEventBytes)

// asEndless returns the error for a body that was longer than allowed although no sound server sends as much.
func asEndless(err error, limit int) error {
	if !errors.Is(err, conns.ErrBodyTooLarge) {
		return err
	}
	return fmt.Errorf("%w: body of more than %d bytes", conns.ErrEndless, limit)
}

// recordEndless counts and logs a response without an end, and closes its connection.
func (g *Gateway) recordEndless(conn *conns.Conn, request, server, proxy string, err error) {
	conn.Close()
	g.Meter.AddCounter("pass.endless_responses", 1)
	g.Log.Warn().Str("request", request).Str("server", server).Str("proxy", proxy).Err(err).Msg("server sends a response without an end")
}

func (r *reply) recordEndless(err error) {
	r.g.recordEndless(r.conn, r.requestID, r.server, r.proxy, err)
}

// checkEndless records the error of a read if it means that the response has no end, and returns it. What was read shows
// that this VM has a path to the server.
func (r *reply) checkEndless(err error) error {
	if errors.Is(err, conns.ErrEndless) {
		r.recordPath()
		r.recordEndless(err)
	}
	return err
}

// recordEndlessProbe records a connection that was opened for a call and not used because of err. A server that answered
// without an end when it was asked which instance it is counts as broken.
func (g *Gateway) recordEndlessProbe(choice pick.Choice, err error) {
	if !errors.Is(err, conns.ErrEndless) {
		return
	}
	now := g.Now()
	g.Balancer.Begin(now, choice, pick.Work{}, 0).End(now, pick.Failed)
}

// drainBody reads a body of which nothing is needed.
func drainBody(resp *http.Response) error {
	if err := conns.Drain(resp.Body, maxForeignBodyBytes); err != nil {
		return asEndless(err, maxForeignBodyBytes)
	}
	return resp.Body.Close()
}

func (r *reply) drainBody() error { return drainBody(r.resp) }

// budget returns the budget of the responses that are buffered whole.
func (g *Gateway) budget() *conns.Budget {
	if g.ResponseBudget != nil {
		return g.ResponseBudget
	}
	return &g.ownBudget
}

// readBuffered reads the body of a response within the budget.
func (g *Gateway) readBuffered(ctx context.Context, conn *conns.Conn, resp *http.Response, limit int) (*conns.Body, error) {
	return g.budget().Read(ctx, resp.Body, limit, conn.Close)
}

// readBody reads a response that is not a stream. Its memory belongs to the budget again once the call has ended.
func (a *attempt) readBody(ctx context.Context) (*conns.Body, error) {
	if a.resp.ContentLength > maxResponseBytes && a.c.request.Method != http.MethodHead {
		return nil, conns.ErrBodyTooLarge
	}
	counted := &countedReader{Reader: a.resp.Body}
	body, err := a.g.budget().Read(ctx, counted, maxResponseBytes, a.conn.Close)
	a.bodyBytes = counted.bytes
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, body.Release)
	return body, nil
}

// countedReader counts the bytes that are read through it.
type countedReader struct {
	io.Reader
	bytes int
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += n
	return n, err
}

// bodyFailed marks an attempt as failed because its body could not be buffered. A server that has said how long its
// response is, or whose response gave way to others, is sound. One that has sent the longest response that is allowed
// without a word of its length can not be told from one that goes on without end. That holds near the bound already for
// one that gave way: the smallest budget is no larger than the bound, and beside other responses no body reaches it.
func (a *attempt) bodyFailed(ctx context.Context, err error) bool {
	switch {
	case errors.Is(err, conns.ErrBudgetExceeded) && a.resp.ContentLength < 0 && a.bodyBytes >= minEndlessBytes:
		a.recordEndless(fmt.Errorf("%w: body of more than %d bytes", conns.ErrEndless, minEndlessBytes))
		return a.failEndless(err.Error())
	case errors.Is(err, conns.ErrBudgetExceeded):
		a.g.Meter.AddCounter("pass.responses_over_budget", 1)
		a.c.mayHaveRun, a.result = true, pick.Neutral
		return a.fail(err.Error())
	case !errors.Is(err, conns.ErrBodyTooLarge):
		return a.connectionLost(ctx, err.Error(), err)
	}
	a.g.Meter.AddCounter("pass.responses_too_long", 1)
	reason := "response is longer than " + strconv.Itoa(maxResponseBytes) + " bytes"
	if a.resp.ContentLength < 0 {
		a.recordEndless(asEndless(err, maxResponseBytes))
		return a.failEndless(reason)
	}
	a.c.mayHaveRun, a.result = true, pick.Neutral
	return a.fail(reason)
}

// readFailed marks an attempt as failed because the response could not be read.
func (a *attempt) readFailed(ctx context.Context, reason string, err error) bool {
	if errors.Is(err, conns.ErrEndless) {
		return a.failEndless(reason)
	}
	return a.connectionLost(ctx, reason, err)
}

// failEndless records the failure of an attempt whose response has no end. What it has sent proves the server broken,
// also if the call has ended meanwhile. It has not crashed, so that the request is not suspected.
func (a *attempt) failEndless(reason string) bool {
	a.c.mayHaveRun, a.result = true, pick.Failed
	return a.fail(reason)
}
