package clock_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// Guards against a number from outside that overflows, or that becomes another time on another processor.
func TestDurationSaturates(t *testing.T) {
	tests := map[string]struct {
		n    float64
		unit time.Duration
		want time.Duration
	}{
		"none":          {0, time.Second, 0},
		"fraction":      {1.5, time.Millisecond, 1500 * time.Microsecond},
		"negative":      {-2, time.Second, -2 * time.Second},
		"smallest":      {math.SmallestNonzeroFloat64, time.Second, 0},
		"largest":       {math.MaxFloat64, time.Nanosecond, clock.MaxDuration},
		"lowest":        {-math.MaxFloat64, time.Hour, -clock.MaxDuration},
		"above integer": {1 << 63, time.Nanosecond, clock.MaxDuration},
		"infinite":      {math.Inf(1), time.Second, clock.MaxDuration},
		"below":         {math.Inf(-1), time.Second, -clock.MaxDuration},
		"no number":     {math.NaN(), time.Second, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, clock.Duration(tc.n, tc.unit)) })
	}
	require.Positive(t, 8*clock.MaxDuration)
	require.True(t, time.Now().Add(clock.MaxDuration).After(time.Now()))
}
