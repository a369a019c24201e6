package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

// Guards against a process that crashes again and again and spends a full reserve after each start.
func TestReserveGrowsAfterStart(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"at the start":    {0, 0},
		"after a second":  {time.Second, 1},
		"half of the way": {5 * time.Second, 5},
		"grown":           {10 * time.Second, 10},
		"later":           {time.Hour, 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := retry.Budget{Since: start}
			allowed := 0
			for range 20 {
				if b.Allow(start.Add(tc.after)) {
					allowed++
				}
			}
			require.Equal(t, tc.want, allowed)
		})
	}
}
