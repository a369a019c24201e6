package plain_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Bytes that a call may read of a response without an end, and those after which the test ends it.
const (
	maxEndlessRead   = 2 << 20
	endlessReadLimit = 64 << 20
)

// A service sends bytes that are no response, in a head or a body, until the connection is closed. Guards against a VM that keeps
// them until its memory is used up.
func TestEndlessServiceResponse(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *plain.Client, address string) error{
		"call": func(ctx context.Context, c *plain.Client, address string) error {
			_, err := c.Do(ctx, address, "a", plain.Call{Method: http.MethodPost, Path: "/"})
			return err
		},
		"load report": func(ctx context.Context, c *plain.Client, address string) error {
			_, err := c.LoadReport(ctx, address)
			return err
		},
	}
	for call, do := range calls {
		for _, name := range stand.EndlessCalls {
			t.Run(call+", "+name, func(t *testing.T) {
				address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.NewEndlessResponse(name, "", "") })
				require.NoError(t, err)
				defer stop()
				read, err := stand.LimitedCall(t.Context(), endlessReadLimit, func(ctx context.Context, counter *stand.ReadCounter) error {
					dial := counter.Dial(conns.Dial)
					client := &plain.Client{HTTP: &httpx.Client{Dial: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}}
					return do(ctx, client, address)
				})
				require.Error(t, err)
				require.LessOrEqual(t, read, int64(maxEndlessRead))
			})
		}
	}
}
