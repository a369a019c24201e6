package conns_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A server resets in the same instant in which it answers a request that is still being written. Guards against an end of
// the stream that is none, and which a response without a length takes for its own.
func TestResetWhileWriting(t *testing.T) {
	address, stop, err := stand.StartEarlyReset(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" })
	require.NoError(t, err)
	defer stop()
	for range 50 {
		var p conns.Pool
		c, err := p.Dial(context.Background(), "k", address)
		require.NoError(t, err)
		body := make([]byte, 7<<19)
		x, err := c.Send(http.MethodPost, fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)), body)
		require.NoError(t, err)
		resp, err := x.ReadResponse()
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		require.Error(t, err)
		require.True(t, conns.ConnectionLost(err), err)
		p.Discard(c)
	}
}
