package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against a stream that goes on at the only version that is left, at a VM that kept its link while its hub was out of
// touch and missed that servers of another version came and went.
func TestVersionsMissedByHub(t *testing.T) {
	const life = 30 * time.Second
	only := []backs.Entry{versionEntry("a", "v1")}
	tests := map[string]struct {
		// hubListed is when the hub last listed the servers anew, vmConfirmed when the VM was confirmed last.
		hubListed, vmConfirmed float64
		want                   bool
	}{
		"hub listed anew": {100, 0, false},
		"hub listed anew, the VM was confirmed later": {95, 96, true},
		"hub listed anew long ago":                    {60, 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			hub, vm := &backs.View{}, &backs.View{}
			hub.Replace(at(1), only)
			vm.Merge(at(1.1), backs.Update{States: []backs.State{{Entry: only[0]}}, Full: true, SyncedFor: time.Hour})
			if tc.vmConfirmed > 0 {
				vm.MarkConfirmed(at(tc.vmConfirmed), at(tc.vmConfirmed), backs.VersionHistory{CompleteFor: time.Hour})
			}
			hub.MarkCurrent(at(50))
			hub.Replace(at(tc.hubListed), only)
			hub.MarkCurrent(at(tc.hubListed))
			vm.MarkConfirmed(at(100.4), at(100.3), hub.VersionHistory(at(100.4)))
			_, ok := vm.OnlyVersion(at(101), "s", life)
			require.Equal(t, tc.want, ok)
		})
	}
}

// Guards against a version that is forgotten as its server comes back under its name, within a gap of the list or under an
// ID that does not tell instances apart.
func TestVersionOfServerThatCameBack(t *testing.T) {
	instance := func(start float64, version string) backs.Entry {
		e := versionEntry(backs.InstanceID("a", at(start)), version)
		e.Name, e.StartedAt = "a", at(start)
		return e
	}
	tests := map[string]struct {
		first  backs.Entry
		change func(v *backs.View)
	}{
		"twice within a gap": {instance(1, "v1"), func(v *backs.View) {
			v.Replace(at(100), []backs.Entry{instance(99.9, "v1")})
		}},
		"under its ID, as the store tells": {versionEntry("a", "v1"), func(v *backs.View) {
			v.Put(at(90), versionEntry("a", "v2"))
			v.Put(at(95), versionEntry("a", "v1"))
		}},
		"under its ID, as a hub tells": {versionEntry("a", "v1"), func(v *backs.View) {
			for i, version := range []string{"v2", "v1"} {
				v.Merge(at(90+float64(i)), backs.Update{States: []backs.State{{Entry: versionEntry("a", version)}}, SyncedFor: time.Hour})
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			v.Replace(at(1), []backs.Entry{tc.first})
			v.MarkCurrent(at(98))
			tc.change(v)
			v.MarkCurrent(at(100.1))
			_, ok := v.OnlyVersion(at(101), "s", 30*time.Second)
			require.False(t, ok)
		})
	}
}

// Guards against a list that proves a version beside an entry that can not be read, whose server may have had another one.
func TestUnreadableEntryHidesVersion(t *testing.T) {
	const life = 30 * time.Second
	only := []backs.Entry{versionEntry("a", "v1")}
	tests := map[string]struct {
		told float64
		want bool
	}{
		"what is known was told before the list": {99, false},
		"what is known was told after the list":  {101, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			if tc.told < 100 {
				v.AddVersionHistory(at(tc.told), backs.VersionHistory{CompleteFor: time.Hour})
			}
			v.Replace(at(100), only, "odd")
			if tc.told > 100 {
				v.AddVersionHistory(at(tc.told), backs.VersionHistory{CompleteFor: time.Hour})
			}
			v.MarkCurrent(at(102))
			_, ok := v.OnlyVersion(at(102), "s", life)
			require.Equal(t, tc.want, ok)
		})
	}
}

// Guards against a version that counts as gone for longer than it is, as the time of day of this VM is ahead of that of the
// one that told.
func TestClockAheadDoesNotAgeVersions(t *testing.T) {
	v := &backs.View{}
	v.AddVersionHistory(at(100), backs.VersionHistory{
		Age: 40 * time.Second, CompleteFor: time.Hour, Gone: []backs.GoneVersion{{Service: "s", Version: "v2", Ago: 5 * time.Second}},
	})
	v.Replace(at(60), []backs.Entry{versionEntry("a", "v1")})
	v.MarkCurrent(at(100))
	_, ok := v.OnlyVersion(at(101), "s", 30*time.Second)
	require.False(t, ok)
}
