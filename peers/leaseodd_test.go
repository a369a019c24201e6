package peers_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/peers"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	leaseKind = "leases"
	leaseName = "controller"
)

func oddRecords(t *testing.T) map[string]string {
	with := func(change func(r *wire.ControllerLease)) string {
		r := wire.ControllerLease{Holder: "9", Boot: "9", Address: "127.0.0.1:9", Key: "k", DurationMs: 1000, Renewals: 5}
		change(&r)
		value, err := json.Marshal(r)
		require.NoError(t, err)
		return string(value)
	}
	const highest = 9223372036854775807
	return map[string]string{
		"null":                  `null`,
		"empty":                 `{}`,
		"a string":              `"x"`,
		"a list":                `[]`,
		"no JSON":               `{"holder":`,
		"nested deep":           strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"wrong type":            `{"holder":7}`,
		"number without bounds": `{"duration_ms":1e400}`,
		"no address":            with(func(r *wire.ControllerLease) { r.Address = "" }),
		"address of 1 MB":       with(func(r *wire.ControllerLease) { r.Address = strings.Repeat("a", 1<<20) }),
		"duration overflows":    with(func(r *wire.ControllerLease) { r.DurationMs = highest }),
		"duration negative":     with(func(r *wire.ControllerLease) { r.DurationMs = -highest }),
		"handover overflows":    with(func(r *wire.ControllerLease) { r.ZzzzHandoverMs = highest }),
		"renewals at the limit": with(func(r *wire.ControllerLease) { r.Renewals = highest }),
		"token at the limit":    with(func(r *wire.ControllerLease) { r.ZzzzLeastToken = highest }),
		"era at the limit":      with(func(r *wire.ControllerLease) { r.ZzzzEra = highest }),
		"era negative":          with(func(r *wire.ControllerLease) { r.ZzzzEra = -1 }),
		"VMs negative":          with(func(r *wire.ControllerLease) { r.Vms = -1 }),
		"VMs at the limit":      with(func(r *wire.ControllerLease) { r.Vms = highest }),
		"history at the limit":  with(func(r *wire.ControllerLease) { r.ZVersionHistory = &wire.VersionHistory{CompleteMs: highest} }),
		"versions in the future": with(func(r *wire.ControllerLease) {
			r.ZVersionHistory = &wire.VersionHistory{Gone: []wire.GoneVersion{{AgoMs: -highest}}}
		}),
	}
}

// Guards against a lease record of another writer that nobody can acquire any more, or that lets a VM send orders beside the
// holder or with a lower fencing token.
func TestOddLeaseRecord(t *testing.T) {
	const (
		step  = 100 * time.Millisecond
		steps = 150
	)
	for name, odd := range oddRecords(t) {
		t.Run(name, func(t *testing.T) {
			clock, o := &testClock{now: time.Unix(1000, 0)}, &stand.ObjectStore{}
			vms := []*peers.Lease{newLease(clock, o, "1"), newLease(clock, o, "2")}
			for range 10 {
				for _, l := range vms {
					l.Step(t.Context())
				}
				clock.advance(step)
			}
			require.True(t, maySendOrders(vms[0], clock.Now()))
			lastToken, lastSender, lastOrderAt := 0, 0, time.Time{}
			for i := range steps {
				if i == 3 {
					_, err := o.Put(leaseKind, leaseName, -1, json.RawMessage(odd))
					require.NoError(t, err)
				}
				if i == 5 {
					vms = append(vms, newLease(clock, o, "3")) // It knows nothing but the odd record.
				}
				for vm, l := range vms {
					l.Step(t.Context())
					token, may := l.FencingToken(clock.Now())
					if !may {
						continue
					}
					require.GreaterOrEqual(t, token, lastToken)
					if vm != lastSender {
						require.Greater(t, token, lastToken)
						require.GreaterOrEqual(t, clock.Now().Sub(lastOrderAt), 3*time.Second)
					}
					lastToken, lastSender, lastOrderAt = token, vm, clock.Now()
				}
				clock.advance(step)
			}
			require.Less(t, clock.Now().Sub(lastOrderAt), time.Second, "a VM sends orders again")
			obj, err := o.Get(leaseKind, leaseName)
			require.NoError(t, err)
			require.NotEqual(t, odd, string(obj.Value))
		})
	}
}
