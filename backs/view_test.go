package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func entry(id string) backs.Entry {
	return backs.Entry{ID: id, Service: "s", Address: "127.0.0.1:1"}
}

// A heartbeat that a server sent before it began to drain arrives late and reports it as
// ready. Requests sent there would be cut off when it exits. Draining must never be reset,
// so the late heartbeat changes nothing.
func TestLateHeartbeatAfterDraining(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a")})
	require.True(t, v.Usable(at(0), "a"))
	e := entry("a")
	e.Draining = true
	v.Put(at(1), e)
	require.False(t, v.Usable(at(1), "a"))
	v.Put(at(2), entry("a"))
	require.False(t, v.Usable(at(2), "a"))
	require.False(t, v.Usable(at(20), "a"))
}

// The entry of a server that never reports draining is removed, and a late heartbeat makes
// it reappear for some seconds. Requests sent there would be cut off. The server must wait
// until its entry has outlived a late heartbeat.
func TestReappearedServerWaits(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a")})
	v.Remove(at(1), "a")
	require.False(t, v.Usable(at(1), "a"))
	v.Put(at(2), entry("a"))
	require.False(t, v.Usable(at(3), "a"))
	require.True(t, v.Usable(at(6.1), "a"), "a live server that was cut off gets requests again")
}

// The store is unreachable and the controller's process restarts during the outage. When
// the store recovers, the controller lists only the few servers whose entries have
// reappeared, and sends this as the full list. A VM whose view includes the other servers
// must keep them: they reappear within two seconds, and a removed server that reappears
// gets no requests for four more.
func TestFullListAfterControllerRestart(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b"), entry("c")})
	v.MarkStoreUnreachable()
	v.Merge(at(10), backs.Update{States: []backs.State{{Entry: entry("a")}}, Full: true})
	require.Len(t, v.Serving(at(10), "s"), 3)
	v.Merge(at(11), backs.Update{States: []backs.State{{Entry: entry("b")}}, Full: false})
	require.Len(t, v.Serving(at(11.9), "s"), 3)
	require.Len(t, v.Serving(at(12.1), "s"), 2, "servers still missing are removed")
	v.Merge(at(20), backs.Update{States: []backs.State{{Entry: entry("a")}}, Full: true})
	require.Len(t, v.Serving(at(20), "s"), 1, "without an outage the list applies at once")
}

// The store is unreachable for longer than an entry lasts, and its list is empty just after
// it recovers. Removing the servers at once would make every request fail. They must be
// kept for two seconds; those still missing are then removed.
func TestExpiredEntriesAreKept(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.MarkStoreUnreachable()
	v.MarkCurrent(at(10))
	v.Replace(at(10), nil)
	require.Len(t, v.Serving(at(10.1), "s"), 2)
	v.Put(at(11), entry("a"))
	require.Len(t, v.Serving(at(11.9), "s"), 2)
	require.Len(t, v.Serving(at(12.1), "s"), 1)
	require.True(t, v.Usable(at(12.1), "a"))
	require.False(t, v.Usable(at(12.1), "b"))
}

// Requests reach a server that has exited. The log must show whether its entry was kept
// because it may reappear, and until when.
func TestMissingServersAreReported(t *testing.T) {
	var reported []backs.Missing
	v := backs.View{OnMissing: func(m backs.Missing) { reported = append(reported, m) }}
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.Remove(at(1), "a")
	require.Equal(t, []backs.Missing{{ID: "a"}}, reported)
	v.MarkStoreUnreachable()
	v.MarkCurrent(at(10))
	v.Replace(at(10), nil)
	v.Replace(at(11), nil)
	require.Equal(t, []backs.Missing{{ID: "a"}, {ID: "b", Kept: true}}, reported)
	require.Empty(t, v.All(at(12.1)))
	require.Equal(t, []backs.Missing{{ID: "a"}, {ID: "b", Kept: true}, {ID: "b"}}, reported)
}

// A VM loses contact with the store again right after it recovered. Restarting the grace
// period at each recovery kept an exited server in use for two seconds from each one.
func TestShortOutageKeepsGracePeriod(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.MarkStoreUnreachable()
	v.MarkCurrent(at(10))
	v.Remove(at(10.5), "a")
	v.MarkStoreUnreachable()
	v.MarkCurrent(at(11.9))
	require.True(t, v.Usable(at(11.9), "a"))
	require.False(t, v.Usable(at(12.1), "a"))
}

// A draining server whose entry expires during a store outage must not be kept, because it
// was about to exit.
func TestDrainingEntriesAreNotKept(t *testing.T) {
	var v backs.View
	e := entry("a")
	e.Draining = true
	v.Replace(at(0), []backs.Entry{e})
	v.MarkStoreUnreachable()
	v.MarkCurrent(at(5))
	v.Replace(at(5), nil)
	require.Empty(t, v.All(at(5)))
}

func TestOlderModelsAreIgnored(t *testing.T) {
	var v backs.View
	v.Put(at(5), entry("a"))
	v.SetModels(at(4), "a", []backs.LoadedModel{{Model: "old"}})
	require.False(t, v.All(at(5))[0].HasModel("old", ""))
	v.SetModels(at(6), "a", []backs.LoadedModel{{Model: "m", Adapters: []string{"a1"}}})
	got := v.All(at(6))[0]
	require.True(t, got.HasModel("m", "a1"))
	require.False(t, got.HasModel("m", "a2"))
}

func TestChangedChannel(t *testing.T) {
	var v backs.View
	changed := v.Changed()
	select {
	case <-changed:
		require.Fail(t, "closed without a change")
	default:
	}
	v.Put(at(0), entry("a"))
	<-changed
}

// The controller orders a model to be unloaded and informs the VMs. The server lists the
// model until its last request has ended, and meanwhile rewrites its entry for another
// reason. The rewritten entry must not make VMs send requests for the model, because the
// server refuses them.
func TestEntryListsUnloadingModel(t *testing.T) {
	listed := entry("a")
	listed.Models = []backs.LoadedModel{{Model: "m1", Version: 1}, {Model: "m2", Version: 1}}
	var v backs.View
	v.Replace(at(0), []backs.Entry{listed})
	reported := []backs.LoadedModel{{Model: "m2", Adapters: []string{"a1"}}}
	v.SetModels(at(1), "a", reported)
	v.Put(at(1.5), listed)
	hasModel := func(now float64, model, adapter string) bool {
		return v.Serving(at(now), "s")[0].HasModel(model, adapter)
	}
	require.False(t, hasModel(1.5, "m1", ""))
	require.True(t, hasModel(1.5, "m2", "a1"))

	v.SetModels(at(3), "a", reported)
	_, revision := v.Since(at(3), 0)
	v.SetModels(at(3.1), "a", reported)
	states, _ := v.Since(at(3.1), revision)
	require.Empty(t, states, "an unchanged observation is not sent again")
	v.Put(at(5), listed)
	require.False(t, hasModel(5, "m1", ""), "a renewed observation takes precedence over the entry")
	v.Put(at(8), listed)
	require.True(t, hasModel(8, "m1", ""), "without newer observations the entry applies")
}
