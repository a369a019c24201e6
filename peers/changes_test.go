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

// newUnlinkedVM returns a VM without links whose clock is now and whose view lists servers.
func newUnlinkedVM(now *time.Time, servers ...string) *Peers {
	clock := func() time.Time { return *now }
	view := &backs.View{}
	p := &Peers{
		Lease: &Lease{Objects: store.Objects{}, Now: clock, Log: zerolog.Nop()}, Servers: view, Poison: &poison.Tracker{}, Limits: &limit.Limits{},
		Config: func() (int, []byte) { return 0, nil }, ConfirmedAt: clock, Now: clock, Log: zerolog.Nop(),
	}
	p.setServers(*now, servers...)
	return p
}

// setServers replaces the list of servers as read from the store.
func (p *Peers) setServers(now time.Time, servers ...string) {
	entries := make([]backs.Entry, 0, len(servers))
	for _, id := range servers {
		entries = append(entries, backs.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", SoftwareVersion: "v1"})
	}
	p.Servers.Replace(now, entries)
}

// applyFullState applies the frames that from sends first on a new link to the VM to.
func applyFullState(t *testing.T, from, to *Peers) {
	t.Helper()
	from.mu.Lock()
	frames, _, err := from.fullState(nil)
	from.mu.Unlock()
	require.NoError(t, err)
	for _, frame := range frames {
		m, err := link.Decode(frame)
		require.NoError(t, err)
		m.FleetState.Loads, m.FleetState.HasLoads = []wire.ServerLoad{}, false
		to.applyFleetState(t.Context(), &uplink{}, m.FleetState)
	}
}

// Guards against a VM sending requests to a removed server for 2 s after it has reconnected. The
// server was removed while the VM was disconnected, and the VM treated its entry as one that had
// expired while the store was unreachable.
func TestRemovedServerAfterReconnect(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		// restarted is set if the controller's process started while the VM was disconnected.
		restarted bool
		usable    bool
	}{
		"controller always connected":   {restarted: false, usable: false},
		"controller has just restarted": {restarted: true, usable: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			controller, vm := newUnlinkedVM(&now, "a", "b"), newUnlinkedVM(&now, "a", "b")
			now = start.Add(10 * time.Second)
			controller.Servers.MarkCurrent(now)
			vm.Servers.MarkCurrent(now)
			vm.Servers.MarkStoreUnreachable()
			now = start.Add(16 * time.Second)
			if tc.restarted {
				controller = newUnlinkedVM(&now, "a")
			}
			controller.Servers.Remove(now, "b")
			now = start.Add(17 * time.Second)
			applyFullState(t, controller, vm)
			require.True(t, vm.Servers.Usable(now, "a"))
			require.Equal(t, tc.usable, vm.Servers.Usable(now, "b"))
			now = start.Add(19 * time.Second)
			require.False(t, vm.Servers.Usable(now, "b"))
		})
	}
}

// Guards against losing changes at the start of a term. A VM links to the new controller, and a server
// is removed and the configuration changes before the controller starts broadcasting. The VM never
// received these changes.
func TestChangesBeforeBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		p := newUnlinkedVM(&now, "a")
		p.Now = time.Now
		p.Lease = &Lease{Name: "vm", Address: "vm:1", Objects: (&stand.ObjectStore{}).Client(), Duration: time.Hour, Now: time.Now, Log: zerolog.Nop()}
		p.Balancer = &pick.Balancer{}
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
		removed, revision := false, 0
		for len(d.frames) > 0 {
			m, err := link.Decode(<-d.frames)
			require.NoError(t, err)
			if m.ConfigState != nil {
				revision = m.ConfigState.Revision
				continue
			}
			for _, s := range m.FleetState.Servers {
				removed = removed || s.Server == "a" && s.Gone
			}
		}
		require.True(t, removed)
		require.Equal(t, 2, revision)
		cancel()
	})
}
