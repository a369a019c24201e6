package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Two models of nearly the same size run at very different speeds, and their responses
// have a third of the tokens that callers allow. By token count, the fast one got as many
// servers as the slow one. The cost of requests is measured on their responses, with more
// weight for the fastest than for those that waited for other prompts.
func TestCostLearning(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	entry := backs.Entry{ID: "a", Service: "s", Domain: "d", Slots: 48}
	work := func(model string) pick.Work {
		return pick.Work{Route: "r", Model: model, RelativeModelSize: 1, PromptTokens: 600, MaxOutputTokens: 900, Slots: 48, TokensPerEvent: 6}
	}
	require.Equal(t, balancer.Cost(work("slow")), balancer.Cost(work("quick")))
	now := at(0)
	serveRequest := func(model string, prefill, step time.Duration, events int) {
		c, ok := balancer.Choose(now, []backs.Entry{entry}, work(model), 0, nil)
		require.True(t, ok)
		attempt := balancer.Begin(now, c, work(model), 0)
		now = now.Add(prefill)
		attempt.FirstEvent(now)
		took := time.Duration(events-1) * 6 * step
		now = now.Add(took)
		attempt.StreamCompleted(events, took)
		attempt.End(now, pick.Succeeded)
	}
	for i := range 300 {
		step := 5 * time.Millisecond
		if i%2 == 0 {
			step *= 3 // Prefills interrupted the decoding.
		}
		serveRequest("slow", 23*time.Millisecond, step, 50)
		serveRequest("quick", 11*time.Millisecond, 1500*time.Microsecond, 50)
	}
	// 600 tokens at 37.5 per ms, and 300 tokens of 5 ms with 47 concurrent requests.
	require.InDelta(t, 16+31, balancer.Cost(work("slow")).Seconds()*1000, 8)
	require.InDelta(t, 4+9.4, balancer.Cost(work("quick")).Seconds()*1000, 4)
}
