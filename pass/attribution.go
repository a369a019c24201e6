package pass

import (
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// All sends of an attempt bear its ID, and a faulty server may give an answer a second time, late. So an attempt never goes
// over a connection again on which it was refused or has failed, and a request without an ID only over one that has
// brought no response. See conns.Pool.GetFor.

// errUnnamedRefusal is returned for a refusal without an ID on a connection that has brought responses before: it may be
// the second copy of one to an earlier request, so that it does not prove that this one was not run.
var errUnnamedRefusal = errors.New("a refusal names no request, and may be one to an earlier request on the connection")

// errOnlyStray is returned if responses to other requests keep coming, which counterStray counts.
var errOnlyStray = errors.New("server sent only responses to other requests")

const counterStray = "pass.stray_answers"

// attribution is what ties a response to the send that it is taken for the answer to.
type attribution struct {
	// connNew is set if no response had arrived on the connection before, connCarried if the connection may bring a
	// response to an earlier send of the same attempt, answered once a response was taken and named if that names the
	// attempt.
	connNew, connCarried, answered, named bool
}

// addTo adds the attribution to a line of the log.
func (a attribution) addTo(line *zerolog.Event) {
	line.Bool("conn_new", a.connNew).Bool("conn_carried", a.connCarried)
	if a.answered {
		line.Bool("answer_named", a.named)
	}
}

// recordSend records over what kind of connection a request is sent now.
func (r *reply) recordSend(now time.Time) {
	r.attribution = attribution{connNew: r.unproven, connCarried: r.conn.Ambiguous(now, r.requestID)}
	if r.attribution.connCarried {
		r.g.Meter.AddCounter("pass.sends_on_carried", 1)
	}
}

// recordNamed records that the response taken names an attempt, id "" for none.
func (r *reply) recordNamed(id string) {
	r.attribution.answered, r.attribution.named = true, id != ""
	if id == "" {
		r.g.Meter.AddCounter("pass.unnamed_answers", 1)
	}
}

// belongs reports whether a response with an ID, "" for none, can only be the one to this send.
func (r *reply) belongs(resp *http.Response, id string) (bool, error) {
	switch {
	case id != "" || r.requestID == "":
		return id == r.requestID, nil
	case r.refusedByProxy(resp):
		// A VM answers each request once.
		return true, nil
	case !r.g.provesNotRun(resp):
		return false, nil
	case r.proxy == "" && !r.unproven:
		return false, errUnnamedRefusal
	}
	return true, nil
}

// reusable reports whether the connection can be used for other requests: a second copy of a response that names no
// request could be one to any of them.
func (r *reply) reusable() bool { return r.attribution.named || r.proxy != "" }

// markCarried has no send of the request until a time use the connection again, if there may be one: after a refusal and
// a failure, whose second copies would count for that send. Any other answer is the final one.
func (r *reply) markCarried(now, until time.Time) {
	if r.proxy == "" && r.resp != nil && (r.g.provesNotRun(r.resp) || r.resp.StatusCode >= http.StatusInternalServerError) {
		r.conn.MarkCarried(now, r.requestID, until)
	}
}

// readUnnamed reads the response to a question to a server that is no request of a caller and has no ID. It discards
// responses to requests.
func (g *Gateway) readUnnamed(x *conns.Exchange) (*http.Response, error) {
	for range maxForeignResponses + 1 {
		resp, err := x.ReadResponse()
		if err != nil || resp.Header.Get(g.HeaderNames.AttemptID) == "" {
			return resp, err
		}
		g.Meter.AddCounter(counterStray, 1)
		if err := drainBody(resp); err != nil {
			return nil, err
		}
	}
	return nil, errOnlyStray
}
