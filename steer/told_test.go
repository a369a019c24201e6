package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A server takes the order to drop a model, and lists it until the last run has ended, some
// seconds later. Told once that it is dropped, VMs took the next entry of the server for
// newer and sent there again; so they are told until it is gone.
func TestADroppedModelIsToldUntilItIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	e := backs.Entry{ID: "a", Models: []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}}
	c := &Controller{servers: map[string]*Server{"a": NewServer(now, e), "b": NewServer(now, backs.Entry{ID: "b"})}}
	s := c.servers["a"]
	s.Answered(now, now, &routes.Engine{}, Order{Unload: true, Model: "m1"}, Accepted, 0)

	later := now.Add(3 * time.Second)
	shown := c.ShownSince(later, later.Add(-100*time.Millisecond))
	require.Len(t, shown, 1)
	require.Equal(t, "a", shown[0].Server)
	require.Equal(t, []backs.LoadedModel{{Model: "m2"}}, shown[0].Models)

	s.Reported(later, later.Add(-50*time.Millisecond), Report{Models: []backs.LoadedModel{{Model: "m2"}}, Sequence: 1})
	later = later.Add(time.Second)
	require.Empty(t, c.ShownSince(later, later.Add(-100*time.Millisecond)))
}

// Guards against a loaded model missing from ShownSince when the previous call
// fell between the arrival of the server's entry and the sync that applied it.
func TestShownSinceIncludesLoadedModel(t *testing.T) {
	c, _ := testController(func(time.Time) (int, bool) { return 5, true })
	now := c.Now()
	c.sync(now, "s")
	c.servers["a"].Answered(now, now, &routes.Engine{}, Order{Model: "m2"}, Accepted, time.Second)

	received := now.Add(1200 * time.Millisecond)
	c.Servers.Put(received, backs.Entry{ID: "a", Service: "s", Models: []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}})
	previous := received.Add(50 * time.Millisecond)
	c.ShownSince(previous, received.Add(-50*time.Millisecond))
	synced := received.Add(90 * time.Millisecond)
	c.sync(synced, "s")
	shown := c.ShownSince(synced, previous)
	require.Len(t, shown, 1)
	require.Equal(t, []backs.LoadedModel{{Model: "m1"}, {Model: "m2"}}, shown[0].Models)
}
