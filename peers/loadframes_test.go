package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Guards against a division of loads that is lost or changed between VMs, and against frames that
// grow where all requests have the same priority.
func TestLoadByPriorityOnTheWire(t *testing.T) {
	const ms = time.Millisecond
	divided := pick.Load{Running: 3, KVTokens: 900, PrefillTime: 100 * ms}.WithPrefill([]time.Duration{0, 40 * ms, 0, 60 * ms})
	tests := map[string]struct {
		load pick.Load
		list []int
	}{
		"one priority":         {pick.Load{Running: 2, PrefillTime: 100 * ms}, nil},
		"no prefill":           {pick.Load{Running: 2}, nil},
		"trailing zeros cut":   {divided, []int{0, 40_000, 0, 60_000}},
		"with undivided part":  {divided.Add(pick.Load{PrefillTime: 5 * ms}), []int{5_000, 40_000, 0, 60_000}},
		"lowest priority only": {pick.Load{Running: 1, PrefillTime: ms}.WithPrefill([]time.Duration{9: ms}), []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list := loadList(map[string]pick.Load{"s": tc.load})
			require.Equal(t, tc.list, list[0].ZzPrefillUs)
			frame, err := link.Encode(&wire.Message{VMReport: &wire.VMReport{Loads: list}})
			require.NoError(t, err)
			m, err := link.Decode(frame)
			require.NoError(t, err)
			require.Equal(t, map[string]pick.Load{"s": tc.load}, loadsOf(m.VMReport.Loads))
		})
	}
}

// Guards against requests that are taken to overtake the load of a build that does not divide it, or
// whose division is invalid: no order is known of it.
func TestUndividedLoadCountsAsMostUrgent(t *testing.T) {
	tests := map[string][]int{
		"older build":           nil,
		"more than the sum":     {0, 60_000, 60_000},
		"negative":              {0, 60_000, -20_000},
		"unknown priorities":    {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 100_000},
		"beyond the time range": {0, 1 << 62},
	}
	for name, list := range tests {
		t.Run(name, func(t *testing.T) {
			got := loadsOf([]wire.ServerLoad{{Server: "s", Running: 1, ReadingUs: 100_000, ZzPrefillUs: list}})["s"]
			require.Equal(t, pick.Load{Running: 1, PrefillTime: 100 * time.Millisecond}, got)
		})
	}
}
