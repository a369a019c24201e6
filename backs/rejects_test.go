package backs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that outlives the server's word, and against one that ends with an older response.
func TestRejectLimitEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := func(v *View, at time.Duration) bool {
		_, limited := v.RejectLimit(now.Add(at), "s")
		return limited
	}
	announce := func() *View {
		v := &View{}
		v.ApplyNotice(now, "s", Notice{HasRejectLimit: true, RejectLimit: 2})
		return v
	}
	v := announce()
	require.True(t, limited(v, 0))
	v.ApplyNotice(now.Add(time.Second/2), "s", Notice{NoRejectLimit: true})
	require.True(t, limited(v, time.Second/2), "a response that was read late")
	v.ApplyNotice(now.Add(2*time.Second), "s", Notice{NoRejectLimit: true})
	require.False(t, limited(v, 2*time.Second))
	require.False(t, limited(announce(), rejectLimitRetention+time.Second))
}

// Guards against VMs that are not told of a limit or of a rejection, and against telling either all the time.
func TestRejectLimitsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	v, other := &View{}, &View{}
	require.False(t, v.RecordReject(now, "s"), "a server without a limit")
	v.ApplyNotice(now, "s", Notice{HasRejectLimit: true, RejectLimit: 2})
	told := v.TakeRejectLimits(now)
	require.Equal(t, []RejectLimit{{Server: "s", PerSecond: 2}}, told)
	other.MergeRejectLimits(now, told, FromHub)
	perSecond, limited := other.RejectLimit(now, "s")
	require.True(t, limited)
	require.InDelta(t, 2, perSecond, 0)
	require.Empty(t, other.TakeRejectLimits(now), "news that are told back")
	require.Empty(t, v.TakeRejectLimits(now.Add(time.Second)))
	require.True(t, v.RecordReject(now.Add(time.Second), "s"))
	require.Equal(t, []RejectLimit{{Server: "s", PerSecond: 2, Rejected: true}}, v.TakeRejectLimits(now.Add(time.Second)))
	v.ApplyNotice(now.Add(8*time.Second), "s", Notice{HasRejectLimit: true, RejectLimit: 2})
	require.Len(t, v.TakeRejectLimits(now.Add(8*time.Second)), 1, "told from time to time")
}
