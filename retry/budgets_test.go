package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

var rules = retry.Rules{Extra: 40, Window: 10 * time.Second}

// spend sends all retries that a budget allows within a time, one each 50 ms at the most.
func spend(b *retry.Budgets, from time.Time, duration time.Duration) (allowed int) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(50 * time.Millisecond) {
		if b.Of(now, "s").Allow(now) {
			allowed++
		}
	}
	return allowed
}

// Guards against a VM that uses an allotment which others may use too: before it is counted, right after its start, or long
// after it was counted last.
func TestAllotmentOfExtraRetries(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		counted []time.Duration
		at      time.Duration
		want    int
	}{
		"never counted":                              {nil, 0, 0},
		"just counted":                               {[]time.Duration{0}, 5 * time.Second, 0},
		"counted a window ago":                       {[]time.Duration{0}, 10 * time.Second, 10},
		"counted a window ago, and since":            {[]time.Duration{0, 9 * time.Second}, 10 * time.Second, 10},
		"out of sight for minutes":                   {[]time.Duration{0}, 8 * time.Minute, 10},
		"out of sight for too long":                  {[]time.Duration{0}, 9 * time.Minute, 0},
		"back after it was out of sight":             {[]time.Duration{0, time.Hour}, time.Hour + 2*time.Second, 0},
		"back for a window after that":               {[]time.Duration{0, time.Hour}, time.Hour + 10*time.Second, 10},
		"counted again before its allotment expires": {[]time.Duration{0, 8 * time.Minute}, 16 * time.Minute, 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var b retry.Budgets
			b.Configure(start, rules)
			for _, at := range tc.counted {
				b.Counted(start.Add(at), 4)
			}
			require.Equal(t, tc.want, spend(&b, start.Add(tc.at), time.Second))
		})
	}
}

// Guards against a reload of the settings that forgets what was spent.
func TestChangedWindowKeepsSpentRetries(t *testing.T) {
	for name, window := range map[string]time.Duration{"shorter": time.Second, "longer": time.Minute} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var b retry.Budgets
			b.Configure(start, rules)
			b.Counted(start.Add(-time.Minute), 1)
			require.Equal(t, 40, spend(&b, start, 4*time.Second))
			changed := rules
			changed.Window = window
			now := start.Add(4 * time.Second)
			b.Configure(now, changed)
			require.Zero(t, spend(&b, now, window))
			require.NotZero(t, spend(&b, now.Add(window), 2*window))
		})
	}
}

// Guards against a retry that was reserved long before it is sent, and no longer counts when it arrives.
func TestReservedRetryCountsWhenItIsSent(t *testing.T) {
	start := time.Unix(1000, 0)
	var w retry.SlidingWindow
	w.SetLimit(start, 0, 1, 10*time.Second)
	require.True(t, w.Allow(start))
	sent := start.Add(8 * time.Second)
	w.Move(start, sent)
	require.False(t, w.Allow(start.Add(12*time.Second)), "a retry was sent four seconds ago")
	require.True(t, w.Allow(sent.Add(11*time.Second)))
	w.Move(start, sent.Add(12*time.Second))
	require.Equal(t, 2, w.Usage(sent.Add(12*time.Second)).Retries, "a retry that has left the window is counted again")
}

// Guards against processes that each earn retries by their requests of one window, while an earlier one has spent what
// it earned in the window before: together they would send nearly twice the share.
func TestEarnedRetriesOfRestartedProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	shares := retry.Rules{PerRequest: 0.16, FirstPerRequest: 0.04, Window: 10 * time.Second}
	var sent []time.Time
	var b retry.Budgets
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		age := now.Sub(start)
		if i == 0 || age == 31*time.Second || age == 33*time.Second {
			b = retry.Budgets{}
			b.Configure(now, shares)
		}
		w := b.Of(now, "s")
		w.RecordRequest(now)
		if age >= 30*time.Second && w.Allow(now) {
			sent = append(sent, now)
		}
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < shares.Window {
				n++
			}
		}
		require.LessOrEqual(t, n, 20, "of 100 requests, in the window from %v", from.Sub(start))
	}
	require.GreaterOrEqual(t, len(sent), 30, "a process that has run for a window sends its share")
}

