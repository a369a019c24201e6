package engine_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// engineCall is a call to an engine with its whole response.
type engineCall struct {
	body string
	call func(ctx context.Context, address string) error
}

func engineCalls() map[string]engineCall { return engineCallsOf(engine.New()) }

func engineCallsOf(c *engine.Client) map[string]engineCall {
	discard := func(hibiscuscart.Frame) error { return nil }
	const stream = "id: 1\ndata: {\"id\":\"a\",\"choices\":[{\"text\":\"x\"}]}\n\nid: 2\ndata: [DONE]"
	return map[string]engineCall{
		"run": {stream, func(ctx context.Context, address string) error {
			return c.Generate(ctx, address, "a", engine.GenerateRequest{Model: "m"}, discard)
		}},
		"resumed run": {stream, func(ctx context.Context, address string) error { return c.Resume(ctx, address, "a", 0, discard) }},
		"load report": {`{"running":1,"residents":[]}`, func(ctx context.Context, address string) error {
			_, err := c.LoadReport(ctx, address)
			return err
		}},
		"cache events": {`[{"sequence":1}]`, func(ctx context.Context, address string) error {
			_, err := c.CacheEvents(ctx, address, 0)
			return err
		}},
		"order": {`{}`, func(ctx context.Context, address string) error {
			return c.Order(ctx, address, wire.Order{Order: "o"}, 1)
		}},
		"export": {`{"prompt":"x"}`, func(ctx context.Context, address string) error {
			_, err := c.Export(ctx, address, "a")
			return err
		}},
	}
}

func startScripted(t *testing.T, resp stand.ScriptedResponse) string {
	t.Helper()
	address, stop, err := stand.StartScripted(func(*http.Request) stand.ScriptedResponse { return resp })
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// A response of an engine breaks off. Guards against a part of it taken for the whole, such as a run without
// its last tokens.
func TestTruncatedEngineResponse(t *testing.T) {
	for name, c := range engineCalls() {
		for how, resp := range stand.Truncations(c.body) {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				require.Error(t, c.call(ctx, startScripted(t, resp)))
			})
		}
	}
}

// Guards against losing whole responses of engines to the checks for truncated ones.
func TestWholeEngineResponse(t *testing.T) {
	for name, c := range engineCalls() {
		for _, framing := range stand.ResponseFramings {
			t.Run(name+", "+framing.String(), func(t *testing.T) {
				require.NoError(t, c.call(t.Context(), startScripted(t, stand.ScriptedResponse{Framing: framing, Body: c.body, Sent: len(c.body)})))
			})
		}
	}
}

// The value in the response of an engine is whole, and its framing says that more was to come. Guards against taking an answer
// for whole that its server has broken off.
func TestEngineResponseCutAfterItsValue(t *testing.T) {
	for name, c := range engineCalls() {
		if name == "run" || name == "resumed run" {
			continue // A stream has a mark of its own at its end.
		}
		for _, framing := range []httpx.Framing{httpx.FramedByLength, httpx.FramedByChunks} {
			for end, connEnd := range map[string]stand.ConnEnd{"closed": stand.EndClosed, "reset": stand.EndReset} {
				t.Run(name+", "+framing.String()+", "+end, func(t *testing.T) {
					t.Parallel()
					require.Error(t, c.call(t.Context(), startScripted(t, stand.ScriptedResponse{Framing: framing, Body: c.body + "\n", Sent: len(c.body), End: connEnd})))
				})
			}
		}
	}
}
