package peers

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// announcer returns the parts of a VM that has observed a lease record of a holder with a version.
func announcer(holder string, version int) *Peers {
	era, _ := store.SplitVersion(version)
	l := &Lease{Name: "vm", Address: "vm:1", Duration: time.Second, Now: time.Now, Log: zerolog.Nop()}
	l.ObserveAnnounced(version, wire.ControllerLease{Holder: holder, Address: holder + ":1", DurationMs: 1000, ZzzzEra: era})
	return &Peers{Lease: l, Servers: &backs.View{}, Now: time.Now}
}

// Guards against a VM that takes the record of a hub for older or newer than it is, because a store that has come back
// from a copy gives out revisions again, or because only one of the two builds knows of eras.
func TestAnnouncedVersions(t *testing.T) {
	for name, c := range map[string]struct {
		// known is the version that the VM knows, hub that of its hub, latest the one it must know then.
		known, hub, latest int
		// older is set if the hub is of a build that knows no eras.
		older bool
		// lags is set if the hub knows less than the VM, which then looks for another hub.
		lags bool
	}{
		"renewal":                       {known: store.VersionOf(2, 67), hub: store.VersionOf(2, 68), latest: store.VersionOf(2, 68)},
		"hub saw the next era":          {known: store.VersionOf(1, 94), hub: store.VersionOf(2, 67), latest: store.VersionOf(2, 67)},
		"hub lags an era behind":        {known: store.VersionOf(2, 67), hub: store.VersionOf(1, 95), latest: store.VersionOf(2, 67), lags: true},
		"hub lags, first restore":       {known: store.VersionOf(1, 67), hub: 95, latest: store.VersionOf(1, 67), lags: true},
		"renewal, older hub":            {known: store.VersionOf(2, 67), hub: 68, latest: store.VersionOf(2, 68), older: true},
		"older hub lags":                {known: store.VersionOf(2, 67), hub: 66, latest: store.VersionOf(2, 67), older: true, lags: true},
		"renewal, store without eras":   {known: 67, hub: 68, latest: 68},
		"hub knows no record":           {known: store.VersionOf(2, 67), latest: store.VersionOf(2, 67), lags: true},
		"hub knows no record, nor VM":   {},
		"older hub, VM knows no record": {hub: 68, latest: 68, older: true},
	} {
		t.Run(name, func(t *testing.T) {
			vm := announcer("a", c.known)
			frame := announcer("b", c.hub).newFleetState(nil)
			require.Less(t, frame.LeaseVersion, 1<<40, "older builds compare it with revisions")
			if c.older {
				frame = &wire.FleetState{LeaseVersion: c.hub, Lease: frame.Lease}
			}
			up := &uplink{}
			vm.applyLeaseState(up, frame)
			latest, _ := vm.Lease.LatestRecord()
			require.Equal(t, c.latest, latest)
			require.Equal(t, c.lags, latest > up.leaseVersion())
		})
	}
}

// Guards against a VM behind a hub that is not told that the store came back from a copy, and removes servers that the
// list of a new hub lacks.
func TestRestoreNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		versions []int
		restores int
	}{
		"renewals":       {versions: []int{store.VersionOf(1, 5), store.VersionOf(1, 6)}},
		"restore":        {versions: []int{store.VersionOf(1, 94), store.VersionOf(2, 67), store.VersionOf(2, 68)}, restores: 1},
		"hub lags":       {versions: []int{store.VersionOf(2, 67), store.VersionOf(1, 95), store.VersionOf(2, 68)}},
		"first restore":  {versions: []int{94, store.VersionOf(1, 67), store.VersionOf(1, 68)}, restores: 1},
		"two restores":   {versions: []int{store.VersionOf(1, 94), store.VersionOf(2, 67), store.VersionOf(3, 50)}, restores: 2},
		"later process":  {versions: []int{store.VersionOf(4, 1)}},
		"store has none": {versions: []int{5, 6}},
	} {
		t.Run(name, func(t *testing.T) {
			restores := 0
			l := &Lease{Name: "vm", Address: "vm:1", Duration: time.Second, Now: time.Now, Log: zerolog.Nop(), OnRestored: func() { restores++ }}
			for _, v := range c.versions {
				l.ObserveAnnounced(v, wire.ControllerLease{Holder: "h", Address: "h:1", DurationMs: 1000})
			}
			require.Equal(t, c.restores, restores)
		})
	}
}
