package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

func TestNowMonotonic(t *testing.T) {
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		require.False(t, now.Before(last))
		last = now
	}
}
