package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

// accountingStage logs and counts each request and records its span.
type accountingStage struct {
	now   func() time.Time
	log   zerolog.Logger
	meter *meter.Registry
}

func (s *accountingStage) run(ctx context.Context, x *Exchange, next Next) error {
	ctx, span := spans.Start(ctx, "request",
		attribute.String("request", x.request.ID), attribute.String("profile", x.request.Profile))
	err := next(ctx, x)
	spans.End(span, err)
	s.recordMetrics(x, err)
	s.logRequest(x, err)
	return err
}

func (s *accountingStage) recordMetrics(x *Exchange, err error) {
	duration := s.now().Sub(x.request.ArrivedAt)
	s.meter.AddCounter("request.total", 1)
	if err != nil {
		f := hibiscuscart.AsFailure(err)
		s.meter.AddCounter("request.failed."+f.Cause().String(), 1)
		s.meter.AddCounter("request.outcome."+f.Outcome().String(), 1)
		return
	}
	s.meter.AddCounter("request.outcome.done", 1)
	s.meter.AddCounter("request.tokens", int64(x.tokenCount))
	s.meter.RecordDuration("request.time", duration)
	if !x.firstTokenAt.IsZero() {
		s.meter.RecordDuration("request.first_token", x.firstTokenAt.Sub(x.request.ArrivedAt))
	}
	if x.metTargets(duration) {
		s.meter.AddCounter("request.attained", 1)
	}
}

// metTargets reports whether the response met the profile's latency targets.
func (x *Exchange) metTargets(duration time.Duration) bool {
	if duration > x.profile.ResponseTimeout() {
		return false
	}
	if x.firstTokenAt.IsZero() {
		return true
	}
	if x.firstTokenAt.Sub(x.request.ArrivedAt) > x.profile.FirstTokenTarget() {
		return false
	}
	return x.maxTokenGap <= x.profile.BetweenTokensTarget()
}

func (s *accountingStage) logRequest(x *Exchange, err error) {
	event := s.log.Debug()
	if err != nil {
		f := hibiscuscart.AsFailure(err)
		event = s.log.Info()
		if f.Cause() == hibiscuscart.CauseInternal {
			event = s.log.Error()
		}
		event = event.Err(err).Str("outcome", f.Outcome().String()).Str("cause", f.Cause().String())
	}
	event.Str("request", x.request.ID).Str("attempt", x.attemptID).Str("profile", x.request.Profile).
		Str("model", x.modelName).Str("server", x.serverName).Str("caller", x.request.Caller).
		Int("runs", x.possibleRuns).Int("tokens", x.tokenCount).Bool("replayed", x.replayed).
		Dur("took", s.now().Sub(x.request.ArrivedAt)).Msg("request")
}
