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
			d := division{vms: tc.vms, settled: true}
			require.Len(t, d.furtherRelays(candidates(tc.strong, tc.weak)), tc.want)
		})
	}
}

// Relays that already have VMs are kept when others link, or the VMs would change their hub whenever one
// with a smaller name starts.
func TestFurtherRelaysAreKept(t *testing.T) {
	list := candidates(30, 100)
	list[20].chosen, list[25].relaying = true, true
	chosen := division{vms: 100, settled: true}.furtherRelays(list)
	require.Contains(t, chosen, list[20])
	require.Contains(t, chosen, list[25])
	for _, c := range chosen {
		require.Equal(t, 800, c.millicores)
	}
}

// All VMs of a failure domain start together, the weak ones first. Each weak VM that becomes a relay is
// replaced as soon as a strong one links, and all of its VMs lose their links. The relay waits for strong
// VMs for a moment, unless it is no stronger itself.
func TestWeakVMsAreChosenLast(t *testing.T) {
	weak := candidates(0, 40)
	require.Empty(t, division{vms: 100, millicores: 800}.furtherRelays(weak))
	require.Len(t, division{vms: 100, millicores: 800, settled: true}.furtherRelays(weak), 5)
	require.Len(t, division{vms: 100, millicores: 192}.furtherRelays(weak), 10)
	weak[3].chosen = true
	require.Equal(t, weak[3:4], division{vms: 100, millicores: 800}.furtherRelays(weak), "one that was chosen before is kept")
}

func TestPreferredRelay(t *testing.T) {
	direct := wire.Relay{FailureDomain: "d", Address: "r", Ready: true}
	var further []wire.Relay
	for i := range 8 {
		further = append(further, wire.Relay{FailureDomain: "d", Address: fmt.Sprint("f", i), Hub: "r", Ready: true})
	}
	foreign := wire.Relay{FailureDomain: "e", Address: "x", Ready: true}
	all := func(wire.Relay) bool { return true }
	require.Empty(t, preferredRelay("vm", "d", []wire.Relay{foreign}, false, all))
	require.Equal(t, "r", preferredRelay("vm", "d", []wire.Relay{foreign, direct}, false, all))

	relays := append([]wire.Relay{foreign, direct}, further...)
	counts := make(map[string]int)
	for i := range 400 {
		counts[preferredRelay(fmt.Sprint("vm", i), "d", relays, false, all)]++
	}
	require.Len(t, counts, len(further), "the VMs divide among the further relays")
	for address, n := range counts {
		require.InDelta(t, 50, n, 25, address)
	}

	preferred := preferredRelay("vm", "d", relays, false, all)
	for i := range relays {
		if relays[i].Address == preferred {
			relays[i].Ready = false
		}
	}
	require.Equal(t, "r", preferredRelay("vm", "d", relays, false, all), "a VM waits at the relay until the one that it prefers is ready")
	lost := func(r wire.Relay) bool { return r.Address != preferred }
	other := preferredRelay("vm", "d", relays, false, lost)
	require.NotEmpty(t, other)
	require.NotEqual(t, "r", other, "a VM that lost its relay uses another one")
	require.Equal(t, "r", preferredRelay("vm", "d", relays, true, lost), "a VM with an outdated list asks for the current one")
	noDirect := func(r wire.Relay) bool { return lost(r) && r.Hub != "" }
	require.Equal(t, other, preferredRelay("vm", "d", relays, true, noDirect))
}
