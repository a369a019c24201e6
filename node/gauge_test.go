package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/gauge"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Guards against a balancer that does not get the paces or does not report its ratios, paces that are relative to the servers of
// another service, paces that are lost while a server is out of use or before the list of servers is known, and operators who are
// not told of a server that reports nonsense.
func TestPacesOfNode(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	var log bytes.Buffer
	n := New(Config{Settings: settings, Now: clock.Now, Log: zerolog.New(&log)})
	require.Same(t, n.gauge, n.gateway.Gauge)
	now := clock.Now()
	ids := []string{"m1", "m2", "m3", "p1", "p2"}
	for i := range 60 {
		for _, id := range ids {
			pace, ratio := 1.0, 1.0
			if id[0] == 'm' {
				pace = 3
			}
			if id == "m1" {
				ratio = 4
			}
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			n.gauge.Heard(at, id, gauge.Reading{Pace: pace})
			n.balancer.Observed(at, id, ratio)
		}
	}
	now = now.Add(6 * time.Second)
	require.Equal(t, 1.0, n.gauge.Pace(now, "m1"))
	n.retainPaces() // The list of servers is not known yet.
	var entries []backs.Entry
	for _, id := range ids {
		entries = append(entries, backs.Entry{ID: id, Service: id[:1], Draining: id == "m2"})
	}
	n.serverView.Replace(clock.Now(), entries)
	require.InDelta(t, 1, n.gauge.Pace(now, "p1"), 0.01)
	choice, ok := n.balancer.Choose(now, entries[:1], pick.Work{Model: "x"}, 0, nil)
	require.True(t, ok)
	require.Greater(t, choice.Pace, 1.3)
	require.Equal(t, choice.Pace, n.gauge.Pace(now, "m1"))
	require.EqualValues(t, 1, n.meter.CounterValue("gauge.distrusted"))
	require.Equal(t, 1, strings.Count(log.String(), "pace of a server limited by its responses"))
	n.retainPaces()
	require.Len(t, n.gauge.All(now), len(ids))
	n.serverView.Replace(clock.Now(), entries[1:])
	require.NotEmpty(t, n.gauge.TakeChanges(now))
	require.Positive(t, n.meter.CounterValue("gauge.told"))
}

// A server is in a spell when a new controller plans for the first time. Guards against a placement that takes the server for
// slow until the next lasting change, as the first pace that placement hears of is assumed at once.
func TestPlacementWithoutSpells(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	n := New(Config{Settings: settings, Now: clock.Now, Log: zerolog.Nop()})
	now := clock.Now()
	var entries []backs.Entry
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		entries = append(entries, backs.Entry{ID: id, Service: "s"})
		n.gauge.Merge(now, []gauge.Estimate{{Server: id, Pace: 1}})
		n.gauge.Heard(now, id, gauge.Reading{Pace: 1})
	}
	n.serverView.Replace(now, entries)
	n.gauge.Heard(now, "a", gauge.Reading{Pace: 2.5})
	require.Greater(t, n.balancer.Pace(now, "a"), 2.0)
	require.InDelta(t, 1, n.controller.Pace(now, "a"), 0.1)
}
