package entry

import (
	"context"
	"errors"
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
	// resumesAllowed is how often one run is resumed on its engine.
	resumesAllowed = 4
	// triesAllowed bounds the servers that are tried for one request.
	triesAllowed = 8
	// searchInterval is the time between two looks for a server.
	searchInterval = 25 * time.Millisecond
	// cancelTimeout bounds the cancelling of a run.
	cancelTimeout = 2 * time.Second
	// defaultRetryHint tells callers when to come back after a failure that
	// may pass.
	defaultRetryHint = time.Second
	// A stream that is silent for longer than these multiples of its targets
	// is taken for dead.
	firstTokenPatience    = 4
	betweenTokensPatience = 20
	leastPatience         = time.Second
)

// errStalled is the cancellation cause of a stream that went silent.
var errStalled = errors.New("the stream went silent")

// relayStage sends a request to a backend server, tries again where that can
// not make it run too often, and hands the answer to the caller.
type relayStage struct {
	fleet *fleet.View
	// choosePolicy chooses among candidates; it is called under mu.
	choosePolicy func(candidates []fleet.Candidate, prefix uint64, tried []string) (fleet.Candidate, bool)
	// resumes is how often one run is resumed.
	resumes int
	budget  *retry.Budget
	backoff retry.Backoff
	engines *engine.Client
	plain   *plain.Client
	now     func() time.Time
	meter   *meter.Set
	usage   *modelUsage

	mu  sync.Mutex
	rng *rand.Rand
}

func (s *relayStage) run(ctx context.Context, x *Exchange, _ Next) error {
	s.budget.RecordRequest()
	var asm relay.Assembly
	var tried []string
	for try := 1; ; try++ {
		c, err := s.choose(ctx, x, tried)
		if err != nil {
			return err
		}
		tried = append(tried, c.Name)
		err = s.attempt(ctx, x, c, &asm)
		if err == nil {
			return nil
		}
		f := hibiscuscart.AsFailure(err)
		if !s.mayRetry(x, f, try) {
			return s.final(x, f)
		}
		s.meter.Count("relay.retries", 1)
		if !pause.For(ctx, s.wait(try)) {
			return s.final(x, f)
		}
	}
}

// final returns the failure to tell the caller. Once any attempt may have run,
// a later one that did not run proves nothing about the request.
func (s *relayStage) final(x *Exchange, f *hibiscuscart.Failure) error {
	if x.sent && f.Outcome() == hibiscuscart.OutcomeNotRun {
		return hibiscuscart.Fail(hibiscuscart.CauseLostBeforeAnswer, "an earlier attempt may have run").WithError(f)
	}
	if f.Cause().Transient() && f.RetryAfter() == 0 {
		return f.WithRetryAfter(defaultRetryHint)
	}
	return f
}

// mayRetry reports whether another server may be tried after a failure.
func (s *relayStage) mayRetry(x *Exchange, f *hibiscuscart.Failure, try int) bool {
	if try >= triesAllowed {
		return false
	}
	switch f.Cause() {
	case hibiscuscart.CauseDialFailed, hibiscuscart.CauseNothingWritten, hibiscuscart.CauseRefused:
		return s.budget.Allow()
	case hibiscuscart.CauseLostBeforeAnswer, hibiscuscart.CauseLostInStream, hibiscuscart.CauseBackendError:
		return x.runs < x.profile.RunsAllowed() && s.budget.Allow()
	}
	return false
}

func (s *relayStage) wait(try int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.Wait(s.rng, try)
}

// choose returns a server that holds what the request needs. While there is
// none, as when a model is just being loaded, it looks again until half of the
// request's time is over.
func (s *relayStage) choose(ctx context.Context, x *Exchange, tried []string) (fleet.Candidate, error) {
	_, span := spans.Start(ctx, "route")
	c, err := s.search(ctx, x, tried)
	span.SetAttributes(attribute.String("server", c.Name))
	spans.End(span, err)
	return c, err
}

