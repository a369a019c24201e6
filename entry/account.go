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

// accountStage logs and counts each request and holds its span.
type accountStage struct {
	now   func() time.Time
	log   zerolog.Logger
	meter *meter.Registry
}

func (s *accountStage) run(ctx context.Context, x *Exchange, next Next) error {
	ctx, span := spans.Start(ctx, "request",
		attribute.String("request", x.request.ID), attribute.String("profile", x.request.Profile))
	err := next(ctx, x)
	spans.End(span, err)
	s.count(x, err)
	s.write(x, err)
	return err
}

func (s *accountStage) count(x *Exchange, err error) {
	took := s.now().Sub(x.request.ArrivedAt)
	s.meter.AddCounter("request.total", 1)
	if err != nil {
		f := hibiscuscart.AsFailure(err)
		s.meter.AddCounter("request.failed."+f.Cause().String(), 1)
		s.meter.AddCounter("request.outcome."+f.Outcome().String(), 1)
		return
	}
	s.meter.AddCounter("request.outcome.done", 1)
	s.meter.AddCounter("request.tokens", int64(x.tokens))
	s.meter.RecordDuration("request.time", took)
	if !x.firstAt.IsZero() {
		s.meter.RecordDuration("request.first_token", x.firstAt.Sub(x.request.ArrivedAt))
	}
	if x.attained(took) {
		s.meter.AddCounter("request.attained", 1)
	}
}

// attained reports whether the answer met the profile's targets.
func (x *Exchange) attained(took time.Duration) bool {
	if took > x.profile.AnswerTimeout() {
		return false
	}
	if x.firstAt.IsZero() {
		return true
	}
	if x.firstAt.Sub(x.request.ArrivedAt) > x.profile.FirstTokenTarget() {
		return false
	}
	return x.maxGap <= x.profile.BetweenTokensTarget()
}

func (s *accountStage) write(x *Exchange, err error) {
	event := s.log.Debug()
	if err != nil {
		f := hibiscuscart.AsFailure(err)
		event = s.log.Info()
		if f.Cause() == hibiscuscart.CauseInternal {
			event = s.log.Error()
		}
		event = event.Err(err).Str("outcome", f.Outcome().String()).Str("cause", f.Cause().String())
	}
	event.Str("request", x.request.ID).Str("attempt", x.attempt).Str("profile", x.request.Profile).
		Str("model", x.model).Str("server", x.server).Str("caller", x.request.Caller).
		Int("runs", x.runs).Int("tokens", x.tokens).Bool("replayed", x.replayed).
		Dur("took", s.now().Sub(x.request.ArrivedAt)).Msg("request")
}
