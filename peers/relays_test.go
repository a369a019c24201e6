package peers

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

func candidates(strong, weak int) []relayCandidate {
	var list []relayCandidate
	for i := range strong + weak {
		c := relayCandidate{vm: fmt.Sprintf("vm-%03d", i), address: fmt.Sprintf("vm-%03d:1", i), domain: "d", millicores: 800}
		if i >= strong {
			c.millicores = 192
		}
		list = append(list, c)
	}
	return list
}

// A relay with a link to each VM of a failure domain sends them all the same, so that its traffic grows
// with the fleet. The VMs are divided among about as many relays as each of these then has VMs.
func TestFurtherRelaysGrowWithTheRoot(t *testing.T) {
	for name, tc := range map[string]struct {
		vms, strong, weak, want int
	}{
		"few VMs":                       {31, 10, 20, 0},
		"enough VMs":                    {32, 10, 21, 6},
		"the fleet":                     {165, 40, 120, 13},
		"four times the fleet":          {660, 40, 600, 26},
		"weak VMs only if need be":      {165, 9, 120, 9},
		"half as many as needed":        {165, 2, 120, 7},
		"no strong VM":                  {165, 0, 160, 13},
		"fewer linked VMs than are due": {165, 0, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			require.Len(t, furtherRelays(tc.vms, candidates(tc.strong, tc.weak)), tc.want)
		})
	}
}

// Relays that already have VMs are kept when others link, or the VMs would change their hub whenever one
// with a smaller name starts.
func TestFurtherRelaysAreKept(t *testing.T) {
	list := candidates(30, 100)
	list[20].chosen, list[25].relaying = true, true
	chosen := furtherRelays(100, list)
	require.Contains(t, chosen, list[20])
	require.Contains(t, chosen, list[25])
	for _, c := range chosen {
		require.Equal(t, 800, c.millicores)
	}
}

func TestPreferredRelay(t *testing.T) {
	direct := wire.Relay{FailureDomain: "d", Address: "r", Ready: true}
	var further []wire.Relay
	for i := range 8 {
		further = append(further, wire.Relay{FailureDomain: "d", Address: fmt.Sprint("f", i), Hub: "r", Ready: true})
	}
	foreign := wire.Relay{FailureDomain: "e", Address: "x", Ready: true}
	all := func(wire.Relay) bool { return true }
	require.Empty(t, preferredRelay("vm", "d", []wire.Relay{foreign}, all))
	require.Equal(t, "r", preferredRelay("vm", "d", []wire.Relay{foreign, direct}, all))

	relays := append([]wire.Relay{foreign, direct}, further...)
	counts := make(map[string]int)
	for i := range 400 {
		counts[preferredRelay(fmt.Sprint("vm", i), "d", relays, all)]++
	}
	require.Len(t, counts, len(further), "the VMs divide among the further relays")
	for address, n := range counts {
		require.InDelta(t, 50, n, 25, address)
	}

	preferred := preferredRelay("vm", "d", relays, all)
	for i := range relays {
		if relays[i].Address == preferred {
			relays[i].Ready = false
		}
	}
	require.Equal(t, "r", preferredRelay("vm", "d", relays, all), "a VM waits at the relay until the one that it prefers is ready")
	lost := func(r wire.Relay) bool { return r.Address != preferred }
	other := preferredRelay("vm", "d", relays, lost)
	require.NotEmpty(t, other)
	require.NotEqual(t, "r", other, "a VM that lost its relay uses another one")
}
