package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/batch"
)

// Guards against a pace that applies to prefill or decode only: a slow server would be slow for one
// kind of request.
func TestPaceAppliesToPrefillAndDecode(t *testing.T) {
	for name, tc := range map[string]struct {
		pace       float64
		first, gap time.Duration
	}{
		"usual":             {1, 15 * time.Millisecond, 30 * time.Millisecond},
		"twice as long":     {2, 30 * time.Millisecond, 60 * time.Millisecond},
		"half the time":     {0.5, 7500 * time.Microsecond, 15 * time.Millisecond},
		"2.5 times as long": {2.5, 37500 * time.Microsecond, 75 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := &batch.Server{Spec: spec().AtPace(tc.pace)}
			r := &batch.Request{PromptTokens: 400, OutputTokens: 60}
			require.True(t, s.Submit(start, r))
			runToCompletion(s)
			require.Equal(t, start.Add(tc.first), r.FirstEventAt())
			require.Equal(t, tc.gap, r.MaxEventGap())
		})
	}
}
