package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against a stream that goes on at the only version that is left, after a VM was out of touch and missed that
// servers of another one came and went.
func TestVersionsMissedWhileOutOfTouch(t *testing.T) {
	const life = 30 * time.Second
	only := []backs.Entry{versionEntry("a", "v1")}
	told := func(age, complete time.Duration) backs.VersionHistory {
		return backs.VersionHistory{Age: age, CompleteFor: complete}
	}
	list := func(v *backs.View) { v.Replace(at(100), only) }
	frame := func(v *backs.View) {
		v.Merge(at(100), backs.Update{States: []backs.State{{Entry: only[0]}}, Full: true, SyncedFor: time.Hour})
	}
	tests := map[string]struct {
		before func(v *backs.View)
		list   func(v *backs.View)
		after  func(v *backs.View)
		want   bool
	}{
		"list after a gap":             {nil, list, nil, false},
		"full state after a gap":       {nil, frame, nil, false},
		"list without a gap":           {func(v *backs.View) { v.MarkCurrent(at(98)) }, list, nil, true},
		"full state without a gap":     {func(v *backs.View) { v.MarkCurrent(at(98)) }, frame, nil, true},
		"told of the gap afterwards":   {nil, list, func(v *backs.View) { v.AddVersionHistory(at(100.5), told(0, time.Hour)) }, true},
		"told of the gap before":       {func(v *backs.View) { v.AddVersionHistory(at(99), told(0, time.Hour)) }, frame, nil, true},
		"told of a part of the gap":    {nil, list, func(v *backs.View) { v.AddVersionHistory(at(100.5), told(0, 20*time.Second)) }, false},
		"told what was before the gap": {nil, list, func(v *backs.View) { v.AddVersionHistory(at(100.5), told(60*time.Second, time.Hour)) }, false},
		"told that a version was there": {nil, list, func(v *backs.View) {
			h := told(0, time.Hour)
			h.Gone = []backs.GoneVersion{{Service: "s", Version: "v2", Ago: time.Second}}
			v.AddVersionHistory(at(100.5), h)
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			v.Replace(at(1), only)
			v.MarkCurrent(at(1))
			if tc.before != nil {
				tc.before(v)
			}
			tc.list(v)
			if tc.after != nil {
				tc.after(v)
			}
			version, ok := v.OnlyVersion(at(101), "s", life)
			require.Equal(t, tc.want, ok)
			if ok {
				require.Equal(t, "v1", version)
			}
		})
	}
}

// Guards against a process that starts with a record of the versions that is older than the removal of a version's last
// server, or lists a server whose entry can not be read any more.
func TestRecordTellsVersionsThatWereListed(t *testing.T) {
	const life = 30 * time.Second
	tests := map[string]struct {
		after      func(v *backs.View)
		unreadable []string
	}{
		"removed since the record":    {func(v *backs.View) { v.Remove(at(101), "b") }, nil},
		"unreadable since the record": {func(v *backs.View) { v.MarkUnreadable("b") }, []string{"b"}},
		"unreadable before it":        {func(*backs.View) {}, []string{"b"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			v.Replace(at(1), []backs.Entry{versionEntry("a", "v1"), versionEntry("b", "v2")})
			if name == "unreadable before it" {
				v.MarkUnreadable("b")
			}
			record := v.VersionHistory(at(100))
			tc.after(v)
			starting := &backs.View{}
			record.Age = 2 * time.Second
			starting.AddVersionHistory(at(102), record)
			starting.Replace(at(102), []backs.Entry{versionEntry("a", "v1")}, tc.unreadable...)
			starting.MarkCurrent(at(102))
			_, ok := starting.OnlyVersion(at(103), "s", life)
			require.False(t, ok)
		})
	}
}

// Guards against a version that came and went between two frames of a hub.
func TestRemovalOfUnknownServerTellsItsVersion(t *testing.T) {
	var v backs.View
	v.Replace(at(1), []backs.Entry{versionEntry("a", "v1")})
	v.Merge(at(100), backs.Update{States: []backs.State{{Entry: versionEntry("b", "v2"), Removed: true}}})
	_, ok := v.OnlyVersion(at(101), "s", 30*time.Second)
	require.False(t, ok)
}
