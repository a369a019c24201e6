package pass

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// writerFunc is a function as an io.Writer.
type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// A VM closes its connection as soon as it has got the whole answer of its proxy. Guards against a proxy that then closes its
// kept connection to the server, which another request may use by then.
func TestProxyClientClosesAfterAnswer(t *testing.T) {
	address, _ := startRecorder(t)
	g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, address)
	g.AcceptsProxyKey, g.MaxProxied = func(string) bool { return true }, 8
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	var inUse *conns.Conn
	g.Log = zerolog.New(writerFunc(func(p []byte) (int, error) {
		if bytes.Contains(p, []byte("request proxied")) {
			inUse = g.Pool.Get(g.Now(), "0", true)
			disconnect()
			// The closing runs in a goroutine of its own.
			time.Sleep(50 * time.Millisecond)
		}
		return len(p), nil
	}))
	r := httptest.NewRequest(http.MethodPost, "http://h/", strings.NewReader("text")).WithContext(ctx)
	for name, value := range map[string]string{"Attempt": "a1", "Deadline": "5000", headerProxyServer: "0", headerProxyAuth: schemeBearer + testProxyKey} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	g.ServeProxied(w, r)
	require.Equal(t, http.StatusOK, w.Code)
	require.NotNil(t, inUse, "the connection was not kept")
	exchange, err := inUse.Send(http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\nAttempt: a2\r\n\r\n"), nil)
	require.NoError(t, err, "the connection of another request was closed")
	resp, err := exchange.ReadResponse()
	require.NoError(t, err, "the connection of another request was closed")
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	inUse.Close()
}
