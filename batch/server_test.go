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
	return batch.Spec{Slots: 4, Queue: 8, Step: 5 * time.Millisecond, TokensPerMilli: 40, Piece: 2000, Stride: 6}
}

// runToCompletion advances a server until it is idle.
func runToCompletion(s *batch.Server) {
	for _, ok := s.Next(); ok; _, ok = s.Next() {
		s.Advance()
	}
}

func TestSingleRequest(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	r := &batch.Request{Prompt: 400, Output: 60}
	require.True(t, s.Submit(start, r))
	runToCompletion(s)
	require.Equal(t, start.Add(15*time.Millisecond), r.First(), "10 ms of prefill and a step")
	require.Equal(t, 30*time.Millisecond, r.LongestPause())
	require.Zero(t, r.Preempted())
}

// Prompts are prefilled in chunks between the tokens of the running requests. Each event of these
// requests waits for the chunks of all of its steps.
func TestPrefillDelaysRunningRequests(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	r := &batch.Request{Prompt: 400, Output: 60}
	require.True(t, s.Submit(start, r))
	s.Advance()
	at, _ := s.Next()
	require.True(t, s.Submit(at, &batch.Request{Prompt: 8000, Output: 6}))
	runToCompletion(s)
	require.Equal(t, 225*time.Millisecond, r.LongestPause(), "five steps and 200 ms of prefill")
}

func TestPreemptionByPriority(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	var running []*batch.Request
	for range 4 {
		r := &batch.Request{Prompt: 40, Output: 600, Rank: 3}
		running = append(running, r)
		require.True(t, s.Submit(start, r))
		s.Advance()
	}
	s.Advance()
	require.Equal(t, 4, s.Running())
	now, _ := s.Next()
	urgent := &batch.Request{Prompt: 40, Output: 6, Rank: 1}
	require.True(t, s.Submit(now, urgent))
	s.Advance()
	require.Equal(t, 1, s.Preemptions())
	require.Equal(t, 1, running[3].Preempted(), "the latest arrival is preempted")
	samePriority := &batch.Request{Prompt: 40, Output: 6, Rank: 3}
	require.True(t, s.Submit(now, samePriority))
	runToCompletion(s)
	require.Equal(t, 1, s.Preemptions(), "no preemption by a request of the same priority")
	require.False(t, urgent.First().IsZero())
}

func TestKVCacheExhausted(t *testing.T) {
	sp := spec()
	sp.Memory = 1000
	s := &batch.Server{Spec: sp}
	first, second := &batch.Request{Prompt: 400, Output: 200}, &batch.Request{Prompt: 400, Output: 200}
	require.True(t, s.Submit(start, first))
	require.True(t, s.Submit(start, second))
	require.False(t, s.Submit(start, &batch.Request{Prompt: 900, Output: 200}), "larger than the KV cache")
	runToCompletion(s)
	require.Zero(t, first.Preempted())
	require.NotZero(t, second.Preempted())
	require.Equal(t, 1, s.Refusals())
}

func TestFullServerRefuses(t *testing.T) {
	s := &batch.Server{Spec: spec()}
	accepted := 0
	for range 20 {
		if s.Submit(start, &batch.Request{Prompt: 40, Output: 600}) {
			accepted++
		}
	}
	require.Equal(t, 8, accepted)
	canceled := &batch.Request{Prompt: 40, Output: 6}
	s.Advance()
	require.True(t, s.Submit(start, canceled))
	s.Cancel(canceled)
	runToCompletion(s)
	require.True(t, canceled.First().IsZero())
}
