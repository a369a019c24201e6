package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// applyFrames applies frames to a VM.
func (p *Peers) applyFrames(t *testing.T, up *uplink, frames [][]byte) {
	t.Helper()
	for _, frame := range frames {
		m, err := link.Decode(frame)
		require.NoError(t, err)
		m.FleetState.Loads, m.FleetState.HasLoads = []wire.ServerLoad{}, false
		p.applyFleetState(t.Context(), up, m.FleetState)
	}
}

// frames returns the frames with the full state.
func (p *Peers) frames(t *testing.T) [][]byte {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	frames, _, err := p.fullState(nil)
	require.NoError(t, err)
	return frames
}

// Guards against a proof by a frame that was written before the request arrived and is read after that: it lay in the
// hub's queue or on the link, or its VM stood still.
func TestFrameReadLateIsNoNewerThanItsState(t *testing.T) {
	const held = 5 * time.Second
	tests := map[string]func(t *testing.T, now *time.Time, controller, vm *Peers){
		"on the link": func(t *testing.T, now *time.Time, controller, vm *Peers) {
			frames := controller.frames(t)
			*now = now.Add(held)
			vm.applyFrames(t, &uplink{}, frames)
		},
		"in the queue": func(t *testing.T, now *time.Time, controller, vm *Peers) {
			d := newDownlink(&link.Conn{})
			for _, frame := range controller.frames(t) {
				d.enqueue(frame)
			}
			*now = now.Add(held)
			for len(d.frames) > 0 {
				vm.applyFrames(t, &uplink{}, [][]byte{<-d.frames})
			}
		},
		"on the link to the relay": func(t *testing.T, now *time.Time, controller, vm *Peers) {
			relay := newUnlinkedVM(now, "a")
			relay.ConfirmedAt = func() time.Time { return time.Time{} }
			frames := controller.frames(t)
			*now = now.Add(held)
			relay.applyFrames(t, &uplink{}, frames)
			vm.applyFrames(t, &uplink{}, relay.frames(t))
		},
	}
	for name, deliver := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			written := now
			controller, vm := newUnlinkedVM(&now, "a"), newUnlinkedVM(&now, "a")
			deliver(t, &now, controller, vm)
			require.False(t, vm.Servers.CurrentAt().After(written))
		})
	}
}
