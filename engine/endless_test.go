package engine_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Bytes that a call may read of a response without an end, and those after which the test ends it.
const (
	maxEndlessRead   = 18 << 20
	endlessReadLimit = 64 << 20
)

// An engine sends bytes that are no response, in a head or a body, until the connection is closed. Guards against a VM that keeps
// them until its memory is used up.
func TestEndlessEngineResponse(t *testing.T) {
	for call := range engineCalls() {
		for _, name := range stand.EndlessCalls {
			t.Run(call+", "+name, func(t *testing.T) {
				read, err := stand.ReadEndless(t.Context(), name, endlessReadLimit, func(ctx context.Context, dial stand.Dial, address string) error {
					client := &engine.Client{HTTP: &httpx.Client{Dial: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}}
					return engineCallsOf(client)[call].call(ctx, address)
				})
				require.Error(t, err)
				require.LessOrEqual(t, read, int64(maxEndlessRead))
			})
		}
	}
}
