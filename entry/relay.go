package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/relay"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

const (
	// maxAttempts bounds the attempts for one request.
	maxAttempts = 8
	// candidateRetryInterval is the time between two searches for a server.
	candidateRetryInterval = 25 * time.Millisecond
	// defaultRetryAfter is the retry delay sent to callers after a transient
	// failure.
	defaultRetryAfter = time.Second
)

// relayStage sends a request to a backend server, retries it where that cannot
// exceed the allowed number of runs, and forwards the response to the caller.
type relayStage struct {
	fleet *fleet.View
	// selectCandidate chooses among candidates; it is called under mu.
	selectCandidate func(candidates []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool)
	// maxResumes is how often one run is resumed.
	maxResumes   int
	budget       *retry.Budget
	backoff      retry.Backoff
	engines      *engine.Client
	plain        *plain.Client
	now          func() time.Time
	meter        *meter.Registry
	offeredLoads *offeredLoads

	mu  sync.Mutex
	rng *rand.Rand
}

func (s *relayStage) run(ctx context.Context, x *Exchange, _ Next) error {
	s.budget.RecordRequest()
	var assembly relay.Assembly
	var tried []string
	for attempt := 1; ; attempt++ {
		c, err := s.chooseServer(ctx, x, tried)
		if err != nil {
			return err
		}
		tried = append(tried, c.Name)
		err = s.attempt(ctx, x, c, &assembly)
		if err == nil {
			return nil
		}
		f := hibiscuscart.AsFailure(err)
		if !s.mayRetry(x, f, attempt) {
			return s.finalFailure(x, s.withRest(x, f))
		}
		s.meter.AddCounter("relay.retries", 1)
		if !pause.For(ctx, s.backoffDelay(attempt)) {
			return s.finalFailure(x, f)
		}
	}
}

// finalFailure returns the failure to report to the caller. Once any attempt
// may have run, a later attempt that did not run does not prove that the
// request did not run.
func (s *relayStage) finalFailure(x *Exchange, f *hibiscuscart.Failure) error {
	if x.maybeSent && f.Outcome() == hibiscuscart.OutcomeNotRun {
		return hibiscuscart.Fail(hibiscuscart.CauseLostBeforeAnswer, "an earlier attempt may have run").WithError(f)
	}
	if f.Cause().Transient() && f.RetryAfter() == 0 {
		return f.WithRetryAfter(defaultRetryAfter)
	}
	return f
}

// mayRetry reports whether another server may be tried after a failure.
func (s *relayStage) mayRetry(x *Exchange, f *hibiscuscart.Failure, attempt int) bool {
	if attempt >= maxAttempts {
		return false
	}
	switch f.Cause() {
	case hibiscuscart.CauseDialFailed, hibiscuscart.CauseNothingWritten, hibiscuscart.CauseRefused:
		return s.budget.Allow(s.now())
	case hibiscuscart.CauseLostBeforeAnswer, hibiscuscart.CauseLostInStream, hibiscuscart.CauseBackendError:
		return x.possibleRuns < x.profile.RunsAllowed() && s.budget.Allow(s.now())
	}
	return false
}

func (s *relayStage) backoffDelay(attempt int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.Wait(s.rng, attempt)
}

// chooseServer returns a server that has loaded what the request needs. While
// there is none, for example while a model is loading, it searches again until
// half of the time of the request has passed.
func (s *relayStage) chooseServer(ctx context.Context, x *Exchange, tried []string) (fleet.Candidate, error) {
	_, span := spans.Start(ctx, "route")
	c, err := s.findServer(ctx, x, tried)
	span.SetAttributes(attribute.String("server", c.Name))
	spans.End(span, err)
	return c, err
}

func (s *relayStage) findServer(ctx context.Context, x *Exchange, tried []string) (fleet.Candidate, error) {
	need := requirements(x)
	searchDeadline := x.request.ArrivedAt.Add(x.profile.ResponseTimeout() / 2)
	for {
		now := s.now()
		candidates := s.fleet.Candidates(now, need)
		s.mu.Lock()
		c, ok := s.selectCandidate(candidates, need.PromptPrefix, tried)
		s.mu.Unlock()
		if ok {
			return c, nil
		}
		if need.SoftwareVersion != "" && !s.fleet.VersionServes(need) {
			s.meter.AddCounter("relay.version_gone", 1)
			return c, s.finalFailure(x, hibiscuscart.Fail(hibiscuscart.CauseNoServer, "no server of the software version that began the text serves any more"))
		}
		if s.fleet.Rest(now, need) > 0 {
			s.meter.AddCounter("relay.refused_resting", 1)
			return c, s.finalFailure(x, s.withRest(x, hibiscuscart.Fail(hibiscuscart.CauseNoServer, "the servers asked this VM for rest")))
		}
		if now.After(searchDeadline) {
			return c, s.finalFailure(x, hibiscuscart.Fail(hibiscuscart.CauseNoServer, "no server holds the model now").WithRetryAfter(time.Second))
		}
		if !pause.For(ctx, candidateRetryInterval) {
			cause, _ := httpx.ContextCause(ctx, false)
			return c, s.finalFailure(x, hibiscuscart.Fail(cause, "no server was found in time"))
		}
	}
}

