package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var testQuota = limit.Quota{Team: "a", PerSecond: 10_000, Burst: 10_000}

// withQuotas gives the VMs of a test fleet the quota of one team.
func withQuotas(vms []*testVM) {
	for _, v := range vms {
		v.Quotas.Configure(clock.Now(), limit.QuotaRules{Window: 8 * time.Second, Overshoot: 0.1, Slack: 1000}, []limit.Quota{testQuota})
	}
}

// takeAll requests tokens at all VMs for a time and returns the tokens granted.
func takeAll(t *testing.T, vms []*testVM, duration time.Duration) (granted int) {
	t.Helper()
	const tokens = 500
	for until := clock.Now().Add(duration); clock.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, v := range vms {
			if _, ok := v.TakeQuota(t.Context(), limit.QuotaRequest{Team: "a", Tokens: tokens}); ok {
				granted += tokens
			}
		}
	}
	return granted
}

// Guards against the VMs of a tree exceeding a quota together, also right after the controller has
// crashed, when the relays and a successor grant with what they know.
func TestQuotaOfFleet(t *testing.T) {
	vms := startFleet(t, minTreeVMs+4)
	withQuotas(vms)
	settled := func() bool { _, _, settled := topology(vms); return settled }
	require.Eventually(t, settled, testTimeout, 10*time.Millisecond)
	start := clock.Now()
	granted := takeAll(t, vms, time.Second)
	controller, _, _ := topology(vms)
	vms[controller].crash()
	vms = append(vms[:controller:controller], vms[controller+1:]...)
	granted += takeAll(t, vms, 2*time.Second)
	require.Eventually(t, settled, testTimeout, 10*time.Millisecond)
	granted += takeAll(t, vms, time.Second)
	limit := clock.Now().Sub(start).Seconds()*testQuota.PerSecond + testQuota.Burst
	require.LessOrEqual(t, float64(granted), 1.1*limit+1000)
	require.Positive(t, granted)
}

// Guards against a VM that has just started, and knows neither a hub nor the number of VMs, granting
// as much as a small fleet's VM would.
func TestQuotaOfUnknownFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now)
	p.Quotas = &limit.Quotas{}
	p.Quotas.Configure(now, limit.QuotaRules{Window: 8 * time.Second, Overshoot: 0.1, Slack: 100_000}, []limit.Quota{testQuota})
	for range 20 {
		now = now.Add(time.Second)
		_, granted := p.TakeQuota(t.Context(), limit.QuotaRequest{Team: "a", Tokens: 1})
		require.False(t, granted)
	}
	p.vms = 4
	p.updateQuotaRole(now)
	granted := 0
	for range 800 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := p.TakeQuota(t.Context(), limit.QuotaRequest{Team: "a", Tokens: 100}); ok {
			granted += 100
		}
	}
	require.InDelta(t, 8*testQuota.PerSecond/4, granted, testQuota.Burst/4+7_500)
	require.Greater(t, granted, 0)
}

// Guards against a VM that is no longer heard of losing its part of the quotas to the others at once,
// although it may be cut off and use that part.
func TestFleetSizeRemembersLostVMs(t *testing.T) {
	start := time.Unix(1000, 0)
	var f fleetSize
	f.observe(start, 87)
	f.observe(start.Add(time.Minute), 65)
	require.Equal(t, 87, f.vms)
	f.observe(start.Add(2*time.Minute), 90)
	require.Equal(t, 90, f.vms)
	f.observe(start.Add(2*time.Minute+fleetMemory), 65)
	require.Equal(t, 65, f.vms)
}

// All VMs restart at once. Guards against each of them, and so the fleet, starting with nothing, or with
// more than the record's part, although the last controller had a full bucket.
func TestQuotaAfterRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now)
	p.Quotas = &limit.Quotas{}
	p.Lease.startRecord = &wire.ControllerLease{QuotaLevels: []wire.TeamSpend{{Team: "a", Tokens: 8_000}, {Team: "b", Tokens: -100}}}
	p.vms = 4
	p.updateQuotaRole(now)
	require.False(t, p.quotasSeeded, "the quotas are not known yet")
	p.Quotas.Configure(now, limit.QuotaRules{Window: 8 * time.Second, Overshoot: 0.1}, []limit.Quota{testQuota})
	for range 2 {
		p.updateQuotaRole(now)
		require.Equal(t, []limit.Spend{{Team: "a", Tokens: 1_800}}, p.Quotas.CurrentLevels(now))
	}
	require.Len(t, p.StoredLevels(), 1)
}

// A configuration takes a team's quota away, and reaches the root before the other VMs. Guards against refusing the
// requests that these still ask the root for.
func TestNoQuotaRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now)
	p.vms = 4
	request := limit.QuotaRequest{Team: "a", Tokens: 1_000_000_000}
	for name, tc := range map[string]struct {
		quotas  []limit.Quota
		granted bool
	}{
		"without a quota": {nil, true},
		"with a quota":    {[]limit.Quota{testQuota}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p.Quotas = &limit.Quotas{}
			p.Quotas.Configure(now, limit.QuotaRules{}, tc.quotas)
			_, granted := p.TakeQuota(t.Context(), request)
			require.Equal(t, tc.granted, granted)
		})
	}
}
