package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// started returns the entry of the start of a server at a time.
func started(name string, born time.Time) backs.Entry {
	return backs.Entry{ID: backs.StartID(name, born), Name: name, Born: born, Service: "s", Address: "127.0.0.1:1", Models: []backs.Held{{Model: "m"}}}
}

// A server leaves or crashes and starts again under its name. Taken for the one
// before, it gets no work for good since that one was draining, or requests for models
// that it does not hold any more. The new start is a server of its own, at once; a
// heartbeat of the old one that comes late changes nothing.
func TestAServerStartsAgainUnderItsName(t *testing.T) {
	var v backs.View
	before, after := started("a", at(-10)), started("a", at(3))
	v.Replace(at(0), []backs.Entry{before})
	leaving := before
	leaving.Draining = true
	v.Put(at(1), leaving)
	after.Models = nil
	v.Put(at(4), after)
	list := v.Serving(at(4), "s")
	require.Len(t, list, 1)
	require.Equal(t, after, list[0], "nothing of the start before")
	require.False(t, v.Usable(at(4), before.ID))
	v.Put(at(5), before)
	require.Equal(t, []backs.Entry{after}, v.Serving(at(5), "s"), "a late heartbeat of the start before")
	v.Remove(at(6), "a")
	require.Empty(t, v.Serving(at(6), "s"))
}

// The controller finds by a report that a server has started again, before the new
// entry comes; the VMs are told of both.
func TestAnEndedStartIsToldToOthers(t *testing.T) {
	var v, other backs.View
	before, after := started("a", at(-10)), started("a", at(3))
	v.Replace(at(0), []backs.Entry{before})
	states, revision := v.Since(at(0), 0)
	other.Adopt(at(0), backs.Word{States: states, Full: true})
	v.Ended(at(4), before.ID)
	states, revision = v.Since(at(4), revision)
	other.Adopt(at(4), backs.Word{States: states, Full: false})
	require.Empty(t, other.Serving(at(4), "s"))
	v.Put(at(5), after)
	states, _ = v.Since(at(5), revision)
	other.Adopt(at(5), backs.Word{States: states, Full: false})
	require.Equal(t, []backs.Entry{after}, other.Serving(at(5), "s"))
	states[0].Entry = before
	other.Adopt(at(6), backs.Word{States: states, Full: false})
	require.Equal(t, []backs.Entry{after}, other.Serving(at(6), "s"), "told late of the start before")
}

// Somebody else overwrites a server's entry with what names no server. Requests sent
// by what it says reach nothing, or another service. The server gets no work until
// its next heartbeat, then again at once; the other servers are not touched.
func TestAnUnreadableEntryNamesNoServer(t *testing.T) {
	var v, other backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	tests := map[string]func(now time.Time){
		"changed": func(time.Time) { v.Unreadable("a") },
		"listed":  func(now time.Time) { v.Replace(now, []backs.Entry{entry("b")}, "a", "never seen") },
	}
	now := at(1)
	for name, harm := range tests {
		harm(now)
		require.False(t, v.Usable(now, "a"), name)
		require.True(t, v.Usable(now, "b"), name)
		require.Len(t, v.Listed(now), 2, name)
		states, _ := v.Since(now, 0)
		other.Adopt(now, backs.Word{States: states, Full: true})
		require.False(t, other.Usable(now, "a"), name)
		v.Put(now, entry("a"))
		require.True(t, v.Usable(now, "a"), name)
		states, _ = v.Since(now, 0)
		other.Adopt(now, backs.Word{States: states, Full: true})
		require.True(t, other.Usable(now, "a"), name)
		now = now.Add(time.Second)
	}
}
