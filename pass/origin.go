package pass

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A caller that takes a stream up names the attempt that brought its first event. The VM that it reaches finds out
// where that stream began, or refuses.

var (
	// errResumes is returned for a request that does not name one attempt as the one that began its stream.
	errResumes = errors.New("the request names no valid attempt as the one that began its stream")
	// errOriginUnknown is returned for a stream of which no VM knows where it began.
	errOriginUnknown = errors.New("no VM knows which software version began the stream, and it can not go on at another one; begin it anew")
	// errOriginUnanswered is returned if that could not be found out for now.
	errOriginUnanswered = errors.New("which software version began the stream can not be found out for now")
	// errRouteChanged is returned for a stream that began at a service to which its route no longer leads.
	errRouteChanged = errors.New("the route no longer leads to the service that began the stream; begin it anew")
	// errVersionGone is returned for a begun stream of whose software version no server serves any more.
	errVersionGone = errors.New("no server of the software version that began the stream serves any more; begin it anew")
)

// endsStream reports whether a failure means that a begun stream can not go on, however often it is tried.
func endsStream(err error) bool {
	return errors.Is(err, errVersionGone) || errors.Is(err, errOriginUnknown) || errors.Is(err, errRouteChanged)
}

// parseResumes returns the attempt that a request names as the one that began its stream, "" for none.
func parseResumes(n *HeaderNames, r *http.Request) (string, error) {
	values := r.Header.Values(n.Resumes)
	if len(values) == 0 || r.Header.Get(headerLastEvent) == "" {
		return "", nil
	}
	attempt := values[0]
	invalid := func(c rune) bool { return c <= ' ' || c > '~' }
	if len(values) > 1 || attempt == "" || len(attempt) > origin.MaxAttemptBytes || slices.ContainsFunc([]rune(attempt), invalid) {
		return "", errResumes
	}
	return attempt, nil
}

// bind binds a call that takes a stream up to the service and the software version that began it. Who began it
// this VM knows, or one of the keepers of the attempt, or the list of servers proves it.
func (g *Gateway) bind(ctx context.Context, c *call) error {
	if c.route.Kind != routes.Stream || c.lastEventID == "" {
		return nil
	}
	start := g.Now()
	defer func() { g.Meter.RecordDuration("pass.take_up", g.Now().Sub(start)) }()
	g.Meter.AddCounter("pass.taken_up", 1)
	found := g.findOrigin(ctx, c, start)
	if found.verdict == origin.Known {
		c.boundBy = found.by
		if found.by == boundByList {
			c.listAge = g.Now().Sub(g.Servers.CurrentAt())
		}
		return g.bindTo(c, found.record)
	}
	g.Meter.AddCounter("pass.origin_"+found.verdict.String(), 1)
	if found.verdict == origin.Unanswered {
		return errOriginUnanswered
	}
	return errOriginUnknown
}

const (
	// boundByRecord and boundByList tell in the log what bound a call to a software version.
	boundByRecord = "record"
	boundByList   = "server list"
	// keepersLead is how long the keepers of an attempt are waited for before the list of servers is confirmed too. They
	// usually answer within milliseconds, and that costs the controller nothing.
	keepersLead = 300 * time.Millisecond
)

// foundOrigin is what the keepers of an attempt, or the list of servers, say about it.
type foundOrigin struct {
	by      string
	record  origin.Record
	verdict origin.Verdict
}

// findOrigin asks the keepers of the attempt that began the call's stream, and if they do not answer at once, has the list
// of servers prove the version as well. The first who knows it is heard: where links are slow, the keepers answer late,
// and where they have ended, never.
func (g *Gateway) findOrigin(ctx context.Context, c *call, now time.Time) foundOrigin {
	ctx, cancel := context.WithTimeout(ctx, c.maxServerWait(now))
	defer cancel()
	answers := make(chan foundOrigin, 2)
	pending, result := 0, foundOrigin{verdict: origin.Unknown}
	if c.resumes != "" && g.FindOrigin != nil {
		pending++
		go func(attempt string) {
			r, verdict := g.FindOrigin(ctx, attempt)
			answers <- foundOrigin{boundByRecord, r, verdict}
		}(c.resumes)
		lead := time.NewTimer(keepersLead)
		defer lead.Stop()
		select {
		case result = <-answers:
			pending--
		case <-lead.C:
		}
		if result.verdict == origin.Known {
			return result
		}
		if pending > 0 && g.Alone != nil && g.Alone() {
			return foundOrigin{verdict: origin.Unanswered}
		}
	}
	pending++
	proof := g.newProof(c)
	go func() {
		version, verdict := g.onlyVersion(ctx, proof)
		answers <- foundOrigin{boundByList, origin.Record{Service: proof.service, Version: version}, verdict}
	}()
	for ; pending > 0; pending-- {
		answer := <-answers
		if answer.verdict == origin.Known {
			return answer
		}
		if answer.verdict == origin.Unanswered {
			result.verdict = origin.Unanswered
		}
	}
	return result
}

