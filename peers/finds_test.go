package peers

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against overloading the controller with find calls after servers crash. Two hundred requests
// wait for the models of these servers. Each change of a server wakes all of them, and each searches
// again and then calls the controller. There must be only one pending call per model and adapter.
func TestFindCallShared(t *testing.T) {
	var g findGroup
	var calls atomic.Int32
	answer := make(chan string)
	call := func(context.Context) (string, error) {
		calls.Add(1)
		return <-answer, nil
	}
	keys := []backs.Need{{Service: "s", Model: "m1"}, {Service: "s", Model: "m1", Adapter: "a1"}, {Service: "s", Model: "m2"}, {Service: "s2", Model: "m1"}, {Service: "s", Model: "m1", Version: "v1"}}
	for range 50 {
		for _, key := range keys {
			// The request is woken before the reply arrives.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := g.find(ctx, key, call)
			require.ErrorIs(t, err, context.Canceled)
		}
	}
	var pending []*pendingFind
	for _, key := range keys {
		pending = append(pending, g.joinOrStart(t.Context(), key, call))
	}
	for range keys {
		answer <- "server"
	}
	for _, find := range pending {
		<-find.done
		require.NoError(t, find.err)
		require.Equal(t, "server", find.server)
	}
	require.EqualValues(t, len(keys), calls.Load())
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.pending) == 0
	}, testTimeout, time.Millisecond)
}

// A failed find call must not affect the next one, because there may be another controller by then.
func TestFailedFindNotCached(t *testing.T) {
	var g findGroup
	errFailed := errors.New("find call failed")
	key := backs.Need{Service: "s", Model: "m"}
	_, err := g.find(t.Context(), key, func(context.Context) (string, error) { return "", errFailed })
	require.ErrorIs(t, err, errFailed)
	server, err := g.find(t.Context(), key, func(context.Context) (string, error) { return "b", nil })
	require.NoError(t, err)
	require.Equal(t, "b", server)
}
