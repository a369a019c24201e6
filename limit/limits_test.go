package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/limit"
)

var start = time.Unix(1000, 0)

// Guards against removing a limit because of a response without one whose request was sent before
// the limit was last announced.
func TestResponseToEarlierRequestKeepsLimit(t *testing.T) {
	var l limit.Limits
	require.False(t, l.Update(start, start, "a", 0, false), "no limit is known")
	require.True(t, l.Update(start, start.Add(-time.Second), "a", 1.5, true))
	require.False(t, l.Update(start.Add(time.Second), start.Add(-time.Second), "a", 1.5, true), "the rate is unchanged")
	require.False(t, l.Update(start.Add(2*time.Second), start.Add(time.Second/2), "a", 0, false))
	require.True(t, l.Update(start.Add(2*time.Second), start.Add(3*time.Second/2), "a", 2, true))
	require.True(t, l.Update(start.Add(4*time.Second), start.Add(3*time.Second), "a", 0, false))
}

// Guards against returning the same wait to all refused callers, and against accumulating permits
// while there are no requests.
func TestGrantEnforcesRate(t *testing.T) {
	for name, rate := range map[string]float64{"one and a half": 1.5, "a hundred": 100, "none": 0} {
		t.Run(name, func(t *testing.T) {
			var l limit.Limits
			l.Update(start, start, "a", rate, true)
			first, limited := l.Grant(start, "a")
			require.True(t, limited)
			require.NotZero(t, first, "requests sent before the limit was known count")
			second, _ := l.Grant(start, "a")
			third, _ := l.Grant(start, "a")
			require.GreaterOrEqual(t, third, second)
			now, granted := start.Add(time.Hour), 0
			for range 4000 {
				if wait, _ := l.Grant(now, "a"); wait == 0 {
					granted++
				}
				now = now.Add(time.Millisecond)
			}
			require.LessOrEqual(t, float64(granted), 4*max(rate, 0.2)+1)
			require.GreaterOrEqual(t, float64(granted), 0.9*4*rate)
		})
	}
}

// Guards against VMs without a controller exceeding the rate together because each uses all of it.
func TestGrantShareEnforcesRate(t *testing.T) {
	tests := map[string]struct {
		vms  int
		rate float64
	}{
		"few VMs": {9, 18}, "many VMs": {195, 1.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			granted := 0
			for range tc.vms {
				var l limit.Limits
				l.Update(start, start, "a", tc.rate, true)
				for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
					if l.GrantShare(now, "a", tc.vms) == 0 {
						granted++
					}
				}
			}
			require.InDelta(t, 4*tc.rate, granted, 9)
		})
	}
}

// Guards against a controller that grants permits without limit for a server whose limit it does not
// know.
func TestGrantForUnknownServer(t *testing.T) {
	var l limit.Limits
	_, limited := l.Grant(start, "a")
	require.False(t, limited)
}

// Guards against an outdated controller's list removing a limit that was just announced or restoring
// one that has ended, and against keeping a limit that the list no longer contains.
func TestMergeControllerLimits(t *testing.T) {
	var l, controller limit.Limits
	l.Update(start, start, "a", 2, true)
	l.Merge(start.Add(time.Second), nil)
	_, limited := l.Rate("a")
	require.True(t, limited, "announced recently")
	controller.AddReport(start, l.TakeReport())
	require.Empty(t, l.TakeReport())
	l.Merge(start.Add(time.Minute), controller.Rates())
	_, limited = l.Rate("a")
	require.True(t, limited)
	require.True(t, l.Update(start.Add(time.Minute), start.Add(time.Minute), "a", 0, false))
	controller.AddReport(start, l.TakeReport())
	require.Empty(t, controller.Rates())
	controller.Update(start, start, "b", 3, true)
	l.Merge(start, controller.Rates())
	rate, limited := l.Rate("b")
	require.True(t, limited)
	require.InDelta(t, 3, rate, 0)
	l.Merge(start.Add(time.Minute), nil)
	_, limited = l.Rate("b")
	require.False(t, limited)
}

// Guards against keeping the limits of removed servers in the lists that VMs exchange.
func TestRetainRemovesUnusedServers(t *testing.T) {
	var l limit.Limits
	l.Update(start, start, "a", 1, true)
	l.Update(start, start, "b", 1, true)
	l.Retain(func(id string) bool { return id == "b" })
	require.Len(t, l.Rates(), 1)
}

// Guards against marking a server as contended when few attempts are refused, and against clearing
// the mark before the limit ends.
func TestContended(t *testing.T) {
	var l limit.Limits
	l.Update(start, start, "a", 10, true)
	now := start
	for i := range 100 {
		now = now.Add(200 * time.Millisecond)
		if i%10 == 0 {
			l.Grant(now, "a")
		}
		l.Grant(now, "a")
	}
	require.False(t, l.Contended("a"))
	for range 5 {
		l.Grant(now, "a")
	}
	require.True(t, l.Contended("a"))
	for range 100 {
		now = now.Add(time.Second)
		l.Grant(now, "a")
	}
	require.True(t, l.Contended("a"))
	require.True(t, l.Update(now, now, "a", 0, false))
	require.False(t, l.Contended("a"))
}
