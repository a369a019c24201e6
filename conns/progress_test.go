package conns_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// Guards against a long response that is given up while it arrives, and against one without end, or without a byte, that is
// waited for.
func TestProgressContext(t *testing.T) {
	const first, pause, total = time.Second, 2 * time.Second, 10 * time.Second
	for name, tc := range map[string]struct {
		// gaps are the times between calls of progress.
		gaps []time.Duration
		ends time.Duration
	}{
		"nothing arrives":          {ends: first},
		"once":                     {gaps: []time.Duration{first / 2}, ends: first/2 + pause},
		"then a pause":             {gaps: []time.Duration{0, pause / 2, pause / 2}, ends: 2 * pause},
		"goes on":                  {gaps: []time.Duration{0, 1, pause - 1, pause - 1, pause - 1, pause - 1, pause - 1, pause - 1}, ends: total},
		"at once, then at the end": {gaps: []time.Duration{0, 0, 0}, ends: pause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				ctx, progress, cancel := conns.ProgressContext(t.Context(), first, pause, total)
				defer cancel()
				endedAt := startedAt
				context.AfterFunc(ctx, func() { endedAt = time.Now() })
				for _, gap := range tc.gaps {
					time.Sleep(gap)
					progress()
				}
				<-ctx.Done()
				synctest.Wait()
				require.Equal(t, context.DeadlineExceeded, context.Cause(ctx))
				require.Equal(t, tc.ends, endedAt.Sub(startedAt))
			})
		})
	}
}

func TestProgressReader(t *testing.T) {
	calls := 0
	data, err := io.ReadAll(conns.ProgressReader{Reader: iotest.OneByteReader(strings.NewReader("abc")), Progress: func() { calls++ }})
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	require.Equal(t, 3, calls)
}
