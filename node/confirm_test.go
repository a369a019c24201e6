package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/meter"
)

// confirmServers confirms the list of servers as of now, and returns how long that took.
func confirmServers(t *testing.T, n *Node) time.Duration {
	t.Helper()
	arrived := time.Now()
	for !n.serverView.CurrentAt().After(arrived) {
		time.Sleep(time.Millisecond)
		err := n.peers.ConfirmServers(t.Context(), arrived)
		require.True(t, err != nil || n.serverView.CurrentAt().After(arrived))
	}
	return time.Since(arrived)
}

// Guards against take-ups that are refused because the list of servers is not confirmed in time, and against calls to the
// store for each of them.
func TestServersConfirmedByCallOfItsOwn(t *testing.T) {
	tests := map[string]struct {
		// change is the interval between changes of the servers, 0 for none.
		change, most time.Duration
	}{
		"calm":                 {0, 25 * time.Millisecond},
		"changes all the time": {10 * time.Millisecond, 300 * time.Millisecond},
	}
	// The library of the metrics starts its goroutine with the first duration; in a bubble it would stop the time.
	meter.New().RecordDuration("first", 0)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &heldStore{}
				s.addServer(t, "a", "v1")
				n := newStoreFollower(t, s)
				time.Sleep(20 * time.Second)
				s.hold("watch", 4*time.Millisecond)
				if tc.change > 0 {
					go func() {
						for i := 0; t.Context().Err() == nil; i++ {
							s.addServer(t, fmt.Sprint("b", i), "v1")
							time.Sleep(tc.change)
						}
					}()
				}
				time.Sleep(3 * time.Second)
				for range 50 {
					require.LessOrEqual(t, confirmServers(t, n), tc.most)
					time.Sleep(37 * time.Millisecond)
				}
				s.takeCalls()
				time.Sleep(10 * time.Second)
				before := s.takeCalls()
				asking := time.Now()
				for time.Since(asking) < 10*time.Second {
					for range 16 {
						go func() { _ = n.peers.ConfirmServers(t.Context(), time.Now()) }()
					}
					time.Sleep(time.Millisecond)
				}
				require.LessOrEqual(t, s.takeCalls(), before+500+10, "calls in 10 s, of which %d for the changes", before)
			})
		})
	}
}

// Guards against a VM that does not follow the store and takes its list for confirmed.
func TestServersNotConfirmedWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heldStore{}
		s.addServer(t, "a", "v1")
		s.hold("list", time.Minute)
		n := newStoreFollower(t, s)
		time.Sleep(20 * time.Second)
		require.ErrorIs(t, n.peers.ConfirmServers(t.Context(), time.Now()), errNotFollowing)
		require.True(t, n.serverView.CurrentAt().IsZero())
	})
}
