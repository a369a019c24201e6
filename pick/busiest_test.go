package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

func TestBusiest(t *testing.T) {
	loads := map[string]pick.Load{
		"idle": {Running: 1}, "long prompt": {Running: 1, PrefillTime: 300 * time.Millisecond}, "many": {Running: 12}, "few": {Running: 2},
	}
	names := func(n int) []string {
		var list []string
		for id := range pick.Busiest(loads, n) {
			list = append(list, id)
		}
		return list
	}
	require.ElementsMatch(t, []string{"long prompt", "many"}, names(2))
	require.ElementsMatch(t, []string{"long prompt", "many", "few"}, names(3))
	require.Len(t, names(4), 4)
	require.Empty(t, pick.Busiest(nil, 3))
}

// Equal loads must give the same choice at each call, or the servers told to the other VMs would change
// from frame to frame.
func TestBusiestIsStable(t *testing.T) {
	loads := make(map[string]pick.Load)
	for i := range 100 {
		loads[fmt.Sprintf("s%02d", i)] = pick.Load{Running: 1}
	}
	first := pick.Busiest(loads, 10)
	for range 20 {
		require.Equal(t, first, pick.Busiest(loads, 10))
	}
}
