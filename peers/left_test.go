package peers

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// silent returns a VM that has no links, by the clock now, with a view that knows servers.
func silent(now *time.Time, servers ...string) *Peers {
	clock := func() time.Time { return *now }
	view := &backs.View{}
	p := &Peers{
		Lease: &Lease{Objects: store.Objects{}, Now: clock, Log: zerolog.Nop()}, Servers: view,
		Config: func() (int, []byte) { return 0, nil }, Current: clock, Now: clock, Log: zerolog.Nop(),
	}
	p.list(*now, servers...)
	return p
}

// list takes in that these are all servers in the store.
func (p *Peers) list(now time.Time, servers ...string) {
	entries := make([]backs.Entry, 0, len(servers))
	for _, id := range servers {
		entries = append(entries, backs.Entry{ID: id, Service: "s", Address: "127.0.0.1:1"})
	}
	p.Servers.Replace(now, entries)
}

// tell lets a VM take in what a link to another one begins with.
func tell(t *testing.T, from, to *Peers) {
	t.Helper()
	from.mu.Lock()
	frames, err := from.wholeView(nil)
	from.mu.Unlock()
	require.NoError(t, err)
	for _, frame := range frames {
		m, err := link.Decode(frame)
		require.NoError(t, err)
		m.FleetState.Loads, m.FleetState.HasLoads = []wire.ServerLoad{}, false
		to.adopt(t.Context(), &uplink{}, m.FleetState)
	}
}

// A server leaves while a VM is out of touch; the VM kept sending to it for two seconds
// after it was linked again, as if the store had been away and its entry had lapsed.
func TestServerThatLeftIsUsedAfterALossOfContact(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		// restarted says that the controller's process began while the VM was out of touch.
		restarted bool
		kept      bool
	}{
		"the controller was in touch all the while": {restarted: false, kept: false},
		"the controller knows a list from just now": {restarted: true, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			controller, vm := silent(&now, "a", "b"), silent(&now, "a", "b")
			now = start.Add(10 * time.Second)
			controller.Servers.Current(now)
			vm.Servers.Current(now)
			vm.Servers.Away()
			now = start.Add(16 * time.Second)
			if tc.restarted {
				controller = silent(&now, "a")
			}
			controller.Servers.Remove(now, "b")
			now = start.Add(17 * time.Second)
			tell(t, controller, vm)
			require.True(t, vm.Servers.Usable(now, "a"))
			require.Equal(t, tc.kept, vm.Servers.Usable(now, "b"))
			now = start.Add(19 * time.Second)
			require.False(t, vm.Servers.Usable(now, "b"))
		})
	}
}
