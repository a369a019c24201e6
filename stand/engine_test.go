package stand_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

func loadOrder(id, model string, bytes int) wire.Order {
	return wire.Order{Order: id, Action: wire.OrderActionLoad, Model: model, Version: 1, Bytes: bytes}
}

func TestOvercommitCount(t *testing.T) {
	e := &stand.Engine{MemoryBytes: 100, KVBytes: 20}
	require.NoError(t, e.Apply(loadOrder("1", "a", 50), 0))
	require.NoError(t, e.Apply(loadOrder("1", "a", 50), 0))
	require.Zero(t, e.Counts().Overcommits)
	require.NoError(t, e.Apply(loadOrder("2", "b", 50), 0))
	require.Equal(t, int64(1), e.Counts().Overcommits)
	require.Equal(t, int64(120), e.Counts().PeakBytes)
}

func TestFencing(t *testing.T) {
	for name, checks := range map[string]bool{"fencing checked": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			e := &stand.Engine{ChecksFencing: checks}
			require.NoError(t, e.RaiseFencingToken(7))
			err := e.Apply(loadOrder("1", "a", 1), 6)
			require.Equal(t, checks, err != nil)
		})
	}
}

// The weight store limits the rate at which loads start and slows down loads beyond
// its number at full speed. A load whose context is canceled before the start fails
// and uses no capacity.
func TestWeightStoreSlowdown(t *testing.T) {
	s := &stand.WeightStore{LoadsPerSecond: 1000, FullSpeedModelLoads: 1, ModelLoadTime: 20 * time.Millisecond}
	began := time.Now()
	done := make(chan time.Duration, 2)
	for range 2 {
		go func() {
			_ = s.Fetch(context.Background(), loadOrder("1", "a", 1))
			done <- time.Since(began)
		}()
	}
	<-done
	require.GreaterOrEqual(t, <-done, 40*time.Millisecond, "two concurrent loads take twice as long")
	require.Equal(t, 2, s.EndedLoads())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, s.Fetch(ctx, loadOrder("2", "b", 1)))
}

func TestCompletionTokensDeterministic(t *testing.T) {
	a := stand.CompletionTokens("m", "", "p", 20)
	require.Equal(t, a, stand.CompletionTokens("m", "", "p", 20))
	for name, other := range map[string][]string{
		"model": stand.CompletionTokens("n", "", "p", 20), "adapter": stand.CompletionTokens("m", "x", "p", 20), "prompt": stand.CompletionTokens("m", "", "q", 20),
	} {
		require.NotEqual(t, a, other, name)
	}
	require.Len(t, stand.CompletionTokens("m", "", "p", 1), 1)
}
