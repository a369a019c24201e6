package node

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A VM without a path to the servers probes one that answers with a broken head. Guards against taking that for a sign that the
// path is still lost.
func TestBrokenHeadToPathProbe(t *testing.T) {
	for name, head := range stand.BrokenHeads("", "body") {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartRaw(func(*http.Request) string { return head })
			require.NoError(t, err)
			defer stop()
			n := probingNode(conns.Dial)
			require.True(t, n.paths.Lost())
			n.probeByPath(t.Context(), backs.Entry{ID: "a", Service: "s", Address: address})
			require.False(t, n.paths.Lost())
			require.Zero(t, n.connPool.OpenConnections("a"), "the connection was kept")
		})
	}
}
