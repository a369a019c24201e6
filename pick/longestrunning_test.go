package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Responses have become longer, and none of the long ones is complete yet. Guards against a VM that stops and takes a request
// by how long responses took before.
func TestRunningResponsesLengthenLongestDuration(t *testing.T) {
	const predicted, tokenTime, events, age = 40 * time.Millisecond, 8 * time.Millisecond, 20, 4 * time.Second
	choice := pick.Choice{Server: backs.Entry{ID: "a", Service: "s", Slots: 8}, PredictedTime: predicted}
	for name, tc := range map[string]struct {
		model              string
		maxOutput, running int
		pace               float64
	}{
		"one, plain":               {running: 1},
		"several, plain":           {running: 8},
		"one, none stated":         {model: "m", running: 1},
		"several, none stated":     {model: "m", running: 8},
		"one, stated":              {model: "m", maxOutput: 2000, running: 1},
		"several, stated":          {model: "m", maxOutput: 2000, running: 8},
		"several, a slower server": {model: "m", running: 8, pace: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := &pick.Balancer{}
			work := pick.Work{Route: "r", Model: tc.model, Slots: 8, TokensPerEvent: 2, PromptTokens: 100, MaxOutputTokens: tc.maxOutput}
			for range 64 {
				took := (events - 1) * 2 * tokenTime
				a := b.Begin(now, choice, work, 0)
				a.FirstEvent(now.Add(predicted))
				if tc.model != "" {
					a.StreamCompleted(events, took)
					a.LongestPause(2 * tokenTime)
				}
				a.End(now.Add(predicted+took), pick.Succeeded)
			}
			now = now.Add(time.Minute)
			for range tc.running {
				b.Begin(now, choice, work, 0).FirstEvent(now.Add(predicted))
			}
			now = now.Add(age)
			c := choice
			c.Pace = tc.pace
			got, bounded := b.LongestDuration(now, c, work)
			require.True(t, bounded)
			require.GreaterOrEqual(t, got, time.Duration(max(tc.pace, 1)*float64(age)))
		})
	}
}
