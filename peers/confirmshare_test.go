package peers

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// Guards against a confirmation that is shared by requests which arrived while its answer was on the way: its question
// was asked before them.
func TestConfirmationOnItsWayIsNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g confirmGroup
		answer := make(chan error)
		asked := 0
		confirm := func(context.Context) error {
			asked++
			return <-answer
		}
		results := make(chan error, 3)
		run := func(by time.Time) { results <- g.run(t.Context(), time.Now, minConfirmInterval, by, confirm) }
		go run(time.Now())
		time.Sleep(time.Millisecond)
		go run(time.Now())
		go run(time.Now())
		synctest.Wait()
		answer <- errNotConfirmed
		require.ErrorIs(t, <-results, errNotConfirmed)
		time.Sleep(time.Second / 2)
		synctest.Wait()
		require.Equal(t, 2, asked)
		require.Empty(t, results)
		answer <- nil
		require.NoError(t, <-results)
		require.NoError(t, <-results)
	})
}

// Guards against a VM whose list of servers is confirmed as of the time at which it reads its hub's answer: it may lack
// what the hub has learned since it was asked.
func TestListIsNoNewerThanThatOfItsHub(t *testing.T) {
	for name, count := range map[string]int{"linked to the controller": 3, "with relays": minTreeVMs + 4} {
		t.Run(name, func(t *testing.T) {
			vms, controller := startConfirmFleet(t, count, func(*testVM) error { return nil })
			for _, v := range vms {
				arrived := clock.Now()
				require.Eventually(t, func() bool { return v.ConfirmServers(t.Context(), arrived) == nil }, testTimeout, time.Millisecond)
				at := v.Servers.CurrentAt()
				require.True(t, at.After(arrived))
				require.False(t, at.After(controller.Servers.CurrentAt()))
			}
		})
	}
}
