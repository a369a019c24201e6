package node

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A VM without a path to the servers probes one that answers without an end. Guards against a VM that reads the answer
// until its memory is used up, and against one that takes it for a sign that the path is still lost.
func TestEndlessResponseToPathProbe(t *testing.T) {
	for _, name := range append(stand.EndlessHeads, stand.EndlessBodies...) {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.NewEndlessResponse(name, "", "") })
			require.NoError(t, err)
			defer stop()
			var counter stand.ReadCounter
			n := probingNode(counter.Dial(conns.Dial))
			require.True(t, n.paths.Lost())
			n.probeByPath(t.Context(), backs.Entry{ID: "a", Service: "s", Address: address})
			require.False(t, n.paths.Lost())
			require.LessOrEqual(t, counter.Bytes(), int64(conns.MaxHeadBytes+128<<10))
			require.Zero(t, n.connPool.OpenConnections("a"), "the connection was kept")
			wanted := int64(1)
			if name == stand.EndlessBody {
				wanted = 0 // Nothing of a body is read.
			}
			require.Equal(t, wanted, n.meter.CounterValue("pass.endless_responses"))
		})
	}
}
