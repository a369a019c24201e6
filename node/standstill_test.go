package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
)

// A VM stands still, and its servers seem silent. Guards against operators who can not tell the one from the other.
func TestStandstillsAreCounted(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	var log bytes.Buffer
	n := New(Config{Settings: settings, Now: clock.Now, Log: zerolog.New(&log)})
	for _, lasted := range []time.Duration{0, 200 * time.Millisecond, 1500 * time.Millisecond, 700 * time.Millisecond, 0} {
		n.recordStandstill(lasted)
	}
	require.EqualValues(t, 3, n.meter.CounterValue("vm.stalls"))
	require.EqualValues(t, 2400, n.meter.CounterValue("vm.stalled_ms"))
	require.EqualValues(t, 1500, n.meter.GaugeValue("vm.longest_stall_ms"))
	require.Equal(t, 2, strings.Count(log.String(), "this VM stood still"))
}
