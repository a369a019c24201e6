package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// The recent streams of a route are of a fast model, and one of a slow model follows. Guards against a VM that stops and
// takes the slow one because none of the fast ones took so long.
func TestLongestDurationOfSlowModel(t *testing.T) {
	const predicted, fast, slow = 40 * time.Millisecond, 4 * time.Millisecond, 40 * time.Millisecond
	const events = 20
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}, PredictedTime: predicted}
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		maxOutput, slowMeasured int
		slowSize                float64
	}{
		"stated":                     {maxOutput: 200, slowMeasured: 64},
		"stated, few measured":       {maxOutput: 200, slowMeasured: 3},
		"stated, none measured":      {maxOutput: 200, slowSize: 10},
		"none stated":                {slowMeasured: 64},
		"none stated, few measured":  {slowMeasured: 3},
		"none stated, none measured": {slowSize: 10},
		"stated, few tokens":         {maxOutput: 41, slowMeasured: 64},
	} {
		t.Run(name, func(t *testing.T) {
			b := &pick.Balancer{}
			work := func(model string) pick.Work {
				return pick.Work{Route: "r", Model: model, Slots: 8, TokensPerEvent: 2, PromptTokens: 100, MaxOutputTokens: tc.maxOutput}
			}
			serve := func(model string, tokenTime time.Duration) {
				took := (events - 1) * 2 * tokenTime
				a := b.Begin(now, choice, work(model), 0)
				a.FirstEvent(now.Add(predicted))
				a.StreamCompleted(events, took)
				a.LongestPause(2 * tokenTime)
				a.End(now.Add(predicted+took), pick.Succeeded)
			}
			for range tc.slowMeasured {
				serve("slow", slow)
			}
			for range 64 {
				serve("fast", fast)
			}
			w := work("slow")
			w.RelativeModelSize = tc.slowSize
			got, bounded := b.LongestDuration(now, choice, w)
			require.True(t, bounded)
			require.GreaterOrEqual(t, got, predicted+(events-1)*2*slow)
			got, bounded = b.LongestDuration(now, choice, work("fast"))
			require.True(t, bounded)
			require.Less(t, got, predicted+(events-1)*2*fast*3, "the fast model")
		})
	}
}
