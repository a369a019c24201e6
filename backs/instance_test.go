package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// started returns the entry of a server instance that started at the given time.
func started(name string, startedAt time.Time) backs.Entry {
	return backs.Entry{ID: backs.InstanceID(name, startedAt), Name: name, StartedAt: startedAt, Service: "s", Address: "127.0.0.1:1", Models: []backs.LoadedModel{{Model: "m"}}}
}

// A server restarts under the same name after draining or a crash. If the view treats it as
// the same instance, it gets no requests because the old one was draining, or requests for
// models that are no longer loaded. The new instance must be usable at once, and a late
// heartbeat of the old instance must change nothing.
func TestRestartUnderSameName(t *testing.T) {
	var v backs.View
	before, after := started("a", at(-10)), started("a", at(3))
	v.Replace(at(0), []backs.Entry{before})
	draining := before
	draining.Draining = true
	v.Put(at(1), draining)
	after.Models = nil
	v.Put(at(4), after)
	list := v.Serving(at(4), "s")
	require.Len(t, list, 1)
	require.Equal(t, after, list[0], "no data of the previous instance")
	require.False(t, v.Usable(at(4), before.ID))
	v.Put(at(5), before)
	require.Equal(t, []backs.Entry{after}, v.Serving(at(5), "s"), "a late heartbeat of the previous instance")
	v.Remove(at(6), "a")
	require.Empty(t, v.Serving(at(6), "s"))
}

// A report shows the controller that a server has restarted before the new entry arrives.
// Other VMs must receive both the end of the old instance and the new entry.
func TestEndedInstanceReachesOtherVMs(t *testing.T) {
	var v, other backs.View
	before, after := started("a", at(-10)), started("a", at(3))
	v.Replace(at(0), []backs.Entry{before})
	states, revision := v.Since(at(0), 0)
	other.Merge(at(0), backs.Update{States: states, Full: true})
	v.MarkEnded(at(4), before.ID)
	states, revision = v.Since(at(4), revision)
	other.Merge(at(4), backs.Update{States: states, Full: false})
	require.Empty(t, other.Serving(at(4), "s"))
	v.Put(at(5), after)
	states, _ = v.Since(at(5), revision)
	other.Merge(at(5), backs.Update{States: states, Full: false})
	require.Equal(t, []backs.Entry{after}, other.Serving(at(5), "s"))
	states[0].Entry = before
	other.Merge(at(6), backs.Update{States: states, Full: false})
	require.Equal(t, []backs.Entry{after}, other.Serving(at(6), "s"), "a late update about the previous instance")
}

// Another program overwrites a server's entry with invalid data. Requests that follow it
// would reach no server or another service. The server must get no requests until its next
// heartbeat rewrites the entry, and then at once. Other servers are unaffected.
func TestUnreadableEntry(t *testing.T) {
	var v, other backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	tests := map[string]func(now time.Time){
		"single update": func(time.Time) { v.MarkUnreadable("a") },
		"full list":     func(now time.Time) { v.Replace(now, []backs.Entry{entry("b")}, "a", "never seen") },
	}
	now := at(1)
	for name, breakEntry := range tests {
		breakEntry(now)
		require.False(t, v.Usable(now, "a"), name)
		require.True(t, v.Usable(now, "b"), name)
		require.Len(t, v.StoredEntries(now), 2, name)
		states, _ := v.Since(now, 0)
		other.Merge(now, backs.Update{States: states, Full: true})
		require.False(t, other.Usable(now, "a"), name)
		v.Put(now, entry("a"))
		require.True(t, v.Usable(now, "a"), name)
		states, _ = v.Since(now, 0)
		other.Merge(now, backs.Update{States: states, Full: true})
		require.True(t, other.Usable(now, "a"), name)
		now = now.Add(time.Second)
	}
}
