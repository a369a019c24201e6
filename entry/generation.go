package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/relay"
)

const (
	// maxResumesPerRun is how often one run is resumed on its engine.
	maxResumesPerRun = 4
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
	// A stream counts as stalled once it is silent for longer than these
	// multiples of its latency targets.
	firstTokenTimeoutFactor = 4
	tokenGapTimeoutFactor   = 20
	minStallTimeout         = time.Second
)

// errStalled is the cancellation cause of a stalled stream.
var errStalled = errors.New("the stream stalled")

// runGeneration starts a generation once and resumes it on its engine when the
// stream breaks.
func (s *relayStage) runGeneration(ctx context.Context, x *Exchange, c fleet.Candidate, assembly *relay.Assembly) error {
	assembly.Restart(x.attemptID)
	x.serverVersion = c.SoftwareVersion
	err := s.runWithStallTimeout(ctx, x, assembly, func(ctx context.Context, frame frameHandler) error {
		return s.engines.Generate(ctx, c.Address, x.attemptID, s.newGeneration(x), frame)
	})
	for n := 1; n <= s.maxResumes && resumable(err); n++ {
		s.meter.AddCounter("relay.resumes", 1)
		if !pause.For(ctx, s.backoffDelay(n)) {
			break
		}
		resumeErr := s.runWithStallTimeout(ctx, x, assembly, func(ctx context.Context, frame frameHandler) error {
			return s.engines.Resume(ctx, c.Address, x.attemptID, assembly.LastSequence(), frame)
		})
		err = resumeResult(err, resumeErr)
	}
	if err == nil {
		x.response = hibiscuscart.Response{Text: assembly.Text(), FinishReason: assembly.FinishReason(), Tokens: assembly.DeliveredFrames()}
		return s.deliverResponse(x)
	}
	if hibiscuscart.AsFailure(err).Outcome() == hibiscuscart.OutcomeUnknown {
		go s.cancelRun(c, x.attemptID)
	}
	return err
}

func (s *relayStage) newGeneration(x *Exchange) engine.GenerateRequest {
	return engine.GenerateRequest{
		Model: x.modelName, Adapter: x.request.Adapter, Prompt: x.request.Prompt, Messages: x.request.Messages,
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

// resumeResult returns the result of a run after an attempt to resume it. A
// resume that was refused, or that did not reach the engine, gives no
// information about the run; the run then keeps the failure of the broken
// stream.
func resumeResult(streamErr, resumeErr error) error {
	if resumeErr == nil {
		return nil
	}
	f := hibiscuscart.AsFailure(resumeErr)
	if f.Outcome() == hibiscuscart.OutcomeNotRun || f.Cause() == hibiscuscart.CauseBackendError {
		return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the run could not be resumed").WithError(errors.Join(streamErr, resumeErr))
	}
	return resumeErr
}

// handleFrame processes one frame of a stream.
func (s *relayStage) handleFrame(x *Exchange, assembly *relay.Assembly, f hibiscuscart.Frame) error {
	verdict, text, err := assembly.Accept(f)
	if err != nil {
		return fmt.Errorf("assemble stream: %w", err)
	}
	switch verdict {
	case relay.DropForeign:
		s.meter.AddCounter("relay.frames_foreign", 1)
	case relay.DropRepeated:
		s.meter.AddCounter("relay.frames_repeated", 1)
	case relay.Deliver:
		s.meter.AddCounter("relay.frames", 1)
		return s.deliverText(x, text)
	}
	return nil
}

func (s *relayStage) deliverText(x *Exchange, text string) error {
	now := s.now()
	if x.firstTokenAt.IsZero() {
		x.firstTokenAt = now
		x.textVersion = x.serverVersion
	} else {
		x.maxTokenGap = max(x.maxTokenGap, now.Sub(x.lastTokenAt))
	}
	x.lastTokenAt = now
	x.tokenCount++
	if x.sink.WriteText == nil {
		return nil
	}
	if err := x.sink.WriteText(text); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller did not take the stream").WithError(err)
	}
	return nil
}

// frameHandler processes one frame.
type frameHandler = func(hibiscuscart.Frame) error

// runWithStallTimeout runs a stream and cancels it when it stalls.
func (s *relayStage) runWithStallTimeout(ctx context.Context, x *Exchange, assembly *relay.Assembly, stream func(context.Context, frameHandler) error) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(stallTimeout(x.profile.FirstTokenTarget(), firstTokenTimeoutFactor), func() { cancel(errStalled) })
	defer stallTimer.Stop()
	gapTimeout := stallTimeout(x.profile.BetweenTokensTarget(), tokenGapTimeoutFactor)
	err := stream(streamCtx, func(f hibiscuscart.Frame) error {
		stallTimer.Reset(gapTimeout)
		return s.handleFrame(x, assembly, f)
	})
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(streamCtx), errStalled) {
		return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the stream went silent").WithError(err)
	}
	return err
}

func stallTimeout(target time.Duration, multiple int) time.Duration {
	return max(target*time.Duration(multiple), minStallTimeout)
}

// cancelRun cancels a run whose response is no longer needed.
func (s *relayStage) cancelRun(c fleet.Candidate, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engines.Cancel(ctx, c.Address, attempt); err != nil {
		s.meter.AddCounter("relay.cancel_failed", 1)
	}
}
