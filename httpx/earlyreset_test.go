package httpx_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A server resets in the same instant in which it answers a request that is still being written. Guards against a response
// without a length that takes the reset for its end.
func TestResetWhileWriting(t *testing.T) {
	address, stop, err := stand.StartEarlyReset(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" })
	require.NoError(t, err)
	defer stop()
	client := &httpx.Client{}
	for range 50 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 7<<19)))
		require.NoError(t, err)
		resp, written, err := client.Do(req)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		require.Error(t, err)
		require.True(t, written)
	}
}
