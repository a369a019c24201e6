package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reach returns which owner VMs reach: owner 0 until a time, then no other than the given one for VMs below limit.
func reach(from time.Duration, limit, other int) func(time.Duration, int) int {
	return func(now time.Duration, vm int) int {
		if now >= from && vm < limit {
			return other
		}
		return 0
	}
}

// ownerDies has no owner for two seconds, and then a new one that knows no places.
func ownerDies(now time.Duration, _ int) int {
	switch {
	case now < 5*time.Second:
		return 0
	case now < 7*time.Second:
		return -1
	}
	return 1
}

// failure is a failure of the owner, VMs or servers. inTime is the least number of requests served in time as a share of those that
// VMs serve that decide alone under the failures of VMs and servers. Where VMs fall back to that, servers may reject as many
// requests as without an owner, otherwise none.
type failure struct {
	faults   faults
	inTime   float64
	fallback bool
}

func replayFailures() map[string]failure {
	return map[string]failure{
		"the owner dies":               {faults{owner: ownerDies}, 1, true},
		"the owner is cut off":         {faults{owner: reach(5*time.Second, replayVMs, -1)}, 1, true},
		"a third of VMs is cut off":    {faults{owner: reach(5*time.Second, replayVMs/3, -1)}, 1, true},
		"the owner is slow":            {faults{slowOwner: 20 * time.Millisecond}, 0.9, true},
		"two owners":                   {faults{owner: reach(5*time.Second, replayVMs/2, 1)}, 1.3, false},
		"a fifth of ends is not known": {faults{lostEnds: 0.2}, 1.3, false},
		"a quarter of VMs ends":        {faults{vmEnds: 5 * time.Second}, 1.3, false},
		"two of three servers lost":    {faults{serversLost: 5 * time.Second}, 1.3, false},
		"a server does not connect":    {faults{deadServer: 5 * time.Second}, 1.2, false},
		"a server is too slow":         {faults{slow: 10}, 1.3, false},
		"a server is slow":             {faults{slow: 3}, 1.3, false},
	}
}

// Guards against failures that make VMs with an owner serve less than VMs without one, that let requests wait beyond
// their objective, or that leave requests without an end.
func TestReplayFailures(t *testing.T) {
	for name, f := range replayFailures() {
		t.Run(name, func(t *testing.T) {
			alone, r := replay(standing, 1.1, f.faults), replay(owned, 1.1, f.faults)
			t.Logf("standing: %v", alone)
			t.Logf("owner: %v", r)
			require.Equal(t, r.arrived, r.total())
			require.GreaterOrEqual(t, float64(r.inTime), f.inTime*float64(alone.inTime))
			if f.fallback {
				require.LessOrEqual(t, r.rejects, alone.rejects)
			} else {
				require.Zero(t, r.rejects)
			}
			require.Equal(t, f.fallback, r.fallbacks > 0)
			require.LessOrEqual(t, r.longestWait, replayObjective)
		})
	}
}
