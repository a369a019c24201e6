package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/meter"
)

// Guards against a list of servers that is confirmed before the changes of the answer are applied.
func TestConfirmedListHasChangesBeforeTheQuestion(t *testing.T) {
	meter.New().RecordDuration("first", 0)
	synctest.Test(t, func(t *testing.T) {
		s := &heldStore{}
		s.addServer(t, "a", "v1")
		n := newStoreFollower(t, s)
		time.Sleep(20 * time.Second)
		for i := range 50 {
			s.hold("watch", time.Duration(i%5)*10*time.Millisecond)
			s.addServer(t, fmt.Sprint("x", i), "v1") // The follower reads it, then pauses.
			time.Sleep(15 * time.Millisecond)
			id := fmt.Sprint("b", i)
			s.addServer(t, id, "v2")
			arrived := time.Now()
			time.AfterFunc(time.Millisecond, func() { s.addServer(t, fmt.Sprint("later", i), "v3") })
			time.Sleep(time.Microsecond)
			for n.peers.ConfirmServers(t.Context(), arrived) != nil {
				time.Sleep(20 * time.Millisecond)
			}
			_, known := n.serverView.Entry(id)
			require.True(t, known, i)
			if at := n.serverView.CurrentAt(); at.After(arrived.Add(time.Millisecond)) {
				_, later := n.serverView.Entry(fmt.Sprint("later", i))
				require.True(t, later, "list as of %v after the request lacks a change of 1 ms after it, round %d", at.Sub(arrived), i)
			}
			time.Sleep(700 * time.Millisecond)
		}
	})
}

// Guards against a list of servers that is confirmed as of the time at which the answer is read.
func TestListIsConfirmedAsOfTheQuestion(t *testing.T) {
	meter.New().RecordDuration("first", 0)
	synctest.Test(t, func(t *testing.T) {
		s := &heldStore{}
		s.addServer(t, "a", "v1")
		n := newStoreFollower(t, s)
		time.Sleep(20 * time.Second)
		s.hold("watch", 40*time.Millisecond)
		time.Sleep(5 * time.Second)
		arrived := time.Now()
		var at time.Time
		time.AfterFunc(5*time.Millisecond, func() {
			at = time.Now()
			s.addServer(t, "later", "v3")
		})
		time.Sleep(time.Microsecond)
		require.NoError(t, n.peers.ConfirmServers(t.Context(), arrived))
		_, later := n.serverView.Entry("later")
		require.False(t, at.IsZero())
		require.True(t, later || !n.serverView.CurrentAt().After(at))
	})
}
