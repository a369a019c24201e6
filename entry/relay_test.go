package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/relay"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// onceOnlyExchange returns the exchange of a request that may run only once and
// has a claim.
func onceOnlyExchange(deadline time.Time) *Exchange {
	return &Exchange{
		request: &hibiscuscart.Request{ID: "r", IdempotencyKey: "k"}, deadline: deadline,
		profile: hibiscuscart.NewProfile(1, wire.Profile{Backend: wire.ProfileBackendService, RunsAllowed: 1, WholeAnswerMs: 1000}),
	}
}

// A VM is paused after its claim was granted and resumes after the request's
// deadline. By then the key may have expired and been granted to another VM,
// which runs the request. A request sent by the paused VM would run twice, so
// the VM checks the deadline again right before sending.
func TestExpiredGrantIsNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &relayStage{fleet: &fleet.View{}, now: func() time.Time { return now }, meter: meter.New()}
	x := onceOnlyExchange(now.Add(-time.Millisecond))
	err := s.attempt(context.Background(), x, fleet.Candidate{Name: "a", Address: "127.0.0.1:1"}, &relay.Assembly{})
	require.Equal(t, hibiscuscart.CauseGrantExpired, hibiscuscart.AsFailure(err).Cause())
	require.False(t, x.maybeSent)
	require.Zero(t, s.meter.CounterValue("relay.attempts"))
}

// The first attempt was sent and its response was lost; the second did not
// reach its server. The second does not prove that the first did not run: a
// caller that gets "not run" would send the request again under a new key, and
// it would run twice.
func TestOutcomeAfterEarlierSend(t *testing.T) {
	tests := map[string]struct {
		sent bool
		want hibiscuscart.Outcome
	}{
		"earlier attempt may have run": {true, hibiscuscart.OutcomeUnknown},
		"nothing was sent":             {false, hibiscuscart.OutcomeNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := onceOnlyExchange(time.Unix(1000, 0))
			x.maybeSent = tc.sent
			s := &relayStage{}
			err := s.finalFailure(x, hibiscuscart.Fail(hibiscuscart.CauseDialFailed, "not connected").WithError(errors.New("refused")))
			require.Equal(t, tc.want, hibiscuscart.AsFailure(err).Outcome())
		})
	}
}

// Every server refuses. Without a budget each request is sent eight times, and
// the load that made the servers refuse is multiplied.
func TestRetryBudget(t *testing.T) {
	for _, cause := range []hibiscuscart.Cause{hibiscuscart.CauseRefused, hibiscuscart.CauseDialFailed, hibiscuscart.CauseLostBeforeAnswer} {
		s := &relayStage{budget: &retry.Budget{Reserve: 3}, now: time.Now}
		x := &Exchange{profile: hibiscuscart.NewProfile(1, wire.Profile{RunsAllowed: 5})}
		allowed := 0
		for range 50 {
			if s.mayRetry(x, hibiscuscart.Fail(cause, "x"), 1) {
				allowed++
			}
		}
		require.Equal(t, 3, allowed, cause)
		require.False(t, s.mayRetry(x, hibiscuscart.Fail(cause, "x"), maxAttempts))
	}
}

// The only server refuses a request and asks for rest, and no retry is left. The caller must not be told to come
// back before the rest ends.
func TestRefusalWithoutRetryTellsRest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(plain.HeaderNotRun, "overloaded")
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	rests := &httpx.Rests{}
	view := &fleet.View{RestRemaining: rests.Remaining}
	view.SetServers([]wire.Server{{Name: "a", Pool: "desk", Address: strings.TrimPrefix(server.URL, "http://")}})
	s := &relayStage{
		fleet: view, budget: &retry.Budget{Reserve: 0.1}, plain: &plain.Client{HTTP: &httpx.Client{Rests: rests}},
		now: time.Now, meter: meter.New(), rng: rand.New(rand.NewPCG(1, 1)),
		selectCandidate: func(all []fleet.Candidate, _ uint64, _ []string) (fleet.Candidate, bool) {
			return slices.Concat(all, []fleet.Candidate{{}})[0], len(all) > 0
		},
	}
	x := onceOnlyExchange(time.Now().Add(time.Minute))
	x.profile = hibiscuscart.NewProfile(1, wire.Profile{Pool: "desk", Backend: wire.ProfileBackendService, RunsAllowed: 1, WholeAnswerMs: 1000})
	err := s.run(t.Context(), x, nil)
	require.Equal(t, hibiscuscart.OutcomeNotRun, hibiscuscart.AsFailure(err).Outcome())
	require.Greater(t, hibiscuscart.AsFailure(err).RetryAfter(), 50*time.Minute)
}

