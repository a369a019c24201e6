package peers

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// silent returns a VM that has no links, by the clock now, with a view that knows servers.
func silent(now *time.Time, servers ...string) *Peers {
	clock := func() time.Time { return *now }
	view := &backs.View{}
	p := &Peers{
		Lease: &Lease{Objects: store.Objects{}, Now: clock, Log: zerolog.Nop()}, Servers: view, Poison: &poison.Tracker{}, Limits: &limit.Limits{},
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
	frames, _, err := from.wholeView(nil)
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
			controller.Servers.MarkCurrent(now)
			vm.Servers.MarkCurrent(now)
			vm.Servers.MarkStoreDown()
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

// A VM links to a controller whose term has just begun, and a server leaves and the
// configuration changes before the controller begins to tell changes; the VM was never told.
func TestChangeAsATermBeginsIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		p := silent(&now, "a")
		p.Now = time.Now
		p.Lease = &Lease{Name: "vm", Address: "vm:1", Objects: (&stand.Objects{}).Client(), Duration: time.Hour, Now: time.Now, Log: zerolog.Nop()}
		p.Book = &pick.Book{}
		p.Controller = &steer.Controller{Servers: p.Servers, Now: time.Now}
		config := 1
		p.Config = func() (int, []byte) { return config, nil }
		p.ConfigChanged = func() <-chan struct{} { return nil }
		for !p.Lease.Held(time.Now()) {
			p.Lease.Step(t.Context())
		}
		d := &downlink{vm: "other", frames: make(chan []byte, frameQueue)}
		require.NoError(t, p.addLink(d))
		p.Servers.Remove(time.Now(), "a")
		config = 2

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.broadcast(ctx, nil)
		time.Sleep(time.Second)
		told, configured := false, 0
		for len(d.frames) > 0 {
			m, err := link.Decode(<-d.frames)
			require.NoError(t, err)
			if m.ConfigState != nil {
				configured = m.ConfigState.Revision
				continue
			}
			for _, s := range m.FleetState.Servers {
				told = told || s.Server == "a" && s.Gone
			}
		}
		require.True(t, told)
		require.Equal(t, 2, configured)
		cancel()
	})
}
