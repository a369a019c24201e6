package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A server accepts the unloading of a model and keeps listing it until the last request has ended,
// some seconds later. VMs that were notified only once treated the server's next entry as newer and
// sent requests there again. They must be notified until the model is unloaded.
func TestUnloadingModelIsListedUntilGone(t *testing.T) {
	now := time.Unix(1000, 0)
	e := backs.Entry{ID: "a", Models: []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}}
	c := &Controller{servers: map[string]*Server{"a": NewServer(now, e), "b": NewServer(now, backs.Entry{ID: "b"})}}
	s := c.servers["a"]
	s.ApplyResult(now, now, &routes.Engine{}, Order{Unload: true, Model: "m1"}, Accepted, 0)

	later := now.Add(3 * time.Second)
	changed := c.ChangedSince(later, later.Add(-100*time.Millisecond))
	require.Len(t, changed, 1)
	require.Equal(t, "a", changed[0].Server)
	require.Equal(t, []backs.LoadedModel{{Model: "m2"}}, changed[0].Models)

	s.ApplyReport(later, later.Add(-50*time.Millisecond), Report{Models: []backs.LoadedModel{{Model: "m2"}}, Sequence: 1})
	later = later.Add(time.Second)
	require.Empty(t, c.ChangedSince(later, later.Add(-100*time.Millisecond)))
}

// Guards against prefill by priority that stays in the sums after its VM has reported again or has left.
func TestLoadsByPriorityAddUp(t *testing.T) {
	const ms = time.Millisecond
	load := func(parts ...time.Duration) map[string]pick.Load {
		return map[string]pick.Load{"a": pick.Load{Running: 1, PrefillTime: 100 * ms}.WithPrefill(parts)}
	}
	c := &Controller{}
	now := time.Unix(1000, 0)
	c.RecordVMReport(now, "v1", load(0, 100*ms), nil)
	c.RecordVMReport(now, "v2", load(0, 40*ms, 0, 60*ms), nil)
	c.RecordVMReport(now, "old", load(), nil)
	c.RecordVMReport(now, "v1", load(0, 0, 0, 30*ms), nil)
	sum := c.Loads()["a"]
	require.Equal(t, pick.Load{Running: 3, PrefillTime: 300 * ms}.WithPrefill([]time.Duration{170 * ms, 40 * ms, 0, 90 * ms}), sum)
	c.RemoveVM("v1")
	c.RemoveVM("old")
	require.Equal(t, load(0, 40*ms, 0, 60*ms), c.Loads())
	c.RemoveVM("v2")
	require.Empty(t, c.Loads())
}

// Guards against a loaded model missing from ChangedSince when the previous call fell between the
// arrival of the server's entry and the sync that applied it.
func TestChangedSinceIncludesLoadedModel(t *testing.T) {
	c, _ := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.syncServers(now, "s")
	c.servers["a"].ApplyResult(now, now, &routes.Engine{}, Order{Model: "m2"}, Accepted, time.Second)

	received := now.Add(1200 * time.Millisecond)
	c.Servers.Put(received, backs.Entry{ID: "a", Service: "s", Models: []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}})
	previous := received.Add(50 * time.Millisecond)
	c.ChangedSince(previous, received.Add(-50*time.Millisecond))
	synced := received.Add(90 * time.Millisecond)
	c.syncServers(synced, "s")
	changed := c.ChangedSince(synced, previous)
	require.Len(t, changed, 1)
	require.Equal(t, []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}, changed[0].Models)
}