// maxRestSpread bounds the random time that callers are asked to wait beyond the rest of a server, so that
// they do not return together.
const maxRestSpread = 5 * time.Second

// withRest makes a transient failure tell when the first server that can take the request does so again, if
// all of them are at rest.
func (s *relayStage) withRest(x *Exchange, f *hibiscuscart.Failure) *hibiscuscart.Failure {
	rest := s.fleet.Rest(s.now(), requirements(x))
	if rest == 0 || !f.Cause().Transient() {
		return f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.WithRetryAfter(rest + time.Duration(s.rng.Int64N(int64(maxRestSpread))))
}

// requirements returns what a request requires of a server.
func requirements(x *Exchange) fleet.Requirements {
	need := fleet.Requirements{
		Pool: x.profile.Pool(), Model: x.modelName, Adapter: x.request.Adapter,
		NoModel: x.profile.IsService(), SoftwareVersion: x.textVersion,
	}
	if !need.NoModel {
		need.PromptPrefix = x.request.PrefixHash()
	}
	return need
}

// attempt sends the request to one server.
func (s *relayStage) attempt(ctx context.Context, x *Exchange, c fleet.Candidate, assembly *relay.Assembly) error {
	now := s.now()
	// A VM may be paused after its claim was granted and resume after the key
	// has expired and was granted to another VM. It must then not send the
	// request.
	if x.expired(now) {
		return hibiscuscart.Fail(hibiscuscart.CauseGrantExpired, "the time was over before the request was sent")
	}
	x.attemptID = fmt.Sprintf("%s.%d", x.request.ID, x.possibleRuns+1)
	x.serverName, x.sentAt = c.Name, now
	ctx, span := spans.Start(ctx, "attempt",
		attribute.String("attempt", x.attemptID), attribute.String("server", c.Name), attribute.String("model", x.modelName))
	s.fleet.BeginRequest(now, c.Name)
	s.meter.AddCounter("relay.attempts", 1)
	err := s.send(ctx, x, c, assembly)
	s.recordResult(x, c, err)
	spans.End(span, err)
	return err
}

func (s *relayStage) send(ctx context.Context, x *Exchange, c fleet.Candidate, assembly *relay.Assembly) error {
	var err error
	if x.profile.IsService() {
		err = s.sendServiceCall(ctx, x, c)
	} else {
		err = s.runGeneration(ctx, x, c, assembly)
	}
	if err == nil || hibiscuscart.AsFailure(err).Outcome() != hibiscuscart.OutcomeNotRun {
		x.maybeSent = true
		x.possibleRuns++
	}
	return err
}

// recordResult updates the fleet view with the result of the attempt.
func (s *relayStage) recordResult(x *Exchange, c fleet.Candidate, err error) {
	now := s.now()
	if err == nil {
		if x.modelName != "" {
			s.offeredLoads.recordServiceTime(x.modelName, now.Sub(x.sentAt))
		}
		s.fleet.EndRequest(now, c.Name, true)
		return
	}
	f := hibiscuscart.AsFailure(err)
	s.meter.AddCounter("relay.failed."+f.Cause().String(), 1)
	switch {
	case f.Cause() == hibiscuscart.CauseCanceledAfterSend, f.Cause() == hibiscuscart.CauseCanceledBeforeSend,
		f.Cause() == hibiscuscart.CauseRefused && f.Detail() == httpx.ReasonResting:
		s.fleet.CancelRequest(now, c.Name)
	case f.Cause() == hibiscuscart.CauseRefused:
		s.recordRefusal(x, c, f.Detail())
		s.fleet.EndRequest(now, c.Name, true)
	default:
		s.fleet.EndRequest(now, c.Name, false)
	}
}

func (s *relayStage) recordRefusal(x *Exchange, c fleet.Candidate, reason string) {
	switch reason {
	case engine.RefusedDraining:
		s.fleet.MarkLeaving(s.now(), c.Name)
	case engine.RefusedOverloaded:
		s.fleet.MarkFull(s.now(), c.Name)
	default:
		s.fleet.MarkNotLoaded(s.now(), c.Name, x.modelName, x.request.Adapter)
	}
}

func (s *relayStage) sendServiceCall(ctx context.Context, x *Exchange, c fleet.Candidate) error {
	response, err := s.plain.Do(ctx, c.Address, x.attemptID, plain.Call{
		Method: x.request.Method, Path: x.request.Path, ContentType: x.request.ContentType, Body: x.request.Body,
	})
	if err != nil {
		return err
	}
	x.response = hibiscuscart.Response{
		Status: response.Status, ContentType: response.ContentType, Body: response.Body, EndsByClose: response.Framing == httpx.FramedByClose,
	}
	return s.deliverResponse(x)
}

func (s *relayStage) deliverResponse(x *Exchange) error {
	if err := x.sink.WriteResponse(x.response); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller did not take the answer").WithError(err)
	}
	return nil
}
