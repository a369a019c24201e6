package conns_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A server breaks off inside the head of its response. Guards against an error of the parser, which takes the part of a
// line for a whole one, in place of that of the connection.
func TestHeadCutOffIsLostConnection(t *testing.T) {
	for end, connEnd := range map[string]stand.ConnEnd{"closed": stand.EndClosed, "reset": stand.EndReset} {
		for _, cut := range (stand.ScriptedResponse{Header: "Name: value\r\n", End: connEnd}).HeadCuts() {
			t.Run(fmt.Sprintf("%s, %d bytes", end, cut.HeadSent), func(t *testing.T) {
				t.Parallel()
				address, stop, err := stand.StartScripted(func(*http.Request) stand.ScriptedResponse { return cut })
				require.NoError(t, err)
				t.Cleanup(stop)
				_, _, err = readHead(t, address)
				require.Error(t, err)
				require.True(t, conns.ConnectionLost(err), err)
			})
		}
	}
}
