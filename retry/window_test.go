package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

// Requests come steadily and none fails for a while; then all fail. A budget
// that had saved up would let twice the bound through in one span, and the
// servers that fail would get them all.
func TestWindowSavesNothingUp(t *testing.T) {
	start := time.Unix(1000, 0)
	var w retry.Window
	w.Limit(0.2, 10, 10*time.Second)
	var allowed []time.Time
	for ms := 0; ms < 60_000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w.Request(now)
		if ms >= 30_000 && w.Allow(now) {
			allowed = append(allowed, now)
		}
	}
	for i, from := range allowed {
		n := 0
		for _, at := range allowed[i:] {
			if at.Sub(from) < 10*time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, 50, "in the span from %v", from.Sub(start))
	}
	require.Greater(t, len(allowed), 100)
}

func TestWindowZeroValueAllowsNothing(t *testing.T) {
	var w retry.Window
	w.Request(time.Unix(1, 0))
	require.False(t, w.Allow(time.Unix(1, 0)))
}

func TestWindowForgets(t *testing.T) {
	var w retry.Window
	w.Limit(0, 1, 10*time.Second)
	now := time.Unix(1000, 0)
	require.True(t, w.Allow(now))
	require.False(t, w.Allow(now.Add(9*time.Second)))
	require.True(t, w.Allow(now.Add(11*time.Second)))
}
