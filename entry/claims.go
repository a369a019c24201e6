package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// maxKeptAnswer bounds the answers that are kept with their claims.
	maxKeptAnswer = 8 << 10
	// settleTimeout bounds the recording of how a granted request ended.
	settleTimeout = 10 * time.Second
)

// Claims is how claims of idempotency keys are made; see dedup.
type Claims struct {
	Claim   func(ctx context.Context, now time.Time, r dedup.Request) (dedup.Decision, error)
	Finish  func(ctx context.Context, now time.Time, r dedup.Request, d dedup.Decision, state wire.ClaimState, answer string) error
	Release func(ctx context.Context, r dedup.Request, d dedup.Decision) error
}

// claimStage lets a request that may run once pass only with a claim.
type claimStage struct {
	claims Claims
	now    func() time.Time
	log    zerolog.Logger
	meter  *meter.Registry
	// settling counts the claims whose end is being recorded.
	settling sync.WaitGroup
}

func (s *claimStage) run(ctx context.Context, x *Exchange, next Next) error {
	if !x.profile.AtMostOnce() || x.request.IdempotencyKey == "" {
		return next(ctx, x)
	}
	r := dedup.Request{
		Key:      dedup.Key{Profile: x.request.Profile, Caller: x.request.Caller, Key: x.request.IdempotencyKey},
		BodyHash: x.request.BodyHash(), GrantID: x.request.ID,
		InProgressTimeout: x.profile.AnswerTimeout() + time.Second, Retention: x.profile.KeyRetention(),
	}
	d, err := s.claim(ctx, r)
	if d.Verdict != dedup.Granted {
		return s.refuse(x, d, err)
	}
	ctx, cancel := detach(ctx, x)
	defer cancel()
	r.GrantID = d.GrantID
	err = next(ctx, x)
	s.settling.Add(1)
	go s.settle(x, r, d, err)
	return err
}

// detach lets a granted request run to its end when its caller goes away: it
// can not run again, so its answer is kept for the caller to ask for with the
// same key.
func detach(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	x.sink = x.sink.ignoringErrors()
	return context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
}

func (s *claimStage) claim(ctx context.Context, r dedup.Request) (dedup.Decision, error) {
	ctx, span := spans.Start(ctx, "claim")
	began := s.now()
	d, err := s.claims.Claim(ctx, began, r)
	spans.End(span, err)
	s.meter.RecordDuration("claim.time", s.now().Sub(began))
	s.meter.AddCounter("claim."+d.Verdict.String(), 1)
	return d, err
}

// refuse answers a request whose claim was not granted.
func (s *claimStage) refuse(x *Exchange, d dedup.Decision, err error) error {
	switch d.Verdict {
	case dedup.InProgress:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimInProgress, "a request with this key is in progress").
			WithField(HeaderKey).WithRetryAfter(d.RetryAfter)
	case dedup.AlreadyRan:
		return s.replay(x, d)
	case dedup.Unknown:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimUnknown,
			"a request with this key was sent and its end is not known; it is not run again").WithField(HeaderKey)
	case dedup.Mismatch:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimMismatch, "the key was used with another body").WithField(HeaderKey)
	}
	f := hibiscuscart.Fail(hibiscuscart.CauseClaimUnavailable, "no claim can be granted now; the request was not run").WithRetryAfter(d.RetryAfter)
	if err != nil {
		return f.WithError(err)
	}
	return f
}

// replay gives the kept answer of a request that has run, or says that it ran.
func (s *claimStage) replay(x *Exchange, d dedup.Decision) error {
	var a hibiscuscart.Answer
	if d.Response == "" || json.Unmarshal([]byte(d.Response), &a) != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseAlreadyRan, "the request with this key already ran; its answer is not kept").WithField(HeaderKey)
	}
	x.replayed = true
	x.answer = a
	if x.sink.Text != nil {
		if err := x.sink.Text(a.Text); err != nil {
			return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller went away").WithError(err)
		}
	}
	if err := x.sink.Whole(a); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller went away").WithError(err)
	}
	return nil
}

// settle records how a granted request ended. When that fails the claim stays
// granted, which later reads as unknown: the request is never run again.
func (s *claimStage) settle(x *Exchange, r dedup.Request, d dedup.Decision, ended error) {
	defer s.settling.Done()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	var err error
	switch {
	case ended == nil:
		err = s.claims.Finish(ctx, s.now(), r, d, wire.ClaimStateDone, keptAnswer(x))
	case !x.sent:
		err = s.claims.Release(ctx, r, d)
	default:
		err = s.claims.Finish(ctx, s.now(), r, d, wire.ClaimStateUnknown, "")
	}
	if err != nil {
		s.meter.AddCounter("claim.not_settled", 1)
		s.log.Warn().Err(err).Str("request", x.request.ID).Msg("claim not settled")
	}
}

func keptAnswer(x *Exchange) string {
	data, err := json.Marshal(x.answer)
	if err != nil || len(data) > maxKeptAnswer {
		return ""
	}
	return string(data)
}

// wait returns when no claim is being settled any more, or ctx ends.
func (s *claimStage) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