func (s *relayStage) search(ctx context.Context, x *Exchange, tried []string) (fleet.Candidate, error) {
	need := fleet.Requirements{
		Pool: x.profile.Pool(), Model: x.model, Adapter: x.request.Adapter,
		NoModel: x.profile.IsService(), PromptPrefix: x.request.PrefixHash(),
	}
	if need.NoModel {
		need.PromptPrefix = 0
	}
	giveUp := x.request.Arrived.Add(x.profile.WholeAnswer() / 2)
	for {
		now := s.now()
		candidates := s.fleet.Candidates(now, need)
		s.mu.Lock()
		c, ok := s.choosePolicy(candidates, need.PromptPrefix, tried)
		s.mu.Unlock()
		if ok {
			return c, nil
		}
		if now.After(giveUp) {
			return c, s.final(x, hibiscuscart.Fail(hibiscuscart.CauseNoServer, "no server holds the model now").WithRetryAfter(time.Second))
		}
		if !pause.For(ctx, searchInterval) {
			cause, _ := httpx.ContextCause(ctx, false)
			return c, s.final(x, hibiscuscart.Fail(cause, "no server was found in time"))
		}
	}
}

// attempt sends the request to one server.
func (s *relayStage) attempt(ctx context.Context, x *Exchange, c fleet.Candidate, asm *relay.Assembly) error {
	now := s.now()
	// A VM that was paused after the claim was granted may wake when the key
	// has been forgotten and granted to another; it must not send any more.
	if x.expired(now) {
		return hibiscuscart.Fail(hibiscuscart.CauseGrantExpired, "the time was over before the request was sent")
	}
	x.attempt = fmt.Sprintf("%s.%d", x.request.ID, x.runs+1)
	x.server, x.sentAt = c.Name, now
	ctx, span := spans.Start(ctx, "attempt",
		attribute.String("attempt", x.attempt), attribute.String("server", c.Name), attribute.String("model", x.model))
	s.fleet.BeginRequest(now, c.Name)
	s.meter.Count("relay.attempts", 1)
	err := s.send(ctx, x, c, asm)
	s.learn(x, c, err)
	spans.End(span, err)
	return err
}

func (s *relayStage) send(ctx context.Context, x *Exchange, c fleet.Candidate, asm *relay.Assembly) error {
	var err error
	if x.profile.IsService() {
		err = s.sendPlain(ctx, x, c)
	} else {
		err = s.sendStream(ctx, x, c, asm)
	}
	if err == nil || hibiscuscart.AsFailure(err).Outcome() != hibiscuscart.OutcomeNotRun {
		x.sent = true
		x.runs++
	}
	return err
}

// learn tells the view how the attempt ended.
func (s *relayStage) learn(x *Exchange, c fleet.Candidate, err error) {
	healthy := true
	if err != nil {
		switch f := hibiscuscart.AsFailure(err); f.Cause() {
		case hibiscuscart.CauseRefused:
			s.learnRefusal(x, c, f.Detail())
		case hibiscuscart.CauseCanceledAfterSend, hibiscuscart.CauseCanceledBeforeSend:
		default:
			healthy = false
		}
		s.meter.Count("relay.failed."+hibiscuscart.AsFailure(err).Cause().String(), 1)
	}
	now := s.now()
	if err == nil && x.model != "" {
		s.usage.served(x.model, now.Sub(x.sentAt))
	}
	s.fleet.EndRequest(now, c.Name, healthy)
}

func (s *relayStage) learnRefusal(x *Exchange, c fleet.Candidate, reason string) {
	switch reason {
	case engine.RefusedDraining:
		s.fleet.SetLeaving(c.Name)
	case engine.RefusedOverloaded:
		s.fleet.MarkFull(s.now(), c.Name)
	default:
		s.fleet.MarkNotLoaded(s.now(), c.Name, x.model, x.request.Adapter)
	}
}

func (s *relayStage) sendPlain(ctx context.Context, x *Exchange, c fleet.Candidate) error {
	answer, err := s.plain.Do(ctx, c.Address, x.attempt, plain.Call{
		Method: x.request.Method, Path: x.request.Path, ContentType: x.request.ContentType, Body: x.request.Body,
	})
	if err != nil {
		return err
	}
	x.answer = hibiscuscart.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	return s.deliver(x)
}

func (s *relayStage) deliver(x *Exchange) error {
	if err := x.sink.Whole(x.answer); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller did not take the answer").WithError(err)
	}
	return nil
}

