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
	"github.com/hibiscuscart/hibiscuscart/store"
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

// The store answers without an end. Guards against a VM that keeps what it reads until its memory is used up.
func TestEndlessResponsesOfStore(t *testing.T) {
	const bodyBound, beyond, limit = 8 << 20, 1 << 20, 64 << 20
	calls := map[string]func(ctx context.Context, objects store.Objects) error{
		"get": func(ctx context.Context, objects store.Objects) error {
			_, err := objects.Get(ctx, "k", "n")
			return err
		},
		"list": func(ctx context.Context, objects store.Objects) error {
			_, err := objects.List(ctx, "k")
			return err
		},
		"watch": func(ctx context.Context, objects store.Objects) error {
			_, _, err := objects.Watch(ctx, "k", 1, time.Second)
			return err
		},
		"put": func(ctx context.Context, objects store.Objects) error {
			_, err := objects.Put(ctx, "k", "n", 3, 1)
			return err
		},
	}
	for _, name := range stand.EndlessCalls {
		bound := int64(conns.MaxHeadBytes)
		if !slices.Contains(stand.EndlessHeads, name) {
			bound = bodyBound * 17 / 16
		}
		for call, run := range calls {
			t.Run(call+", "+name, func(t *testing.T) {
				read, err := stand.ReadEndless(t.Context(), name, limit, func(ctx context.Context, dial stand.Dial, address string) error {
					return run(ctx, platform.NewStoreClient(newHTTPClient(dial), address))
				})
				require.Error(t, err)
				require.LessOrEqual(t, read, bound+beyond)
			})
		}
	}
}
