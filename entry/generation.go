package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/relay"
)

const (
	// maxResumesPerRun is how often one run is resumed on its engine.
	maxResumesPerRun = 4
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
)

// runGeneration starts a generation once and resumes it on its engine when the
// stream breaks or stalls.
func (s *relayStage) runGeneration(ctx context.Context, x *Exchange, c fleet.Candidate, assembly *relay.Assembly) error {
	assembly.Restart(x.attemptID)
	x.serverVersion = c.SoftwareVersion
	err := s.readRun(ctx, x, c, assembly)
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

// handleFrame processes one frame of a stream.
func (s *relayStage) handleFrame(x *Exchange, assembly *relay.Assembly, f hibiscuscart.Frame) error {
	verdict, text, err := assembly.Accept(f)
	switch {
	case errors.Is(err, relay.ErrTooLong):
		return hibiscuscart.Fail(hibiscuscart.CauseBackendError, "the engine writes without an end").WithError(err)
	case err != nil:
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

// cancelRun cancels a run whose response is no longer needed.
func (s *relayStage) cancelRun(c fleet.Candidate, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engines.Cancel(ctx, c.Address, attempt); err != nil {
		s.meter.AddCounter("relay.cancel_failed", 1)
	}
}
