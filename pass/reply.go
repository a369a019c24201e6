package pass

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// reply is the response to a request that was sent to a server once, and what its head says.
type reply struct {
	g    *Gateway
	conn *conns.Conn
	// proxy is the address of the VM that the request went through, "" if it went to the server directly.
	proxy string
	// forOtherVM is set if the request is one of another VM, which records what the response reports about the load of
	// its server.
	forOtherVM bool
	// unproven is set if no response had arrived on conn before.
	unproven          bool
	requestID, server string
	sent              time.Time
	exchange          *conns.Exchange
	resp              *http.Response
	// leaving and retryAfter are what the last response said about its server: that it will exit soon, and
	// the value of its Retry-After header.
	leaving    bool
	retryAfter string
}

// errUnnamedRefusal is why it is not known whether a request ran.
var errUnnamedRefusal = errors.New("a refusal names no request, and may be that of an earlier one on the connection")

// readHead reads the head of the response. It discards responses to other requests, which a server may send
// late or twice. A refusal that names no request counts only if nothing has arrived on the connection before it.
func (r *reply) readHead() error {
	for n := range maxForeignResponses + 1 {
		resp, err := r.exchange.ReadResponse()
		if err != nil {
			return r.checkEndless(err)
		}
		r.recordPath()
		r.applyNotice(resp)
		id := resp.Header.Get(r.g.HeaderNames.AttemptID)
		unnamed := id == "" && r.requestID != "" && r.g.provesNotRun(resp)
		if unnamed && (n > 0 || !r.unproven) {
			r.g.Meter.AddCounter("pass.unnamed_refusals", 1)
			return errUnnamedRefusal
		}
		if unnamed {
			// It may come once more, for the next request.
			resp.Close = true
		}
		if id == r.requestID || unnamed || id == "" && r.refusedByProxy(resp) {
			r.resp = resp
			r.updateRateLimit()
			r.recordServerLoad()
			return nil
		}
		r.g.Meter.AddCounter("pass.stray_answers", 1)
		r.g.Log.Warn().Str("request", r.requestID).Str("server", r.server).Str("answer_to", id).Msg("discarded a response to another request")
		if err := drainBody(resp); err != nil {
			return r.checkEndless(fmt.Errorf("read response to another request: %w", err))
		}
	}
	return fmt.Errorf("server sent only responses to other requests")
}

// recordPath records that this VM has a path to the server.
func (r *reply) recordPath() {
	if r.proxy != "" {
		return
	}
	now := r.g.Now()
	r.g.Paths.Heard(now)
	if r.unproven {
		r.g.Paths.ConnectionWorked(now)
	}
}

// provesNotRun reports whether a response proves that the server did not execute the request.
func (g *Gateway) provesNotRun(resp *http.Response) bool {
	return resp.Header.Get(g.HeaderNames.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// attested reports whether a response certainly comes from the server itself, and not from another one at its address.
func (g *Gateway) attested(resp *http.Response) bool {
	return resp.Header.Get(g.HeaderNames.ServerStamp) != "" || resp.Header.Get(g.HeaderNames.NotExecuted) != ""
}

// applyNotice applies what a response says about its server, before anything of it reaches the caller.
// Without proof that the server itself sent it, a response may be forged, and can not take the server
// away from all VMs.
func (r *reply) applyNotice(resp *http.Response) {
	n := r.g.HeaderNames
	notice, err := n.Notice(time.Now(), resp)
	r.leaving, r.retryAfter = notice.Leaving, resp.Header.Get(headerRetryAfter)
	if err != nil {
		r.g.Log.Info().Str("request", r.requestID).Str("server", r.server).Err(err).Msg("invalid notice of a server")
	}
	attested := r.g.attested(resp)
	notice.Leaving = notice.Leaving && attested
	notice.HasRejectLimit = notice.HasRejectLimit && attested
	notice.NoRejectLimit = attested && resp.Header.Get(n.RejectLimit) == ""
	r.g.Servers.ApplyNotice(r.g.Now(), r.server, notice)
}

// updateRateLimit updates the known rate limit of the server from its response headers. An invalid
// value is logged and leaves the limit unchanged.
func (r *reply) updateRateLimit() {
	n := r.g.HeaderNames
	if !r.g.attested(r.resp) {
		return // The response may come from another server at the same address.
	}
	value := r.resp.Header.Get(n.RateLimit)
	if value == "" {
		if r.g.RateLimits.Update(r.g.Now(), r.sent, r.server, 0, false) {
			r.g.Log.Info().Str("server", r.server).Msg("server rate limit removed")
		}
		return
	}
	rate, ok := n.ParseRateLimit(value)
	if !ok {
		r.g.Log.Warn().Str("request", r.requestID).Str("server", r.server).Str("limit", value).Msg("invalid server rate limit")
		return
	}
	if r.g.RateLimits.Update(r.g.Now(), r.sent, r.server, rate, true) {
		r.g.Log.Info().Str("server", r.server).Float64("rate", rate).Msg("server rate limit changed")
	}
}