// versionProof is what the list of servers is to prove for a call: that one software version alone can have begun its
// stream.
type versionProof struct {
	service string
	// several is set if the call's route leads to several services, of which nothing is proved.
	several bool
	// life is how long streams last, and by the time as of which the list has to be known.
	life time.Duration
	by   time.Time
}

func (g *Gateway) newProof(c *call) versionProof {
	return versionProof{service: c.service.Name, several: len(c.route.Targets) != 1, life: g.lives.of(c.route, c.service.Name), by: c.listNeededBy()}
}

func (g *Gateway) bindTo(c *call, r origin.Record) error {
	c.binding = binding{begun: true, version: r.Version}
	if r.Service == c.service.Name {
		return nil
	}
	// The shares of the route's services have changed, or the caller's ID led to another one.
	leads := slices.ContainsFunc(c.route.Targets, func(t routes.Target) bool { return t.Service == r.Service })
	if table := g.Table(); leads && table != nil && c.setService(g.HeaderNames, table, r.Service) {
		return nil
	}
	return errRouteChanged
}

const (
	// maxProofWait bounds how long a request waits until the list of servers is confirmed as of its arrival, and
	// proofRetryDelay is the pause after an attempt that failed.
	maxProofWait    = 1500 * time.Millisecond
	proofRetryDelay = 20 * time.Millisecond
)

// onlyVersion returns the software version that alone can have begun a stream, as no server of another one
// has existed for as long as streams last. The list of servers proves that only if it is as new as the request: the
// VM that began the stream may have known servers that this VM did not know then. If that can not be found out for now,
// the verdict is Unanswered: the list may prove it later, or at another VM.
func (g *Gateway) onlyVersion(ctx context.Context, p versionProof) (string, origin.Verdict) {
	if p.several || g.Servers.SeveralVersions(g.Now(), p.service, p.life) {
		return "", origin.Unknown
	}
	if !g.confirmServers(ctx, p.by) {
		return "", origin.Unanswered
	}
	version, only := g.Servers.OnlyVersion(g.Now(), p.service, p.life)
	if !only {
		return "", origin.Unknown
	}
	return version, origin.Known
}

// confirmServers waits until the list of servers is known to have every change that the store had made by a time, and
// reports whether it is.
func (g *Gateway) confirmServers(ctx context.Context, by time.Time) bool {
	start := g.Now()
	ctx, cancel := context.WithTimeout(ctx, maxProofWait)
	defer cancel()
	for !g.Servers.CurrentAt().After(by) {
		if g.ConfirmServers != nil && g.ConfirmServers(ctx, by) == nil {
			continue
		}
		if !pause.For(ctx, proofRetryDelay) {
			g.Meter.AddCounter("pass.servers_unconfirmed", 1)
			return false
		}
	}
	g.Meter.RecordDuration("pass.servers_confirmed", g.Now().Sub(start))
	return true
}

// tellInterval is the interval at which the keepers of a long stream are told again, so that they do not forget it.
const tellInterval = origin.Retention / 2

// tellOrigin has the binding of a stream kept by other VMs, before its first event is passed on. A caller that takes
// it up names the attempt that began it.
func (g *Gateway) tellOrigin(now time.Time, c *call) {
	if g.TellOrigin == nil || c.id == "" || !c.route.Repeatable() || c.binding.version == "" || now.Sub(c.toldAt) < tellInterval {
		return
	}
	c.toldAt = now
	r := origin.Record{Service: c.service.Name, Version: c.binding.version}
	g.TellOrigin(c.id, r)
	if c.resumes != "" {
		g.TellOrigin(c.resumes, r)
	}
}

// endedStream returns the response body for a stream that can not go on.
func endedStream(err error) string { return fmt.Sprintf("the request was not run: %v", err) }
