package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

var start = time.Unix(1000, 0)

// spec returns a server with steps of 5 ms that prefills 40 tokens per millisecond in chunks of
// 2,000 tokens and sends events of 6 tokens.
func spec() batch.Spec {
	return batch.Spec{Slots: 4, MaxWaiting: 8, StepTime: 5 * time.Millisecond, PrefillTokensPerMs: 40, PrefillChunkTokens: 2000, TokensPerEvent: 6}
}

// runToCompletion advances a server until it is idle.
func runToCompletion(s *batch.Server) {
	for _, ok := s.StepEnd(); ok; _, ok = s.StepEnd() {
		s.FinishStep()
	}
}

func TestSingleRequest(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	r := &batch.Request{PromptTokens: 400, OutputTokens: 60}
	require.True(t, s.Submit(start, r))
	runToCompletion(s)
	require.Equal(t, start.Add(15*time.Millisecond), r.FirstEventAt(), "10 ms of prefill and a step")
	require.Equal(t, 30*time.Millisecond, r.MaxEventGap())
	require.Zero(t, r.Preemptions())
}

// Prompts are prefilled in chunks between the tokens of the running requests. Each event of these
// requests waits for the chunks of all of its steps.
func TestPrefillDelay(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	r := &batch.Request{PromptTokens: 400, OutputTokens: 60}
	require.True(t, s.Submit(start, r))
	s.FinishStep()
	at, _ := s.StepEnd()
	require.True(t, s.Submit(at, &batch.Request{PromptTokens: 8000, OutputTokens: 6}))
	runToCompletion(s)
	require.Equal(t, 225*time.Millisecond, r.MaxEventGap(), "five steps and 200 ms of prefill")
}

func TestPreemptionByPriority(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	var running []*batch.Request
	for range 4 {
		r := &batch.Request{PromptTokens: 40, OutputTokens: 600, Priority: 3}
		running = append(running, r)
		require.True(t, s.Submit(start, r))
		s.FinishStep()
	}
	s.FinishStep()
	require.Equal(t, 4, s.Running())
	now, _ := s.StepEnd()
	urgent := &batch.Request{PromptTokens: 40, OutputTokens: 6, Priority: 1}
	require.True(t, s.Submit(now, urgent))
	s.FinishStep()
	require.Equal(t, 1, s.Preemptions())
	require.Equal(t, 1, running[3].Preemptions(), "the latest arrival is preempted")
	samePriority := &batch.Request{PromptTokens: 40, OutputTokens: 6, Priority: 3}
	require.True(t, s.Submit(now, samePriority))
	runToCompletion(s)
	require.Equal(t, 1, s.Preemptions(), "no preemption by a request of the same priority")
	require.False(t, urgent.FirstEventAt().IsZero())
}

func TestKVCacheExhausted(t *testing.T) {
	serverSpec := spec()
	serverSpec.KVCacheTokens = 1000
	s := &batch.Server{Spec: serverSpec}
	first, second := &batch.Request{PromptTokens: 400, OutputTokens: 200}, &batch.Request{PromptTokens: 400, OutputTokens: 200}
	require.True(t, s.Submit(start, first))
	require.True(t, s.Submit(start, second))
	require.False(t, s.Submit(start, &batch.Request{PromptTokens: 900, OutputTokens: 200}), "larger than the KV cache")
	runToCompletion(s)
	require.Zero(t, first.Preemptions())
	require.NotZero(t, second.Preemptions())
	require.Equal(t, 1, s.Refusals())
}

func TestRefusalAtCapacity(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	accepted := 0
	for range 20 {
		if s.Submit(start, &batch.Request{PromptTokens: 40, OutputTokens: 600}) {
			accepted++
		}
	}
	require.Equal(t, 8, accepted)
	canceled := &batch.Request{PromptTokens: 40, OutputTokens: 6}
	s.FinishStep()
	require.True(t, s.Submit(start, canceled))
	s.Cancel(canceled)
	runToCompletion(s)
	require.True(t, canceled.FirstEventAt().IsZero())
}