// Guards against a retry that was reserved, not sent and given back, and still keeps others from being sent, or is given
// back once it no longer counts.
func TestReturnedRetryDoesNotCount(t *testing.T) {
	start := time.Unix(1000, 0)
	var w retry.SlidingWindow
	w.SetLimit(start, 0, 1, 10*time.Second)
	require.True(t, w.Allow(start))
	require.False(t, w.Allow(start.Add(time.Second)))
	w.Return(start)
	later := start.Add(time.Second)
	require.True(t, w.Allow(later))
	w.Return(start)
	require.Equal(t, 1, w.Usage(later).Retries)
	next := start.Add(12 * time.Second)
	require.True(t, w.Allow(next))
	w.Return(later)
	require.Equal(t, 1, w.Usage(next).Retries)
}

// A failure domain was cut off, got further VMs that share what its old ones had, and is back, while servers break answers
// off. Guards against its VMs that take back at once what the others have just spent, so that all send more than they may.
func TestAllotmentsAfterCut(t *testing.T) {
	const extra, othersBefore, cutBefore, after, others, cut = 180, 9, 27, 15, 6, 9
	r := retry.Rules{Extra: extra, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	end := start.Add(time.Minute)
	vms := make([]retry.Budgets, others+cut)
	for i := range vms {
		vms[i].Configure(start, r)
		before := cutBefore
		if i < others {
			before = othersBefore
		}
		vms[i].Counted(start, before)
	}
	var sent []time.Time
	for now := end.Add(-time.Second); now.Before(end.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		for i := range vms {
			if !now.Before(end) {
				vms[i].Counted(now, after)
			}
			if vms[i].Of(now, "s").Allow(now) {
				sent = append(sent, now)
			}
		}
	}
	most, last := 0, 0
	for i, from := range sent {
		in := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < r.Window {
				in++
			}
		}
		most = max(most, in)
		if !from.Before(end.Add(30 * time.Second)) {
			last = max(last, in)
		}
	}
	require.LessOrEqual(t, most, extra)
	require.Equal(t, extra, last, "all together use what they may once the parts are equal")
}

// Guards against a part that stays small, and against one that grows before the others have spent what they had.
func TestChangesOfAllotment(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		told map[time.Duration]int
		want map[time.Duration]int
	}{
		"smaller":                       {map[time.Duration]int{0: 4, 20: 5}, map[time.Duration]int{19: 4, 20: 5, 60: 5}},
		"greater":                       {map[time.Duration]int{0: 5, 20: 4}, map[time.Duration]int{20: 5, 31: 5, 32: 4}},
		"greater in steps":              {map[time.Duration]int{0: 6, 20: 5, 25: 4}, map[time.Duration]int{31: 6, 32: 5, 43: 5, 44: 4}},
		"a new controller counts":       {map[time.Duration]int{0: 4, 20: 1 << 20, 21: 6, 22: 4}, map[time.Duration]int{20: 1 << 20, 21: 6, 22: 4}},
		"none for longer than a window": {map[time.Duration]int{0: 4, 20: 1 << 20, 40: 4}, map[time.Duration]int{40: 1 << 20, 51: 1 << 20, 52: 4}},
		"changes in the first window":   {map[time.Duration]int{0: 4, 5: 6, 9: 4}, map[time.Duration]int{10: 6, 20: 6, 21: 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var a retry.Allotment
			for s := range time.Duration(61) {
				now := start.Add(s * time.Second)
				if vms, ok := tc.told[s]; ok {
					a.Counted(now, vms)
				}
				vms := a.VMs(now, window)
				if want, ok := tc.want[s]; ok {
					require.Equal(t, want, vms, "after %d s", s)
				}
			}
		})
	}
}
