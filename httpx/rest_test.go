package httpx_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

func refusal(status int, retryAfter string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {retryAfter}}}
}

// Guards against a rest that ends early or never, or that a word without a meaning begins.
func TestRests(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	second := start.Add(time.Second)
	tests := map[string]struct {
		apply func(r *httpx.Rests)
		want  time.Duration
		begun int
	}{
		"none":          {func(*httpx.Rests) {}, 0, 0},
		"seconds":       {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "3")) }, 2 * time.Second, 1},
		"ended":         {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "0.5")) }, 0, 1},
		"zero":          {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "0")) }, 0, 0},
		"garbage":       {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "soon")) }, 0, 0},
		"429":           {func(r *httpx.Rests) { r.Apply(start, "a", refusal(429, "3")) }, 2 * time.Second, 1},
		"success":       {func(r *httpx.Rests) { r.Apply(start, "a", refusal(200, "3")) }, 0, 0},
		"other server":  {func(r *httpx.Rests) { r.Apply(start, "b", refusal(503, "3")) }, 0, 1},
		"not shortened": {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "3")); r.Apply(start, "a", refusal(503, "1")) }, 2 * time.Second, 1},
		"extended":      {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "3")); r.Apply(start, "a", refusal(503, "9")) }, 8 * time.Second, 1},
		"again after an end": {func(r *httpx.Rests) {
			r.Apply(start, "a", refusal(503, "0.5"))
			r.Apply(second, "a", refusal(503, "2"))
		}, 2 * time.Second, 2},
		"success in the midst": {func(r *httpx.Rests) { r.Apply(start, "a", refusal(503, "3")); r.Apply(start, "a", refusal(200, "")) }, 2 * time.Second, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			begun := 0
			r := &httpx.Rests{OnRest: func(string, time.Duration) { begun++ }}
			tc.apply(r)
			require.Equal(t, tc.want, r.Remaining(second, "a"))
			require.Equal(t, tc.begun, begun)
		})
	}
}

// A connection to a server is being opened when a refusal of that server asks for rest. The request that waits
// for the connection must not be sent.
func TestRestWhileDialing(t *testing.T) {
	var arrived atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	rests := &httpx.Rests{}
	client := httpx.Client{Rests: rests, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		rests.Apply(time.Now(), address, refusal(503, "3600"))
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, nil)
	require.NoError(t, err)
	resp, written, err := client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	var resting *httpx.RestingError
	require.ErrorAs(t, err, &resting)
	require.False(t, written)
	require.Zero(t, arrived.Load())
}
