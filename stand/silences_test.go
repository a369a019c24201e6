package stand_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Guards against a stand-in that is never silent by itself, or for longer than a sound server, or once that was
// ended.
func TestBackendIsSilentByItself(t *testing.T) {
	const work, events, interval = time.Millisecond, 400, 20 * time.Millisecond
	b := &stand.Backend{ID: "s", ProcessingTime: work}
	b.SetSilences(interval, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, work, b.EventTime(), "the first silence begins later")
	var longest time.Duration
	for b.Silences() == 0 {
		longest = b.EventTime()
		time.Sleep(work)
	}
	require.GreaterOrEqual(t, longest, time.Second)
	require.LessOrEqual(t, longest, 1500*time.Millisecond)
	require.Equal(t, 1, b.Silences())
	require.Greater(t, b.EventTime(), work, "all its requests are concerned")
	b.SetSilences(0, nil)
	for range events {
		require.Equal(t, work, b.EventTime())
	}
	require.Equal(t, 1, b.Silences())
}
