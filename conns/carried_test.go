package conns

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an attempt that is forgotten while it may be sent again, against attempts that are kept without a bound,
// and against one that finds no room without a word.
func TestCarriedAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Conn
	c.MarkCarried(now, "a", now.Add(time.Second))
	require.True(t, c.Ambiguous(now, "a"))
	require.False(t, c.Ambiguous(now, "b"))
	require.False(t, c.Ambiguous(now.Add(time.Second), "a"), "it is sent no more")
	require.False(t, c.Ambiguous(now, ""), "no response has arrived")
	c.proven = true
	require.True(t, c.Ambiguous(now, ""))
	for i := range maxCarried - 1 {
		c.MarkCarried(now, strconv.Itoa(i), now.Add(time.Second))
	}
	require.True(t, c.Ambiguous(now, "a"))
	require.False(t, c.carried.full)
	c.MarkCarried(now, "one more", now.Add(time.Second))
	require.True(t, c.carried.full)
	later := now.Add(time.Second)
	c.MarkCarried(later, "c", later.Add(time.Second))
	require.Len(t, c.carried.attempts, 1)
}
