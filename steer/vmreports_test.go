package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
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
