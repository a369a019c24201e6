package peers

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/places"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// startPlaceFleet starts VMs whose service has one server of six slots, and waits for their links. It returns the VMs without the
// controller, and the controller.
func startPlaceFleet(t *testing.T, count int) (vms []*testVM, controller *testVM) {
	t.Helper()
	all := startFleet(t, count)
	for _, v := range all {
		v.Servers.Put(clock.Now(), backs.Entry{ID: "s1", Service: "s", Domain: "d0", SoftwareVersion: "v1", Slots: 6})
	}
	index := -1
	require.Eventually(t, func() bool {
		if count >= minTreeVMs {
			controller, _, settled := topology(all)
			index = controller
			return settled
		}
		linked := 0
		for i, v := range all {
			up, owner := v.grantor(clock.Now())
			if owner {
				index = i
			} else if up != nil {
				linked++
			}
		}
		return linked == count-1
	}, testTimeout, 10*time.Millisecond)
	return slices.Concat(all[:index], all[index+1:]), all[index]
}

// placeAt requests a place until a call is answered in time.
func placeAt(t *testing.T, v *testVM, key uint64) places.Answer {
	t.Helper()
	var answer places.Answer
	require.Eventually(t, func() bool {
		v.mu.Lock()
		v.placesSuspendedUntil = time.Time{}
		v.mu.Unlock()
		a, err := v.Place(t.Context(), "s", places.Request{Key: key, Objective: 300 * time.Millisecond, Remaining: 300 * time.Millisecond})
		answer = a
		return err == nil && a.Place != 0
	}, testTimeout, 5*time.Millisecond)
	return answer
}

// Guards against VMs, also those behind relays, that get no places from the owner, and against ends that do not reach it.
func TestPlacesOfFleet(t *testing.T) {
	for name, count := range map[string]int{"linked to the controller": 3, "with relays": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			vms, controller := startPlaceFleet(t, count)
			for i := range 40 {
				v := vms[i%len(vms)]
				a := placeAt(t, v, uint64(i+1))
				require.Equal(t, "s1", a.Server)
				require.True(t, controller.places.Open(a.Place))
				v.EndPlace(places.End{Place: a.Place, Took: 10 * time.Millisecond})
				require.Eventually(t, func() bool { return !controller.places.Open(a.Place) }, testTimeout, time.Millisecond)
			}
			own := placeAt(t, controller, 1000)
			controller.EndPlace(places.End{Place: own.Place, Took: 10 * time.Millisecond})
			require.False(t, controller.places.Open(own.Place))
		})
	}
}

// Guards against requests that are held up by a controller that has crashed, and against VMs that get no places from its successor.
func TestPlacesAfterControllerCrash(t *testing.T) {
	vms, controller := startPlaceFleet(t, 4)
	placeAt(t, vms[0], 1)
	controller.crash()
	require.Eventually(t, func() bool {
		_, err := vms[0].Place(t.Context(), "s", places.Request{Key: 2, Objective: time.Second, Remaining: time.Second})
		return err != nil
	}, testTimeout, time.Millisecond)
	_, err := vms[0].Place(t.Context(), "s", places.Request{Key: 2, Objective: time.Second, Remaining: time.Second})
	require.ErrorIs(t, err, errNoPlaceOwner, "no call is made for a second")
	placeAt(t, vms[0], 3)
}

// Guards against a call for a place that an older controller takes for a permit, or that breaks the link to it.
func TestPlaceCallAtOlderController(t *testing.T) {
	vms, controller := startPlaceFleet(t, 2)
	_, err := controller.requestPermit(t.Context(), "")
	require.ErrorIs(t, err, errUnknownLimit, "a build that does not know places sees no server")
	v := vms[0]
	v.mu.Lock()
	up := v.uplink
	v.mu.Unlock()
	m, err := up.call(t.Context(), func(call int) *wire.Message {
		return &wire.Message{PermitCall: &wire.PermitCall{Call: call}}
	})
	require.NoError(t, err)
	require.Equal(t, -1, m.PermitReply.WaitUs)
	require.Nil(t, m.PermitReply.ZzPlace)
}
