package pass

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Servers break the connection of a request and then refuse new ones: as they crash, or as this VM loses its
// path to all of them. Guards against blocking a request, for all VMs, that has crashed no server.
func TestRefusedConnectionsOfLostPath(t *testing.T) {
	tests := map[string]struct {
		pathLost bool
		blocked  bool
	}{
		"servers crash": {pathLost: false, blocked: true},
		"path is lost":  {pathLost: true, blocked: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := truncationGateway(routes.Route{Kind: routes.Idempotent}, "dead:1", "dead:2", "dead:3", "dead:4", "dead:5", "dead:6")
			g.Paths.OnProcessEnded = g.Poison.ProcessEnded
			fingerprint := poison.Fingerprint("f")
			now := clock.Now()
			for i := range 5 {
				e := server(fmt.Sprint(i), "d", "dead")
				g.Poison.ConnectionLost(now, fingerprint, e.ID)
				g.connectionFailed(e.ID, fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
				if !tc.pathLost {
					// A probe of another server, as the suspicion asks for.
					g.Paths.ConnectionWorked(now)
				}
				now = now.Add(time.Second)
			}
			require.Equal(t, tc.pathLost, g.Paths.Lost())
			require.Equal(t, tc.blocked, g.Poison.BlockedFor(now, fingerprint) > 0)
		})
	}
}
