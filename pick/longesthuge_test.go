package pick_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// A caller states a maximum of tokens that no response has. Guards against a time that overflows, by which a VM that stops
// takes the request as one that has ended already.
func TestLongestDurationOfHugeMaximum(t *testing.T) {
	const predicted, tokenTime, events = 40 * time.Millisecond, 8 * time.Millisecond, 20
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}, PredictedTime: predicted}
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		maxOutput, measured int
		pace                float64
	}{
		"nothing measured, largest number":      {maxOutput: math.MaxInt},
		"nothing measured, large number":        {maxOutput: math.MaxInt / 10_000_000},
		"nothing measured, wraps to a positive": {maxOutput: 5_000_000_000_000},
		"few measured, largest number":          {maxOutput: math.MaxInt, measured: 3},
		"measured, largest number":              {maxOutput: math.MaxInt, measured: 64},
		"measured, large number":                {maxOutput: math.MaxInt / 10_000_000, measured: 64},
		"measured, slow server":                 {maxOutput: math.MaxInt / 10_000_000, measured: 64, pace: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			b := &pick.Balancer{}
			work := pick.Work{Route: "r", Model: "m", Slots: 8, TokensPerEvent: 2, PromptTokens: 100, MaxOutputTokens: 200}
			for range tc.measured {
				took := (events - 1) * 2 * tokenTime
				a := b.Begin(now, choice, work, 0)
				a.FirstEvent(now.Add(predicted))
				a.StreamCompleted(events, took)
				a.LongestPause(2 * tokenTime)
				a.End(now.Add(predicted+took), pick.Succeeded)
			}
			c, w := choice, work
			c.Pace, w.MaxOutputTokens = tc.pace, tc.maxOutput
			got, bounded := b.LongestDuration(now, c, w)
			require.True(t, bounded)
			require.Greater(t, got, 24*time.Hour)
			require.True(t, now.Add(got+24*time.Hour).After(now.Add(24*time.Hour)), "no room for more time: %v", got)
		})
	}
}
