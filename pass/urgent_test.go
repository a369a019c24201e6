package pass

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// The only server has an hour of less urgent prompts before it. Guards against refusing a request that
// the server runs before them, against admitting one that it runs after them, and against a changed
// admission where the routes of the service have one priority.
func TestUrgentRequestOvertakes(t *testing.T) {
	tests := map[string]struct {
		priority, otherPriority int
		status, sent            int
	}{
		"urgent":         {priority: 0, otherPriority: 2, status: http.StatusOK, sent: 1},
		"less urgent":    {priority: 2, otherPriority: 0, status: http.StatusServiceUnavailable},
		"equally urgent": {priority: 2, otherPriority: 2, status: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			busy := server("a", "d", startBackend(t, http.StatusOK))
			g := testGateway(busy)
			var log bytes.Buffer
			g.Log = zerolog.New(&log)
			to := []routes.Target{{Service: "s", Weight: 1}}
			table := routes.NewTable(1, []routes.Route{
				{Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Idempotent, Timeout: time.Hour, MaxServers: 2, Priority: tc.priority, Targets: to},
				{Name: "other", Host: "other", PathPrefix: "/", Priority: tc.otherPriority, Targets: to},
			}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
			g.Table = func() *routes.Table { return table }
			waiting := pick.Work{Model: "m"}
			if table.HasMixedPriorities("s") {
				waiting.Priority = 5
			}
			g.Balancer.Begin(clock.Now(), pick.Choice{Server: busy, PrefillTime: time.Hour}, waiting, 0)
			require.Equal(t, tc.status, sendRequest(g).Code)
			require.EqualValues(t, tc.sent, g.Meter.CounterValue("pick.overtaken"))
			if tc.sent == 0 {
				return
			}
			var line struct {
				Queue, Overtaken float64
			}
			lines := strings.Split(strings.TrimSpace(log.String()), "\n")
			require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &line))
			require.Positive(t, line.Queue)
			require.Less(t, line.Queue, 100.0, "milliseconds")
			require.Greater(t, line.Overtaken, 3_000_000.0)
		})
	}
}
