package peers

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// startConfirmFleet starts VMs of which only the controller follows the store. onCall is called with the controller for
// each call to the store, before the answer.
func startConfirmFleet(t *testing.T, count int, onCall func(controller *testVM) error) (vms []*testVM, controller *testVM) {
	t.Helper()
	all := startFleetWith(t, count, func(_ int, v *testVM) {
		v.ConfirmFromStore = func(context.Context) error {
			asked := clock.Now()
			if !v.Leading() {
				return errNoStore
			}
			if err := onCall(v); err != nil {
				return err
			}
			v.Servers.MarkCurrent(asked)
			return nil
		}
	})
	index := -1
	require.Eventually(t, func() bool {
		linked := 0
		for i, v := range all {
			v.mu.Lock()
			if v.uplink != nil && v.uplink.complete {
				linked++
			}
			v.mu.Unlock()
			if v.Leading() {
				index = i
			}
		}
		settled := true
		if count >= minTreeVMs {
			_, _, settled = topology(all)
		}
		return settled && index >= 0 && linked == count-1
	}, testTimeout, 10*time.Millisecond)
	return slices.Concat(all[:index], all[index+1:]), all[index]
}

// Guards against a confirmation that overtakes the frames with the changes that it is about, directly and over a relay.
func TestConfirmationWaitsForItsChanges(t *testing.T) {
	for name, count := range map[string]int{"linked to the controller": 3, "with relays": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			vms, _ := startConfirmFleet(t, count, func(controller *testVM) error {
				id := fmt.Sprint("new-", calls.Add(1))
				controller.Servers.Put(clock.Now(), backs.Entry{ID: id, Service: "s", SoftwareVersion: "v2"})
				return nil
			})
			for _, v := range vms {
				before := calls.Load()
				arrived := clock.Now()
				require.Eventually(t, func() bool { return v.ConfirmServers(t.Context(), arrived) == nil }, testTimeout, time.Millisecond)
				require.True(t, v.Servers.CurrentAt().After(arrived))
				_, known := v.Servers.Entry(fmt.Sprint("new-", before+1))
				require.True(t, known)
			}
		})
	}
}

// Guards against a VM that takes its list for confirmed although its hub does not answer that: it is an older build, or is
// cut off from the store.
func TestNoConfirmationWithoutStore(t *testing.T) {
	for name, count := range map[string]int{"linked to the controller": 3, "with relays": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			vms, controller := startConfirmFleet(t, count, func(*testVM) error { return errStorePartitioned })
			for _, v := range append(vms[:2:2], controller) {
				arrived := clock.Now()
				require.Error(t, v.ConfirmServers(t.Context(), arrived))
				require.False(t, v.Servers.CurrentAt().After(arrived))
			}
			v := vms[0]
			v.mu.Lock()
			up := v.uplink
			v.mu.Unlock()
			_, err := up.call(t.Context(), func(call int) *wire.Message {
				return &wire.Message{PermitCall: &wire.PermitCall{Call: call}} // An older build skips the rest of the question.
			})
			require.NoError(t, err)
		})
	}
}

// Guards against a VM that has just started, or missed versions that came and went, and does not learn of them with the
// confirmation.
func TestConfirmationTellsVersionsThatHaveGone(t *testing.T) {
	vms, controller := startConfirmFleet(t, 3, func(*testVM) error { return nil })
	controller.Servers.AddVersionHistory(clock.Now(), backs.VersionHistory{CompleteFor: time.Hour, Gone: []backs.GoneVersion{{Service: "s", Version: "v0", Ago: time.Minute}}})
	v := vms[0]
	require.Eventually(t, func() bool { return v.ConfirmServers(t.Context(), clock.Now()) == nil }, testTimeout, time.Millisecond)
	version, ok := v.Servers.OnlyVersion(clock.Now(), "s", 30*time.Second)
	require.True(t, ok)
	require.Equal(t, "v1", version)
	require.True(t, v.Servers.SeveralVersions(clock.Now(), "s", 2*time.Minute))
}

// Guards against a confirmation that is shared by a request which arrived after its question.
func TestConfirmationIsSharedByEarlierRequestsOnly(t *testing.T) {
	var g confirmGroup
	asked := make(chan time.Time, 10)
	answer := make(chan error)
	confirm := func(context.Context) error {
		asked <- clock.Now()
		return <-answer
	}
	results := make(chan error, 3)
	run := func(by time.Time) { results <- g.run(t.Context(), clock.Now, by, confirm) }
	go run(clock.Now())
	first := <-asked
	go run(first.Add(time.Nanosecond))
	go run(first.Add(time.Nanosecond))
	answer <- errNotConfirmed
	require.ErrorIs(t, <-results, errNotConfirmed)
	second := <-asked
	require.True(t, second.After(first))
	answer <- nil
	require.NoError(t, <-results)
	require.NoError(t, <-results)
	require.Empty(t, asked)
}
