package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/relay"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// once is an exchange of a request that may run once and has a claim.
func once(deadline time.Time) *Exchange {
	return &Exchange{
		request: &hibiscuscart.Request{ID: "r", IdempotencyKey: "k"}, deadline: deadline,
		profile: hibiscuscart.NewProfile(1, wire.Profile{Backend: wire.ProfileBackendService, RunsAllowed: 1, WholeAnswerMs: 1000}),
	}
}

// A VM is paused after its claim was granted and wakes when the request's time
// is over. By then the key may have been forgotten and granted to another VM,
// which runs the request. What the paused VM then sends would run it twice, so
// right before sending it looks at the time again.
func TestExpiredGrantIsNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &relayStage{fleet: &fleet.View{}, now: func() time.Time { return now }, meter: meter.New()}
	x := once(now.Add(-time.Millisecond))
	err := s.attempt(context.Background(), x, fleet.Candidate{Name: "a", Address: "127.0.0.1:1"}, &relay.Assembly{})
	require.Equal(t, hibiscuscart.CauseGrantExpired, hibiscuscart.AsFailure(err).Cause())
	require.False(t, x.sent)
	require.Zero(t, s.meter.CounterValue("relay.attempts"))
}

// The first attempt was sent and its answer was lost; the second did not reach
// its server. The second proves nothing about the first: a caller that was told
// "not run" would send the request again under a new key, and it would run twice.
func TestALaterAttemptProvesNothing(t *testing.T) {
	tests := map[string]struct {
		sent bool
		want hibiscuscart.Outcome
	}{
		"an earlier one may have run": {true, hibiscuscart.OutcomeUnknown},
		"nothing was sent":            {false, hibiscuscart.OutcomeNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := once(time.Unix(1000, 0))
			x.sent = tc.sent
			s := &relayStage{}
			err := s.final(x, hibiscuscart.Fail(hibiscuscart.CauseDialFailed, "not connected").WithError(errors.New("refused")))
			require.Equal(t, tc.want, hibiscuscart.AsFailure(err).Outcome())
		})
	}
}

// Every server refuses. Without a budget each request comes back eight times,
// and the load that made the servers refuse is multiplied by itself.
func TestRetriesDrawOnTheBudget(t *testing.T) {
	for _, cause := range []hibiscuscart.Cause{hibiscuscart.CauseRefused, hibiscuscart.CauseDialFailed, hibiscuscart.CauseLostBeforeAnswer} {
		s := &relayStage{budget: &retry.Budget{Reserve: 3}}
		x := &Exchange{profile: hibiscuscart.NewProfile(1, wire.Profile{RunsAllowed: 5})}
		allowed := 0
		for range 50 {
			if s.mayRetry(x, hibiscuscart.Fail(cause, "x"), 1) {
				allowed++
			}
		}
		require.Equal(t, 3, allowed, cause)
		require.False(t, s.mayRetry(x, hibiscuscart.Fail(cause, "x"), triesAllowed))
	}
}
