package httpx_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// FuzzRetryAfter guards against a header value that makes a rest negative or endless, or crashes the VM.
func FuzzRetryAfter(f *testing.F) {
	for _, value := range []string{"", "3", "0.5", "86400", "-1", "1e9", "NaN", "Sun, 01 Mar 2026 12:00:05 GMT", "soon", "99999999999999999999"} {
		f.Add(value, "Sun, 01 Mar 2026 12:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		h := http.Header{"Retry-After": {value}, "Date": {date}}
		rest, err := httpx.ParseRetryAfter(time.Unix(1_000_000, 0), h)
		require.GreaterOrEqual(t, rest, time.Duration(0))
		require.LessOrEqual(t, rest, httpx.MaxRetryAfter)
		if err != nil {
			require.Zero(t, rest)
		}
	})
}
