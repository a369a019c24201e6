package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

// Requests arrive at a steady rate without failures, then all of them fail. Guards against
// accumulated retries, which would let twice the limit through in one window, all of them to the
// failing servers.
func TestWindowAccumulation(t *testing.T) {
	start := time.Unix(1000, 0)
	var w retry.SlidingWindow
	w.SetLimit(start, 0.2, 10, 10*time.Second)
	var allowed []time.Time
	for ms := 0; ms < 60_000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w.RecordRequest(now)
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
		require.LessOrEqual(t, n, 50, "in the window from %v", from.Sub(start))
	}
	require.Greater(t, len(allowed), 100)
}

func TestWindowZeroValue(t *testing.T) {
	var w retry.SlidingWindow
	w.RecordRequest(time.Unix(1, 0))
	require.False(t, w.Allow(time.Unix(1, 0)))
}

func TestWindowExpires(t *testing.T) {
	var w retry.SlidingWindow
	now := time.Unix(1000, 0)
	w.SetLimit(now, 0, 1, 10*time.Second)
	require.True(t, w.Allow(now))
	require.False(t, w.Allow(now.Add(9*time.Second)))
	require.True(t, w.Allow(now.Add(11*time.Second)))
}
