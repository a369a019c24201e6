package hibiscuscart_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
)

// TestCauseTable checks the outcome, status and retryability of each cause. A
// cause may map to "not_run" only if no part of the request can have reached a
// backend server.
func TestCauseTable(t *testing.T) {
	const notRun, unknown, done = hibiscuscart.OutcomeNotRun, hibiscuscart.OutcomeUnknown, hibiscuscart.OutcomeDone
	want := map[string]struct {
		outcome   hibiscuscart.Outcome
		status    int
		retryable bool
	}{
		"internal":             {unknown, 500, false},
		"bad_input":            {notRun, 400, false},
		"too_large":            {notRun, 413, false},
		"unauthorized":         {notRun, 401, false},
		"no_profile":           {notRun, 404, false},
		"profile_retired":      {notRun, 410, false},
		"stopping":             {notRun, 503, false},
		"queue_full":           {notRun, 429, false},
		"deadline_unreachable": {notRun, 503, false},
		"wait_timeout":         {notRun, 503, false},
		"canceled_before_send": {notRun, 499, false},
		"claim_unavailable":    {notRun, 503, false},
		"claim_mismatch":       {notRun, 422, false},
		"claim_in_progress":    {unknown, 409, false},
		"already_ran":          {done, 409, false},
		"claim_unknown":        {unknown, 409, false},
		"grant_expired":        {notRun, 503, false},
		"no_server":            {notRun, 503, false},
		"dial_failed":          {notRun, 502, true},
		"nothing_written":      {notRun, 502, true},
		"refused":              {notRun, 503, true},
		"lost_before_answer":   {unknown, 502, false},
		"lost_in_stream":       {unknown, 502, false},
		"timeout_after_send":   {unknown, 504, false},
		"canceled_after_send":  {unknown, 499, false},
		"backend_error":        {unknown, 502, false},
		"done":                 {done, 200, false},
	}
	require.Len(t, hibiscuscart.Causes(), len(want))
	for _, c := range hibiscuscart.Causes() {
		row, ok := want[c.String()]
		require.True(t, ok, "no expectation for cause %s", c)
		require.Equal(t, row.outcome, c.Outcome(), "outcome of %s", c)
		require.Equal(t, row.status, c.Status(), "status of %s", c)
		require.Equal(t, row.retryable, c.Retryable(), "retryable of %s", c)
		require.False(t, c.Retryable() && c.Outcome() != notRun, "%s is retryable although the request may have run", c)
	}
	require.Equal(t, unknown, hibiscuscart.Cause(-1).Outcome())
}

func TestOutcomeNames(t *testing.T) {
	for _, o := range []hibiscuscart.Outcome{hibiscuscart.OutcomeDone, hibiscuscart.OutcomeNotRun, hibiscuscart.OutcomeUnknown} {
		got, err := hibiscuscart.ParseOutcome(o.String())
		require.NoError(t, err)
		require.Equal(t, o, got)
	}
	_, err := hibiscuscart.ParseOutcome("finished")
	require.Error(t, err)
}

func TestAsFailure(t *testing.T) {
	f := hibiscuscart.Fail(hibiscuscart.CauseQueueFull, "full").WithField("model").WithRetryAfter(time.Second)
	got := hibiscuscart.AsFailure(fmt.Errorf("admit: %w", f))
	require.Equal(t, hibiscuscart.CauseQueueFull, got.Cause())
	require.Equal(t, time.Second, got.RetryAfter())
	require.Equal(t, "model", got.Field())
	other := hibiscuscart.AsFailure(errors.New("disk failure"))
	require.Equal(t, hibiscuscart.OutcomeUnknown, other.Outcome())
}

func TestBodyHash(t *testing.T) {
	base := hibiscuscart.Request{Profile: "p", Model: "m", Prompt: "x", MaxTokens: 3}
	changes := map[string]func(*hibiscuscart.Request){
		"profile":                      func(r *hibiscuscart.Request) { r.Profile = "q" },
		"model":                        func(r *hibiscuscart.Request) { r.Model = "n" },
		"adapter":                      func(r *hibiscuscart.Request) { r.Adapter = "a" },
		"prompt":                       func(r *hibiscuscart.Request) { r.Prompt = "y" },
		"text moved to the next field": func(r *hibiscuscart.Request) { r.Model, r.Adapter = "", "m" },
		"max tokens":                   func(r *hibiscuscart.Request) { r.MaxTokens = 4 },
		"body":                         func(r *hibiscuscart.Request) { r.Body = []byte("b") },
		"message":                      func(r *hibiscuscart.Request) { r.Messages = []hibiscuscart.Message{{Role: "user"}} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			other := base
			change(&other)
			require.NotEqual(t, base.BodyHash(), other.BodyHash())
		})
	}
	same := base
	same.ID, same.Stream = "another", true
	require.Equal(t, base.BodyHash(), same.BodyHash())
}
