package plain_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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
				read, err := stand.ReadEndless(t.Context(), name, endlessReadLimit, func(ctx context.Context, dial stand.Dial, address string) error {
					return do(ctx, &plain.Client{HTTP: &httpx.Client{Dial: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}}, address)
				})
				require.Error(t, err)
				require.LessOrEqual(t, read, int64(maxEndlessRead))
			})
		}
	}
}
