package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Each server rewrites its entry at every heartbeat. With 4,000 servers the controller received 800
// unchanged entries a second and sent each of them to all VMs, many times more than the changes. A
// heartbeat that changes nothing must neither wake waiting requests nor be sent to other VMs.
func TestUnchangedHeartbeatIsNoChange(t *testing.T) {
	holding := func(change func(*backs.Entry)) backs.Entry {
		e := entry("a")
		e.Models = []backs.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}
		change(&e)
		return e
	}
	for name, tc := range map[string]struct {
		change  func(*backs.Entry)
		changed bool
	}{
		"unchanged":          {func(*backs.Entry) {}, false},
		"less time to exit":  {func(e *backs.Entry) { e.DrainRemaining = time.Second }, false},
		"another address":    {func(e *backs.Entry) { e.Address = "127.0.0.1:2" }, true},
		"draining":           {func(e *backs.Entry) { e.Draining = true }, true},
		"one adapter fewer":  {func(e *backs.Entry) { e.Models[0].Adapters = nil }, true},
		"another model":      {func(e *backs.Entry) { e.Models = append(e.Models, backs.LoadedModel{Model: "m2"}) }, true},
		"another version":    {func(e *backs.Entry) { e.Models[0].Version = 2 }, true},
		"warming up":         {func(e *backs.Entry) { e.WarmupRemaining = time.Second }, true},
		"different capacity": {func(e *backs.Entry) { e.Slots = 7 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			var v backs.View
			v.Replace(at(0), []backs.Entry{holding(func(*backs.Entry) {}), entry("b")})
			_, revision := v.Since(at(0), 0)
			notified := v.Changed()
			v.Put(at(5), holding(tc.change))
			states, _ := v.Since(at(5), revision)
			require.Equal(t, tc.changed, len(states) == 1)
			select {
			case <-notified:
				require.True(t, tc.changed)
			default:
				require.False(t, tc.changed)
			}
		})
	}
}

// A relay merges the full state of each new controller. Sending it on would repeat the state of every
// server to all VMs of the failure domain, although they have it.
func TestMergedStateThatIsKnownIsNoChange(t *testing.T) {
	var controller, relay backs.View
	controller.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	full, _ := controller.Since(at(0), 0)
	relay.Merge(at(0), backs.Update{States: full, Full: true})
	_, revision := relay.Since(at(0), 0)
	relay.Merge(at(1), backs.Update{States: full, Full: true})
	states, _ := relay.Since(at(1), revision)
	require.Empty(t, states)

	controller.MarkUnreadable("a")
	controller.Remove(at(2), "b")
	changes, _ := controller.Since(at(2), 2)
	require.Len(t, changes, 2)
	relay.Merge(at(2), backs.Update{States: changes})
	states, _ = relay.Since(at(2), revision)
	require.Len(t, states, 2)
}

// A server that was warming up must be sent again when it is warm, or the other VMs would prefer
// other servers for good.
func TestEndOfWarmupIsAChange(t *testing.T) {
	var v backs.View
	warming := entry("a")
	warming.WarmupRemaining = 2 * time.Second
	v.Replace(at(0), []backs.Entry{warming})
	_, revision := v.Since(at(0), 0)
	warming.WarmupRemaining = time.Second
	v.Put(at(1), warming)
	states, _ := v.Since(at(1), revision)
	require.Empty(t, states, "less time to warm up")
	v.Put(at(2), entry("a"))
	states, _ = v.Since(at(2), revision)
	require.Len(t, states, 1)
}
