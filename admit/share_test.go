package admit_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/admit"
)

// TestShareSumBounded checks the sum of all VMs' shares. When every VM has the
// demand of all others, the limit may be exceeded only by one request per VM,
// where the limit is smaller than the fleet. When no VM has any peer's demand,
// the limit may be exceeded at most twofold.
func TestShareSumBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 20).Draw(t, "vms")
		limit := rapid.IntRange(1, 1000).Draw(t, "limit")
		demand := rapid.SliceOfN(rapid.IntRange(0, 500), vms, vms).Draw(t, "demand")
		totalWithPeers, totalWithoutPeers := 0, 0
		for i := range demand {
			var others []int
			for j, n := range demand {
				if j != i {
					others = append(others, n)
				}
			}
			totalWithPeers += admit.Share(limit, vms, demand[i], others)
			totalWithoutPeers += admit.Share(limit, vms, demand[i], nil)
		}
		require.LessOrEqual(t, totalWithPeers, limit+vms)
		require.LessOrEqual(t, totalWithoutPeers, 2*limit+vms)
	})
}

func TestShareFollowsDemand(t *testing.T) {
	require.Equal(t, 40, admit.Share(80, 4, 1000, []int{0, 0, 0}), "at most twice an even share")
	require.Equal(t, 10, admit.Share(80, 4, 0, []int{100, 0, 0}), "at least half of an even share")
	require.Equal(t, 20, admit.Share(80, 4, 0, nil))
}
