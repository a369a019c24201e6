package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// maxStoredResponseBytes bounds the responses that are stored with their
	// claims.
	maxStoredResponseBytes = 8 << 10
	// outcomeTimeout bounds the recording of the outcome of a granted request.
	outcomeTimeout = 10 * time.Second
	// outcomeInterval is the interval between looks at what is not recorded.
	outcomeInterval = 5 * time.Millisecond
)

// Claims holds the functions that make claims of idempotency keys and record
// their outcomes; see dedup.
type Claims struct {
	Claim   func(ctx context.Context, now time.Time, r dedup.Request) (dedup.Decision, error)
	Finish  func(ctx context.Context, now time.Time, r dedup.Request, d dedup.Decision, state wire.ClaimState, answer string) error
	Release func(ctx context.Context, r dedup.Request, d dedup.Decision) error
}

// claimStage requires a claim for each request that may run only once.
type claimStage struct {
	claims Claims
	now    func() time.Time
	log    zerolog.Logger
	meter  *meter.Registry
	// exit ends as the process exits, and with it the granted requests. recording ends after it, and with it the recording of
	// their outcomes.
	exit, recording context.Context
	// pendingOutcomes counts the granted claims whose outcomes are not recorded.
	pendingOutcomes atomic.Int64
}

func (s *claimStage) run(ctx context.Context, x *Exchange, next Next) error {
	if !x.profile.AtMostOnce() || x.request.IdempotencyKey == "" {
		return next(ctx, x)
	}
	r := dedup.Request{
		Key:      dedup.Key{Profile: x.request.Profile, Caller: x.request.Caller, Key: x.request.IdempotencyKey},
		BodyHash: x.request.BodyHash(), GrantID: x.request.ID,
		InProgressTimeout: x.profile.ResponseTimeout() + time.Second, Retention: x.profile.KeyRetention(),
	}
	d, err := s.claim(ctx, r)
	if d.Verdict != dedup.Granted {
		return s.refuse(x, d, err)
	}
	s.pendingOutcomes.Add(1)
	ctx, cancel := s.detach(ctx, x)
	defer cancel()
	r.GrantID = d.GrantID
	err = next(ctx, x)
	go s.recordOutcome(x, r, d, err)
	return err
}

// detach lets a granted request run to completion after its caller disconnects.
// The request cannot run again, so its response is stored and the caller can
// fetch it with the same key. It ends as the process exits.
func (s *claimStage) detach(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	x.sink = x.sink.discardErrors()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	stop := context.AfterFunc(s.exit, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (s *claimStage) claim(ctx context.Context, r dedup.Request) (dedup.Decision, error) {
	ctx, span := spans.Start(ctx, "claim")
	startedAt := s.now()
	d, err := s.claims.Claim(ctx, startedAt, r)
	spans.End(span, err)
	s.meter.RecordDuration("claim.time", s.now().Sub(startedAt))
	s.meter.AddCounter("claim."+d.Verdict.String(), 1)
	return d, err
}

// refuse ends a request whose claim was not granted, with the stored response of
// an earlier request or with a failure.
func (s *claimStage) refuse(x *Exchange, d dedup.Decision, err error) error {
	switch d.Verdict {
	case dedup.InProgress:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimInProgress, "a request with this key is in progress").
			WithField(HeaderIdempotencyKey).WithRetryAfter(d.RetryAfter)
	case dedup.AlreadyRan:
		return s.replay(x, d)
	case dedup.Unknown:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimUnknown,
			"a request with this key was sent and its end is not known; it is not run again").WithField(HeaderIdempotencyKey)
	case dedup.Mismatch:
		return hibiscuscart.Fail(hibiscuscart.CauseClaimMismatch, "the key was used with another body").WithField(HeaderIdempotencyKey)
	}
	f := hibiscuscart.Fail(hibiscuscart.CauseClaimUnavailable, "no claim can be granted now; the request was not run").WithRetryAfter(d.RetryAfter)
	if err != nil {
		return f.WithError(err)
	}
	return f
}

// replay returns the stored response of a request that has run, or a failure
// when the response was not stored.
func (s *claimStage) replay(x *Exchange, d dedup.Decision) error {
	var response hibiscuscart.Response
	if d.Response == "" || json.Unmarshal([]byte(d.Response), &response) != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseAlreadyRan, "the request with this key already ran; its answer is not kept").WithField(HeaderIdempotencyKey)
	}
	x.replayed = true
	x.response = response
	if x.sink.WriteText != nil {
		if err := x.sink.WriteText(response.Text); err != nil {
			return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller went away").WithError(err)
		}
	}
	if err := x.sink.WriteResponse(response); err != nil {
		return hibiscuscart.Fail(hibiscuscart.CauseCanceledAfterSend, "the caller went away").WithError(err)
	}
	return nil
}

// recordOutcome records the outcome of a granted request. When that fails, the
// claim stays granted and later reads as unknown, so the request is never run
// again.
func (s *claimStage) recordOutcome(x *Exchange, r dedup.Request, d dedup.Decision, runErr error) {
	defer s.pendingOutcomes.Add(-1)
	ctx, cancel := context.WithTimeout(s.recording, outcomeTimeout)
	defer cancel()
	var err error
	switch {
	case runErr == nil:
		err = s.claims.Finish(ctx, s.now(), r, d, wire.ClaimStateDone, storedResponse(x))
	case !x.maybeSent:
		err = s.claims.Release(ctx, r, d)
	default:
		err = s.claims.Finish(ctx, s.now(), r, d, wire.ClaimStateUnknown, "")
	}
	if err != nil {
		s.meter.AddCounter("claim.not_settled", 1)
		s.log.Warn().Err(err).Str("request", x.request.ID).Msg("failed to record claim outcome")
	}
}

func storedResponse(x *Exchange) string {
	data, err := json.Marshal(x.response)
	if err != nil || len(data) > maxStoredResponseBytes {
		return ""
	}
	return string(data)
}

// waitForOutcomes returns when all claim outcomes are recorded, or when ctx ends.
func (s *claimStage) waitForOutcomes(ctx context.Context) {
	for s.pendingOutcomes.Load() > 0 && pause.For(ctx, outcomeInterval) {
	}
}
