package plain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// The value in the load report of a service is whole, and its framing says that more was to come. Guards against taking a
// report for whole that its service has broken off.
func TestLoadReportCutAfterItsValue(t *testing.T) {
	const body = `{"running":1}`
	for _, framing := range []httpx.Framing{httpx.FramedByLength, httpx.FramedByChunks} {
		for end, connEnd := range map[string]stand.ConnEnd{"closed": stand.EndClosed, "reset": stand.EndReset} {
			t.Run(framing.String()+", "+end, func(t *testing.T) {
				address, stop, err := stand.StartScripted(func(*http.Request) stand.ScriptedResponse {
					return stand.ScriptedResponse{Framing: framing, Body: body + "\n", Sent: len(body), End: connEnd}
				})
				require.NoError(t, err)
				defer stop()
				_, err = plain.New().LoadReport(t.Context(), address)
				require.Error(t, err)
			})
		}
	}
}
