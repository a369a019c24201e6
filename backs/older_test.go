package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against a VM that takes an old list of another hub for newer than its own: servers that joined since were gone
// at once, and streams of their version ended for good.
func TestOlderFullStateKeepsNewerServers(t *testing.T) {
	tests := map[string]struct {
		// confirmed is when the view was confirmed before, 0 for never, and age that of the full state.
		confirmed float64
		age       time.Duration
		after     func(v *backs.View)
		// current is as of when the view is current then, 0 for no time. kept says whether the newer server is still in
		// use at once, and stays whether it is after the grace period.
		current     float64
		kept, stays bool
	}{
		"older":                        {confirmed: 60, age: 30 * time.Second, kept: true},
		"older by a little":            {confirmed: 60, age: 600 * time.Millisecond, kept: true},
		"not older":                    {confirmed: 60, age: 400 * time.Millisecond, current: 60},
		"older, view never confirmed":  {confirmed: 0, age: 30 * time.Second},
		"older, confirmed as of later": {confirmed: 60, age: 30 * time.Second, after: func(v *backs.View) { v.MarkCurrent(at(60.6)) }, current: 60.6, kept: true},
		"older, confirmed as of before": {confirmed: 60, age: 30 * time.Second, after: func(v *backs.View) {
			v.MarkCurrent(at(60.4))
		}, kept: true},
		"older, server is stored again": {confirmed: 60, age: 30 * time.Second, after: func(v *backs.View) {
			v.Put(at(60.6), versionEntry("b", "v2"))
		}, kept: true, stays: true},
		"older, server is removed": {confirmed: 60, age: 30 * time.Second, after: func(v *backs.View) { v.Remove(at(60.6), "b") }},
		"older again and again": {confirmed: 60, age: 30 * time.Second, after: func(v *backs.View) {
			for s := 60.6; s < 62.4; s += 0.1 {
				v.Merge(at(s), fullState(30*time.Second, versionEntry("a", "v1")))
			}
		}, kept: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			v.Replace(at(1), []backs.Entry{versionEntry("a", "v1")})
			v.Put(at(50), versionEntry("b", "v2"))
			if tc.confirmed > 0 {
				v.MarkCurrent(at(tc.confirmed))
			}
			v.Merge(at(60.5), fullState(tc.age, versionEntry("a", "v1")))
			if tc.after != nil {
				tc.after(v)
			}
			want := time.Time{}
			if tc.current > 0 {
				want = at(tc.current)
			}
			require.Equal(t, want, v.CurrentAt())
			require.True(t, v.Usable(at(60.7), "a"))
			require.Equal(t, tc.kept, v.Usable(at(60.7), "b"))
			require.Equal(t, tc.kept, v.Usable(at(62.4), "b"))
			require.Equal(t, tc.stays, v.Usable(at(62.6), "b"))
			_, ok := v.OnlyVersion(at(63), "s", 30*time.Second)
			require.False(t, ok, "servers of two versions have existed")
		})
	}
}

// fullState returns the full state of a VM whose data is of an age.
func fullState(age time.Duration, entries ...backs.Entry) backs.Update {
	u := backs.Update{Full: true, Age: age, SyncedFor: time.Hour}
	for _, e := range entries {
		u.States = append(u.States, backs.State{Entry: e})
	}
	return u
}