// A request that was not sent says nothing about its server: an ejected one must not count as healthy again.
func TestUnsentRequestKeepsEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]*hibiscuscart.Failure{
		"server at rest":   hibiscuscart.Fail(hibiscuscart.CauseRefused, httpx.ReasonResting),
		"caller went away": hibiscuscart.Fail(hibiscuscart.CauseCanceledBeforeSend, "x"),
	}
	for name, unsent := range tests {
		t.Run(name, func(t *testing.T) {
			view := &fleet.View{}
			view.SetServers([]wire.Server{{Name: "a", Pool: "desk", Address: "1"}})
			s := &relayStage{fleet: view, now: func() time.Time { return now }, meter: meter.New()}
			end := func(f *hibiscuscart.Failure) {
				view.BeginRequest(now, "a")
				s.recordResult(&Exchange{}, fleet.Candidate{Name: "a"}, f)
			}
			for range 3 {
				end(hibiscuscart.Fail(hibiscuscart.CauseDialFailed, "x"))
			}
			now = now.Add(time.Minute)
			end(unsent)
			end(hibiscuscart.Fail(hibiscuscart.CauseDialFailed, "x"))
			all := view.Candidates(now, fleet.Requirements{Pool: "desk", NoModel: true})
			require.Len(t, all, 1)
			require.False(t, all[0].Healthy)
		})
	}
}

// A run breaks off in the middle of its text, and other servers could run it again. Guards against text that servers
// of two software versions wrote, and against a wait for a version of which no server is left.
func TestRestartedRunKeepsSoftwareVersion(t *testing.T) {
	tests := map[string]struct {
		versions map[string]string
		want     string
		cause    hibiscuscart.Cause
	}{
		"its version serves":          {map[string]string{"a": "v2", "b": "v1", "c": "v2"}, "b", 0},
		"its version serves no more":  {map[string]string{"a": "v2", "c": "v3"}, "", hibiscuscart.CauseNoServer},
		"versions are not told there": {map[string]string{"a": "", "c": ""}, "", hibiscuscart.CauseNoServer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			view := &fleet.View{}
			var docs []wire.Server
			for server, version := range tc.versions {
				docs = append(docs, wire.Server{Name: server, Pool: "desk", Address: "127.0.0.1:1", SoftwareVersion: version})
			}
			view.SetServers(docs)
			s := &relayStage{fleet: view, now: time.Now, meter: meter.New(), selectCandidate: func(all []fleet.Candidate, _ uint64, _ []string) (fleet.Candidate, bool) {
				return slices.Concat(all, []fleet.Candidate{{}})[0], len(all) > 0
			}}
			x := onceOnlyExchange(time.Now().Add(time.Minute))
			x.profile = hibiscuscart.NewProfile(1, wire.Profile{Pool: "desk", Backend: wire.ProfileBackendService, RunsAllowed: 2, WholeAnswerMs: 60_000})
			x.request.ArrivedAt, x.serverVersion = time.Now(), "v1"
			require.NoError(t, s.deliverText(x, "the first text"))
			x.serverVersion = "v2"
			require.NoError(t, s.deliverText(x, "more of it"))
			c, err := s.findServer(t.Context(), x, nil)
			if tc.want != "" {
				require.NoError(t, err)
				require.Equal(t, tc.want, c.Name)
				return
			}
			require.Equal(t, tc.cause, hibiscuscart.AsFailure(err).Cause())
		})
	}
}
