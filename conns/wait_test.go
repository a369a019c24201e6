package conns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that takes its own standstill for the silence of its servers, and against one that is late each
// time and never notices a server that is gone.
func TestStallWait(t *testing.T) {
	const timeout = 300 * time.Millisecond
	type step struct {
		took     time.Duration
		readable bool
		silent   bool
		waited   time.Duration
	}
	tests := map[string]struct {
		steps []step
		late  time.Duration
	}{
		"peer is silent": {steps: []step{
			{took: timeout, silent: true, waited: timeout},
			{took: timeout, silent: true, waited: 2 * timeout},
		}},
		"a little late": {steps: []step{
			{took: timeout + 90*time.Millisecond, silent: true, waited: timeout},
			{took: timeout + 90*time.Millisecond, silent: true, waited: 2 * timeout},
		}},
		"something to read":           {steps: []step{{took: timeout, readable: true}}},
		"late with something to read": {steps: []step{{took: 6 * timeout, readable: true}}, late: 5 * timeout},
		"late, then silent": {late: 5 * timeout, steps: []step{
			{took: timeout, silent: true, waited: timeout},
			{took: 6 * timeout},
			{took: timeout, silent: true, waited: timeout},
		}},
		"late each time": {late: 3 * timeout, steps: []step{
			{took: 2 * timeout},
			{took: 2 * timeout, silent: true, waited: timeout},
			{took: 2 * timeout, silent: true, waited: 2 * timeout},
		}},
		"early": {steps: []step{{took: timeout - time.Millisecond, silent: true, waited: timeout}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var w stallWait
			for _, s := range tc.steps {
				require.Equal(t, s.silent, w.add(timeout, s.took, s.readable))
				require.Equal(t, s.waited, w.waited)
			}
			require.Equal(t, tc.late, w.late)
		})
	}
}
