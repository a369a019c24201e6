package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Guards against a server that the hub lists and a confirmed VM does not have: the hub had collected that it left before,
// and queued that after the full state in which it is back.
func TestChangesOlderThanTheFullStateAreNotApplied(t *testing.T) {
	tests := map[string]struct {
		// older is set if the hub is of an older build, which does not tell revisions.
		older bool
		known bool
	}{"this build": {false, true}, "older build": {true, false}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			controller, vm := newUnlinkedVM(&now, "a"), newUnlinkedVM(&now)
			put := func(id, version string) {
				controller.Servers.Put(now, backs.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", SoftwareVersion: version})
			}
			before := controller.Servers.Revision()
			put("b", "v2")
			controller.Servers.Remove(now, "b")
			put("c", "v3")
			states, revision := controller.Servers.Since(now, before)
			put("b", "v2")
			controller.Servers.Remove(now, "c")
			full := controller.frames(t)
			late := controller.newFleetState(states)
			late.Vms, late.ZzzzzzServerRevision = 7, revision
			if tc.older {
				late.ZzzzzzServerRevision = 0
			}
			up := &uplink{}
			vm.applyFrames(t, up, full)
			vm.Servers.MarkCurrent(now)
			vm.applyFrames(t, up, [][]byte{encodeState(t, late)})
			_, known := vm.Servers.Entry("b")
			require.Equal(t, tc.known, known)
			require.NoError(t, up.applied.await(t.Context(), controller.Servers.Revision()), "the link is not set back")
			require.Equal(t, 7, vm.VMs(), "the rest of the frame is applied")
			require.True(t, vm.Servers.SeveralVersions(now, "s", time.Second))

			before = controller.Servers.Revision()
			put("d", "v1")
			states, revision = controller.Servers.Since(now, before)
			next := controller.newFleetState(states)
			next.ZzzzzzServerRevision = revision
			vm.applyFrames(t, up, [][]byte{encodeState(t, next)})
			_, known = vm.Servers.Entry("d")
			require.True(t, known)
		})
	}
}

// Guards against a proof that a version was the only one by a VM that has seen, but not applied, that another one has gone.
func TestChangesNotAppliedTellTheirVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	controller, vm := newUnlinkedVM(&now, "a"), newUnlinkedVM(&now, "a")
	before := controller.Servers.Revision()
	controller.Servers.Put(now, backs.Entry{ID: "b", Service: "s", Address: "127.0.0.1:1", SoftwareVersion: "v2"})
	states, revision := controller.Servers.Since(now, before)
	controller.Servers.Remove(now, "b")
	late := controller.newFleetState(states)
	late.ZzzzzzServerRevision = revision
	up := &uplink{}
	vm.applyFrames(t, up, controller.frames(t))
	require.False(t, vm.Servers.SeveralVersions(now, "s", time.Second))
	vm.applyFrames(t, up, [][]byte{encodeState(t, late)})
	_, known := vm.Servers.Entry("b")
	require.False(t, known)
	require.True(t, vm.Servers.SeveralVersions(now, "s", time.Second))
}

func encodeState(t *testing.T, s *wire.FleetState) []byte {
	t.Helper()
	frame, err := link.Encode(&wire.Message{FleetState: s})
	require.NoError(t, err)
	return frame
}
