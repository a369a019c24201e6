package pass

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
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
	attribution       attribution
	// leaving and retryAfter are what the last response said about its server: that it will exit soon, and
	// the value of its Retry-After header.
	leaving    bool
	retryAfter string
}

// readHead reads the head of the response. It discards responses to other requests, which a server may send
// late or twice. A refusal that may be one to another request is an error.
func (r *reply) readHead() error {
	for range maxForeignResponses + 1 {
		resp, err := r.exchange.ReadResponse()
		if err != nil {
			return r.checkEndless(err)
		}
		r.recordPath()
		id := resp.Header.Get(r.g.HeaderNames.AttemptID)
		mine, err := r.belongs(resp, id)
		if err != nil {
			return err
		}
		if mine {
			r.resp = resp
			r.applyNotice()
			r.recordNamed(id)
			r.updateRateLimit()
			r.recordServerLoad()
			return nil
		}
		r.applyLeaving(resp)
		r.g.Meter.AddCounter(counterStray, 1)
		r.g.Log.Warn().Str("request", r.requestID).Str("server", r.server).Str("answer_to", id).Msg("discarded a response to another request")
		if err := drainBody(resp); err != nil {
			return r.checkEndless(fmt.Errorf("read response to another request: %w", err))
		}
	}
	return errOnlyStray
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

// applyNotice applies what the response says about its server, before anything of it reaches the caller.
// Without proof that the server itself sent it, a response may be forged, and can not take the server
// away from all VMs.
func (r *reply) applyNotice() {
	n := r.g.HeaderNames
	notice := r.readNotice(r.resp)
	r.leaving, r.retryAfter = notice.Leaving, r.resp.Header.Get(headerRetryAfter)
	attested := r.g.attested(r.resp)
	notice.Leaving = notice.Leaving && attested
	notice.HasRejectLimit = notice.HasRejectLimit && attested
	notice.NoRejectLimit = attested && r.resp.Header.Get(n.RejectLimit) == ""
	r.g.Servers.ApplyNotice(r.g.Now(), r.server, notice)
}

// applyLeaving applies of a response to another request that its server leaves. What else it says may have passed.
func (r *reply) applyLeaving(resp *http.Response) {
	if r.readNotice(resp).Leaving && r.g.attested(resp) {
		r.g.Servers.ApplyNotice(r.g.Now(), r.server, backs.Notice{Leaving: true})
	}
}

func (r *reply) readNotice(resp *http.Response) backs.Notice {
	notice, err := r.g.HeaderNames.Notice(time.Now(), resp)
	if err != nil {
		r.g.Log.Info().Str("request", r.requestID).Str("server", r.server).Err(err).Msg("invalid notice of a server")
	}
	return notice
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
