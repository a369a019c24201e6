package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// keeperAddresses returns the keepers that a VM knows.
func keeperAddresses(v *testVM) []string {
	var addresses []string
	for _, k := range v.OriginKeepers(clock.Now()) {
		addresses = append(addresses, k.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// requireKeepers requires that all VMs of a list know the same keepers.
func requireKeepers(t *testing.T, vms []*testVM, want []string) {
	t.Helper()
	slices.Sort(want)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(vms, func(v *testVM) bool { return !slices.Equal(keeperAddresses(v), want) })
	}, testTimeout, 20*time.Millisecond)
}

// Guards against VMs that ask others than were told, in a star and in a tree, and after the controller has ended:
// VMs that know different keepers do not find what each of them was told.
func TestAllVMsKnowTheSameKeepers(t *testing.T) {
	for name, count := range map[string]int{"star": 5, "tree": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			older := count - 1
			var want []string
			vms := startFleetWith(t, count, func(i int, v *testVM) {
				if v.KeepsOrigins = i != older; i == older {
					// It is of a build that keeps none, and never the controller.
					v.Lease.AcquireDelay = testTimeout
				}
			})
			for _, v := range vms[:older] {
				want = append(want, v.Address)
			}
			requireKeepers(t, vms, want)
			controller := slices.IndexFunc(vms, func(v *testVM) bool { return v.Leading() })
			require.GreaterOrEqual(t, controller, 0)
			ended := vms[controller]
			ended.crash()
			left := slices.Delete(slices.Clone(vms), controller, controller+1)
			want = slices.DeleteFunc(want, func(a string) bool { return a == ended.Address })
			requireKeepers(t, left, want)
		})
	}
}

// Guards against keepers that are forgotten while a new controller knows few VMs, and against VMs that are asked
// long after they have ended.
func TestKeepersLinger(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := wire.OriginKeeper{Address: "a", Domain: "d"}, wire.OriginKeeper{Address: "b", Domain: "d"}
	k := &keeperList{}
	require.Len(t, k.update(now, []wire.OriginKeeper{a, b}), 2)
	require.Len(t, k.update(now.Add(time.Second), []wire.OriginKeeper{a}), 2)
	require.Len(t, k.update(now.Add(keeperLinger), []wire.OriginKeeper{a}), 2)
	require.Equal(t, []origin.Keeper{{Address: "a", Domain: "d"}}, k.update(now.Add(time.Second+keeperLinger), []wire.OriginKeeper{a}))
	require.Len(t, k.update(now.Add(2*keeperLinger), []wire.OriginKeeper{a, b}), 2)
	require.Empty(t, k.lostAt)
}

// Guards against frames that grow with the fleet, and against a failure domain without keepers.
func TestKeepersAreBounded(t *testing.T) {
	var list []wire.OriginKeeper
	for i := range 985 {
		domain := "large"
		if i%100 == 0 {
			domain = "small"
		}
		list = append(list, wire.OriginKeeper{Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: domain})
	}
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	bounded := boundKeepers(list)
	require.Equal(t, bounded, boundKeepers(reversed))
	require.LessOrEqual(t, len(bounded), maxKeepers)
	require.Len(t, slices.DeleteFunc(bounded, func(k wire.OriginKeeper) bool { return k.Domain != "small" }), 10)
}
