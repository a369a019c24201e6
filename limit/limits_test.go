package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/limit"
)

var start = time.Unix(1000, 0)

// Guards against removing a limit because of an answer without one whose request was sent before
// the limit was last announced.
func TestAnswerToEarlierRequestKeepsLimit(t *testing.T) {
	var l limit.Limits
	require.False(t, l.Update(start, start, "a", 0, false), "no limit is known")
	require.True(t, l.Update(start, start.Add(-time.Second), "a", 1.5, true))
	require.False(t, l.Update(start.Add(time.Second), start.Add(-time.Second), "a", 1.5, true), "the rate is unchanged")
	require.False(t, l.Update(start.Add(2*time.Second), start.Add(time.Second/2), "a", 0, false))
	require.True(t, l.Update(start.Add(2*time.Second), start.Add(3*time.Second/2), "a", 2, true))
	require.True(t, l.Update(start.Add(4*time.Second), start.Add(3*time.Second), "a", 0, false))
}
