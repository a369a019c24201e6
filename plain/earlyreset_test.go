package plain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A service answers a long call at once, without a length, and resets while it is still being written. Guards against a
// part of an answer that counts as a whole one, and against a call that counts as not run.
func TestResetWhileCalling(t *testing.T) {
	address, stop, err := stand.StartEarlyReset(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" })
	require.NoError(t, err)
	defer stop()
	for range 100 {
		_, err := plain.New().Do(t.Context(), address, "a", plain.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 7<<19)})
		require.Error(t, err)
		require.Equal(t, hibiscuscart.OutcomeUnknown, hibiscuscart.AsFailure(err).Outcome())
	}
}
