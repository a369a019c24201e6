package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against an old record that counts as new, as the time of day of the VM that reads it is behind, and proves that
// there is one software version.
func TestHistoryFromTheFutureProvesNothing(t *testing.T) {
	wall := time.Unix(10_000, 0)
	record := historyRecord(wall, backs.VersionHistory{CompleteFor: time.Hour, Listed: []backs.ServiceVersion{{Service: "s", Version: "v1"}}})
	tests := map[string]struct {
		wall time.Time
		want bool
	}{
		"made just now":              {wall.Add(time.Second), true},
		"made just now, clocks vary": {wall.Add(-maxClockLag / 2), true},
		"made a minute ago":          {wall.Add(time.Minute), false},
		"from the future":            {wall.Add(-10 * time.Second), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var v backs.View
			now := time.Unix(1000, 0)
			v.AddVersionHistory(now, historyOf(tc.wall, record))
			v.Replace(now, []backs.Entry{{ID: "a", Service: "s", SoftwareVersion: "v1"}})
			v.MarkCurrent(now)
			_, ok := v.OnlyVersion(now.Add(time.Second), "s", 30*time.Second)
			require.Equal(t, tc.want, ok)
		})
	}
}

// Guards against a version that never counts as gone, as the same record of it is applied again and again while the store
// takes no new one.
func TestHistoryOfRecordIsAppliedOnce(t *testing.T) {
	applied := 0
	l := &Lease{ObserveHistory: func(backs.VersionHistory) { applied++ }}
	record := historyRecord(time.Unix(10_000, 0), backs.VersionHistory{})
	l.observeHistory(record)
	l.observeHistory(record)
	require.Equal(t, 1, applied)
	l.observeHistory(historyRecord(time.Unix(10_001, 0), backs.VersionHistory{}))
	require.Equal(t, 2, applied)
}
