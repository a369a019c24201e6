package stand_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// Guards against a stand-in that keeps what a restored store has lost, or that goes on as if nothing had been lost.
func TestRestoreOfObjectStore(t *testing.T) {
	o := &stand.ObjectStore{}
	put := func(name, value string, ifVersion int) store.Object {
		got, err := o.Put("k", name, ifVersion, json.RawMessage(value))
		require.NoError(t, err)
		return got
	}
	kept := put("kept", "1", 0)
	changed := put("changed", "1", 0)
	saved := o.Copy()
	lost := put("lost", "1", 0)
	put("changed", "2", changed.Version)
	waiting := make(chan error, 1)
	go func() {
		_, _, err := o.Watch(t.Context(), "k", lost.Version+1, time.Minute)
		waiting <- err
	}()
	o.Restore(saved)
	require.True(t, store.IsGone(<-waiting), "a watch that waits at a revision that is lost")

	require.Equal(t, 1, o.Era())
	list := o.List("k")
	require.Equal(t, store.VersionOf(1, changed.Version), list.Version)
	require.Len(t, list.Items, 2)
	got, err := o.Get("k", "changed")
	require.NoError(t, err)
	require.Equal(t, store.Object{Kind: "k", Name: "changed", Version: store.VersionOf(1, changed.Version), Value: json.RawMessage("1")}, got)
	_, err = o.Get("k", "lost")
	require.True(t, trace.IsNotFound(err))

	watches := map[string]struct {
		from int
		gone bool
	}{
		"before the copy":               {kept.Version, true},
		"at the copy":                   {changed.Version, false},
		"given out again":               {lost.Version, false},
		"lost and not yet given out":    {lost.Version + 1, true},
		"at the copy, in the later era": {list.Version, false},
	}
	again := put("again", "1", 0)
	require.Equal(t, store.VersionOf(1, lost.Version), again.Version, "revisions are given out again")
	for name, c := range watches {
		t.Run(name, func(t *testing.T) {
			_, next, err := o.Watch(t.Context(), "k", c.from, time.Millisecond)
			require.Equal(t, c.gone, store.IsGone(err))
			require.Equal(t, again.Version, next)
		})
	}
	_, err = o.Put("k", "kept", kept.Version, json.RawMessage("2"))
	require.NoError(t, err, "a condition names a revision only")
	o.Restore(saved)
	require.Equal(t, 2, o.Era())
	require.Equal(t, store.VersionOf(2, changed.Version), o.List("k").Version, "a copy can be used again")
}
