package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

func holding(id string, models ...string) backs.Entry {
	e := entry(id)
	for _, m := range models {
		e.Models = append(e.Models, backs.LoadedModel{Model: m})
	}
	return e
}

// Guards against the loss of sound servers, and requests to those that have left, when the store comes back from a copy
// that is some seconds old.
func TestRestoredEntries(t *testing.T) {
	drained := entry("b")
	drained.Draining = true
	for name, c := range map[string]struct {
		// before happens in the seconds that the store loses; copied is what it then lists, at second 10. after happens
		// at second afterAt.
		before  func(v *backs.View)
		copied  []backs.Entry
		after   func(v *backs.View)
		afterAt float64
		// usable says whether server b may get requests, by the second.
		usable map[float64]bool
	}{
		"registered in the lost seconds, writes again": {
			before: func(v *backs.View) { v.Put(at(9), entry("b")) },
			copied: []backs.Entry{entry("a")},
			after:  func(v *backs.View) { v.Put(at(11.5), entry("b")) }, afterAt: 11.5,
			usable: map[float64]bool{10: true, 11: true, 11.5: true, 13: true, 20: true},
		},
		"registered in the lost seconds, ended": {
			before: func(v *backs.View) { v.Put(at(9), entry("b")) },
			copied: []backs.Entry{entry("a")},
			usable: map[float64]bool{10: true, 11: true, 12.5: false, 20: false},
		},
		"removed in the lost seconds, gone": {
			before: func(v *backs.View) { v.Put(at(1), entry("b")); v.Remove(at(9), "b") },
			copied: []backs.Entry{entry("a"), entry("b")},
			// The store removes an entry that is not written for three heartbeats.
			after: func(v *backs.View) { v.Remove(at(25.5), "b") }, afterAt: 25.5,
			usable: map[float64]bool{10: false, 14.5: false, 25: false, 26: false, 40: false},
		},
		"removed in the lost seconds, was cut off": {
			before: func(v *backs.View) { v.Put(at(1), entry("b")); v.Remove(at(9), "b") },
			copied: []backs.Entry{entry("a"), entry("b")},
			usable: map[float64]bool{10: false, 25: false, 40: true},
		},
		"said in the lost seconds that it drains": {
			before: func(v *backs.View) { v.Put(at(1), entry("b")); v.Put(at(9), drained) },
			copied: []backs.Entry{entry("a"), entry("b")},
			after:  func(v *backs.View) { v.Put(at(12), drained) }, afterAt: 12,
			usable: map[float64]bool{10: false, 11: false, 13: false, 40: false},
		},
		"as before": {
			before: func(v *backs.View) { v.Put(at(1), entry("b")) },
			copied: []backs.Entry{entry("a"), entry("b")},
			usable: map[float64]bool{10: true, 20: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			v, linked := backs.View{Heartbeat: 5 * time.Second}, backs.View{Heartbeat: 5 * time.Second}
			v.Replace(at(0), []backs.Entry{entry("a")})
			c.before(&v)
			states, sent := v.Since(at(9.5), 0)
			linked.Merge(at(9.5), backs.Update{States: states, Full: true, SyncedFor: 9 * time.Second})
			v.MarkRestored(at(10))
			v.Replace(at(10), c.copied)
			for s := 10.0; s <= 40; s += 0.5 {
				if s == c.afterAt {
					c.after(&v)
				}
				states, sent = v.Since(at(s), sent)
				linked.Merge(at(s), backs.Update{States: states, SyncedFor: time.Duration(s * float64(time.Second))})
				if usable, ok := c.usable[s]; ok {
					require.Equal(t, usable, v.Usable(at(s), "b"), "second %v", s)
					require.Equal(t, usable, linked.Usable(at(s), "b"), "second %v, at a VM behind this one", s)
				}
				require.True(t, v.Usable(at(s), "a"))
			}
		})
	}
}

// Guards against requests for models that a server has unloaded in the seconds that the store has lost, and against
// passing over those that it has loaded.
func TestRestoredModels(t *testing.T) {
	for name, c := range map[string]struct {
		// rewritten is what the server writes again, nil if nothing; final is what counts in the end.
		rewritten *backs.Entry
		final     []string
	}{
		"written again":     {rewritten: ptr(holding("a", "new", "newer")), final: []string{"new", "newer"}},
		"not written again": {final: []string{"old"}},
	} {
		t.Run(name, func(t *testing.T) {
			var v backs.View
			v.Replace(at(0), []backs.Entry{holding("a", "old")})
			v.Put(at(9), holding("a", "new"))
			v.MarkRestored(at(10))
			v.Replace(at(10), []backs.Entry{holding("a", "old")})
			for _, s := range []float64{10, 11} {
				require.Equal(t, holding("a", "new"), v.Serving(at(s), "s")[0])
				require.Equal(t, holding("a", "new"), v.StoredEntries(at(s))[0].Entry)
			}
			if c.rewritten != nil {
				v.Put(at(11.5), *c.rewritten)
			}
			require.Equal(t, holding("a", c.final...), v.Serving(at(13), "s")[0])
			require.Equal(t, holding("a", c.final...), v.StoredEntries(at(13))[0].Entry)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against an earlier process of a server that the copy brings back in the place of the one that runs.
func TestRestoredEarlierInstance(t *testing.T) {
	var v backs.View
	before, after := started("a", at(-10)), started("a", at(8))
	v.Replace(at(0), []backs.Entry{before})
	v.Put(at(9), after)
	v.MarkRestored(at(10))
	v.Replace(at(10), []backs.Entry{before})
	require.Equal(t, []backs.Entry{after}, v.Serving(at(11), "s"))
	v.Put(at(11.5), after)
	require.Equal(t, []backs.Entry{after}, v.Serving(at(20), "s"))
}

// Guards against a hub that started after the restore and lists a server only once that has written its entry again.
func TestRestoredListOfNewHub(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.MarkCurrent(at(11))
	v.MarkRestored(at(11))
	v.Merge(at(11.2), backs.Update{States: []backs.State{{Entry: entry("a")}}, Full: true, SyncedFor: time.Second})
	require.True(t, v.Usable(at(11.3), "b"))
	v.Merge(at(12), backs.Update{States: []backs.State{{Entry: entry("b")}}, SyncedFor: 2 * time.Second})
	require.True(t, v.Usable(at(12), "b"))
	require.True(t, v.Usable(at(14), "b"))
}

// Guards against a process that starts after the restore and takes the versions that the copy lists for the only ones:
// a stream of a server that is not listed yet would go on at another version.
func TestRestoredVersionHistory(t *testing.T) {
	const life = 30 * time.Second
	var v, starting backs.View
	v.Replace(at(0), []backs.Entry{versionEntry("a", "v1")})
	v.Put(at(99), versionEntry("b", "v2"))
	v.MarkRestored(at(100))
	v.Replace(at(100), []backs.Entry{versionEntry("a", "v1")})
	starting.AddVersionHistory(at(100.5), v.VersionHistory(at(100.5)))
	starting.Replace(at(100.6), []backs.Entry{versionEntry("a", "v1")})
	_, ok := starting.OnlyVersion(at(101), "s", life)
	require.False(t, ok)
}
