package engine_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// An engine breaks off the response that refuses a run. Guards against a run that counts as not started by a response that is
// not whole.
func TestTruncatedRefusal(t *testing.T) {
	const body = `{"error":{"code":"draining"}}`
	for name, tc := range map[string]struct {
		length  int
		outcome hibiscuscart.Outcome
	}{"whole": {len(body), hibiscuscart.OutcomeNotRun}, "more to come": {len(body) + 1, hibiscuscart.OutcomeUnknown}} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartRaw(func(*http.Request) string {
				return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", tc.length, body)
			})
			require.NoError(t, err)
			defer stop()
			err = engine.New().Generate(t.Context(), address, "a", engine.GenerateRequest{Model: "m"}, func(hibiscuscart.Frame) error { return nil })
			require.Equal(t, tc.outcome, hibiscuscart.AsFailure(err).Outcome())
		})
	}
}