// sendStream runs a generation: started once, resumed on its engine when the
// stream breaks.
func (s *relayStage) sendStream(ctx context.Context, x *Exchange, c fleet.Candidate, asm *relay.Assembly) error {
	asm.Restart(x.attempt)
	err := s.watched(ctx, x, asm, func(ctx context.Context, frame frameFunc) error {
		return s.engines.Generate(ctx, c.Address, x.attempt, s.generation(x), frame)
	})
	for n := 1; n <= s.resumes && resumable(err); n++ {
		s.meter.Count("relay.resumes", 1)
		if !pause.For(ctx, s.wait(n)) {
			break
		}
		again := s.watched(ctx, x, asm, func(ctx context.Context, frame frameFunc) error {
			return s.engines.Resume(ctx, c.Address, x.attempt, asm.LastSequence(), frame)
		})
		err = resumeResult(err, again)
	}
	if err == nil {
		x.answer = hibiscuscart.Answer{Text: asm.Text(), Finish: asm.FinishReason(), Tokens: asm.DeliveredFrames()}
		return s.deliver(x)
	}
	if hibiscuscart.AsFailure(err).Outcome() == hibiscuscart.OutcomeUnknown {
		go s.cancel(c, x.attempt)
	}
	return err
}

func (s *relayStage) generation(x *Exchange) engine.GenerateRequest {
	return engine.GenerateRequest{
		Model: x.model, Adapter: x.request.Adapter, Prompt: x.request.Prompt, Messages: x.request.Messages,
		MaxTokens: x.maxTokens(), Priority: x.profile.Priority(),
	}
}

func resumable(err error) bool {
	if err == nil {
		return false
	}
	switch hibiscuscart.AsFailure(err).Cause() {
	case hibiscuscart.CauseLostInStream, hibiscuscart.CauseLostBeforeAnswer:
		return !errors.Is(err, relay.ErrDiverged)
	}
	return false
}

// resumeResult is the result of a run after a try to resume it. A resume that
// was refused, or that did not reach the engine, says nothing about the run:
// its failure stays that of the stream that broke.
func resumeResult(broke, again error) error {
	if again == nil {
		return nil
	}
	f := hibiscuscart.AsFailure(again)
	if f.Outcome() == hibiscuscart.OutcomeNotRun || f.Cause() == hibiscuscart.CauseBackendError {
		return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the run could not be resumed").WithError(errors.Join(broke, again))
	}
	return again
}

// frame takes in one frame of a stream.
func (s *relayStage) frame(x *Exchange, asm *relay.Assembly, f hibiscuscart.Frame) error {
	verdict, text, err := asm.Accept(f)
	if err != nil {
		return fmt.Errorf("assemble: %w", err)
	}
	switch verdict {
	case relay.DropForeign:
		s.meter.Count("relay.frames_foreign", 1)
	case relay.DropRepeated:
		s.meter.Count("relay.frames_repeated", 1)
	case relay.Deliver:
		s.meter.Count("relay.frames", 1)
		return s.deliverText(x, text)
	}
	return nil
}

func (s *relayStage) deliverText(x *Exchange, text string) error {
	now := s.now()
	if x.firstAt.IsZero() {
		x.firstAt = now
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastAt))
	}
	x.lastAt = now
	x.tokens++
	if x.sink.Text == nil {
		return nil
	}
	if err := x.sink.Text(text); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller did not take the stream").WithError(err)
	}
	return nil
}

// frameFunc takes in one frame.
type frameFunc = func(hibiscuscart.Frame) error

// watched runs a stream and breaks it when it goes silent.
func (s *relayStage) watched(ctx context.Context, x *Exchange, asm *relay.Assembly, stream func(context.Context, frameFunc) error) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(patience(x.profile.FirstToken(), firstTokenPatience), func() { cancel(errStalled) })
	defer silence.Stop()
	between := patience(x.profile.BetweenTokens(), betweenTokensPatience)
	err := stream(inner, func(f hibiscuscart.Frame) error {
		silence.Reset(between)
		return s.frame(x, asm, f)
	})
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(inner), errStalled) {
		return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the stream went silent").WithError(err)
	}
	return err
}

func patience(target time.Duration, multiple int) time.Duration {
	return max(target*time.Duration(multiple), leastPatience)
}

// cancel stops a run whose answer nobody waits for.
func (s *relayStage) cancel(c fleet.Candidate, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engines.Cancel(ctx, c.Address, attempt); err != nil {
		s.meter.Count("relay.cancel_failed", 1)
	}
}
