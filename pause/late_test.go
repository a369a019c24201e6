package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that takes a usual delay of its timers for a standstill, and forgives each silent server.
func TestStandstill(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0: 0, time.Second: 0, 1100 * time.Millisecond: 0, 1150 * time.Millisecond: 150 * time.Millisecond, time.Minute: 59 * time.Second,
	} {
		require.Equal(t, want, Standstill(time.Second, took), took)
	}
}
