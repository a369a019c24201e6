package node

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/gauge"
)

// Guards against a node whose links do not have its gauge, and against paces of servers that are gone and would be passed
// on for good. Before the node has a list of servers it keeps what the hub tells.
func TestPacesOfServersInUse(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	n := New(Config{Settings: settings, Now: clock.Now, Log: zerolog.Nop()})
	require.Same(t, n.gauge, n.peers.Gauge)
	n.gauge.Merge(clock.Now(), []gauge.Estimate{{Server: "gone", Pace: 2.2}, {Server: "listed", Pace: 2.2}})
	n.retainPaces()
	require.Len(t, n.gauge.All(clock.Now()), 2)
	n.serverView.Replace(clock.Now(), []backs.Entry{{ID: "listed", Name: "listed", Service: "s"}})
	n.retainPaces()
	require.Equal(t, []gauge.Estimate{{Server: "listed", Pace: 2.2}}, n.gauge.All(clock.Now()))
}
