package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A guarantee may be violated only for a moment between two checks. The sum must
// include every sample, so that such a violation is counted.
func TestSampleSumCountsEverySample(t *testing.T) {
	sampled := make(chan struct{})
	samples := 0
	stop := sampleSum(time.Millisecond, func() int {
		if samples++; samples == 3 {
			close(sampled)
		}
		return 1
	})
	<-sampled
	require.GreaterOrEqual(t, stop(), 3)
}
