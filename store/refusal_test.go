package store_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// The platform breaks off a response with the status of an error. Guards against an object that counts as missing, and a write
// that counts as one without effect, by a response that is not whole.
func TestTruncatedErrorResponse(t *testing.T) {
	const body = `{"version":12}`
	for _, status := range []int{http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest} {
		for name, missing := range map[string]int{"whole": 0, "more to come": 1} {
			t.Run(fmt.Sprintf("%d, %s", status, name), func(t *testing.T) {
				address, stop, err := stand.StartRaw(func(*http.Request) string {
					return fmt.Sprintf("HTTP/1.1 %d Error\r\nContent-Length: %d\r\n\r\n%s", status, len(body)+missing, body)
				})
				require.NoError(t, err)
				defer stop()
				c := store.New("http://"+address, "key", "vm")
				c.DisableRetries = true
				_, err = c.Put(t.Context(), "k", "n", 3, "x")
				require.Error(t, err)
				require.Equal(t, missing > 0, store.IsResponseLost(err), err)
				_, err = c.Get(t.Context(), "k", "n")
				require.Error(t, err)
				require.Equal(t, missing == 0 && status == http.StatusNotFound, trace.IsNotFound(err), err)
			})
		}
	}
}
