package peers

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// leader returns the VM that holds the lease, nil if none does.
func leader(vms []*testVM) *testVM {
	if i := slices.IndexFunc(vms, func(v *testVM) bool { return v.Leading() }); i >= 0 {
		return vms[i]
	}
	return nil
}

// hub returns the address of the hub to which a VM is linked and that has sent it all, "" if there is none.
func (v *testVM) hub() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.uplink == nil || !v.uplink.complete {
		return ""
	}
	return v.uplink.address
}

// Guards against a VM that stays by itself while it is cut off from the store alone, and refuses what the VMs beside it
// serve: the controller is another one, and only the store said who.
func TestVMCutOffFromStoreFindsController(t *testing.T) {
	tests := map[string]struct {
		vms int
		// cutOff chooses the VM that is cut off from the store, and ended whether its controller ends then.
		cutOff func(vms []*testVM) *testVM
		ended  bool
	}{
		"controller":                       {5, leader, false},
		"controller of a tree":             {minTreeVMs + 4, leader, false},
		"VM of a controller that has gone": {5, follower, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := startFleetWith(t, tc.vms, func(_ int, v *testVM) { v.KeepsOrigins = true })
			var addresses []string
			for _, v := range vms {
				addresses = append(addresses, v.Address)
			}
			requireKeepers(t, vms, addresses)
			before := leader(vms)
			require.NotNil(t, before)
			alone := tc.cutOff(vms)
			alone.partitionFromStore()
			if tc.ended {
				before.crash()
			}
			require.Eventually(t, func() bool {
				now := leader(vms)
				if now == nil || now == before {
					return false
				}
				holder, _ := alone.Lease.OtherHolder()
				return holder == now.Address && alone.hub() != ""
			}, testTimeout, 20*time.Millisecond)
			_, held := alone.Lease.FencingToken(alone.Now())
			require.False(t, held)
		})
	}
}

// follower returns a VM that does not hold the lease.
func follower(vms []*testVM) *testVM {
	return vms[slices.IndexFunc(vms, func(v *testVM) bool { return !v.Leading() })]
}

// Guards against requests that wait at a VM that has nobody to ask, and against refusals while the VM has the store, a hub
// or VMs linked to it, or only for a moment none of these.
func TestAlone(t *testing.T) {
	for name, tc := range map[string]struct {
		unreadFor    time.Duration
		linked, link bool
		read, alone  bool
	}{
		"nobody answers":       {unreadFor: aloneAfter, alone: true},
		"only for a moment":    {unreadFor: aloneAfter - 1},
		"store has answered":   {unreadFor: aloneAfter, read: true},
		"has a hub":            {unreadFor: aloneAfter, linked: true},
		"is the hub of others": {unreadFor: aloneAfter, link: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newUnlinkedVM(&now)
			p.Lease.recordUnread(errStorePartitioned)
			now = now.Add(tc.unreadFor)
			if tc.read {
				p.Lease.learn(1, wire.ControllerLease{})
			}
			if tc.linked {
				p.uplink = &uplink{}
			}
			if tc.link {
				p.links = map[*downlink]bool{{}: true}
			}
			require.Equal(t, tc.alone, p.Alone())
		})
	}
}

// Guards against a key of the fleet that anybody gets who asks for the lease record.
func TestHolderIsToldToVMsOnly(t *testing.T) {
	vms := startFleetWith(t, 2, func(_ int, v *testVM) { v.KeepsOrigins = true })
	require.Eventually(t, func() bool { return leader(vms) != nil && follower(vms).hub() != "" }, testTimeout, 20*time.Millisecond)
	told := follower(vms)
	_, record := told.Lease.LatestRecord()
	for name, tc := range map[string]struct {
		key    string
		status int
	}{
		"key of the term": {record.Key, http.StatusUpgradeRequired},
		"no key":          {"", http.StatusUnauthorized},
		"another key":     {"key", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+told.Address+holderPath, http.NoBody)
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+tc.key)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
		})
	}
	state, err := vms[0].readHolder(t.Context(), told.Address, record.Key)
	require.NoError(t, err)
	require.Equal(t, record.Holder, state.Lease.Holder)
}

// Guards against VMs that have gone filling the memory of one that knows them for a while.
func TestLostKeepersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &keeperList{}
	for i := range 2 * maxKeepers {
		k.update(now.Add(time.Duration(i)*time.Second), []wire.OriginKeeper{{Address: fmt.Sprint(i), Domain: "d"}})
	}
	require.Len(t, k.lostAt, maxKeepers)
	require.Contains(t, k.lostAt, wire.OriginKeeper{Address: fmt.Sprint(2*maxKeepers - 2), Domain: "d"})
	k.update(now.Add(time.Hour), nil)
	require.Len(t, k.lostAt, 1)
}
