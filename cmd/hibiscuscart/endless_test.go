package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// A server answers the controller's orders and requests for its report without an end. Guards against a controller that
// reads megabytes for each of its servers, and against an order that counts as accepted or refused.
func TestEndlessResponsesToController(t *testing.T) {
	const bodyBound, beyond = 1 << 20, 128 << 10
	for _, name := range slices.Concat(stand.EndlessHeads, stand.EndlessBodies) {
		bound := int64(conns.MaxHeadBytes)
		if slices.Contains(stand.EndlessBodies, name) {
			bound = bodyBound * 17 / 16
		}
		calls := map[string]func(ctx context.Context, c steer.ServerCalls, server backs.Entry) error{
			"report": func(ctx context.Context, c steer.ServerCalls, server backs.Entry) error {
				_, err := c.Report(ctx, server)
				return err
			},
			"order": func(ctx context.Context, c steer.ServerCalls, server backs.Entry) error {
				result, _, err := c.Send(ctx, server, steer.Order{Model: "m"})
				if result != steer.Unknown {
					return errors.Join(err, errors.New("the result is known"))
				}
				return err
			},
		}
		for call, run := range calls {
			t.Run(call+", "+name, func(t *testing.T) {
				address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.NewEndlessResponse(name, "", "") })
				require.NoError(t, err)
				defer stop()
				var counter stand.ReadCounter
				client := newHTTPClient(counter.Dial(conns.Dial))
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err = run(ctx, platform.NewServerClient(client), backs.Entry{ID: "s", Address: address})
				require.Error(t, err)
				require.NoError(t, ctx.Err())
				require.NotContains(t, err.Error(), "the result is known")
				require.LessOrEqual(t, counter.Bytes(), bound+beyond)
			})
		}
	}
}
