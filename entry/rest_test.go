package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// restAllowance is how many requests of one VM may be on their way when it learns of a rest.
	restAllowance = 2
	// pollsDuration is enough for some load reports of a server that is not at rest.
	pollsDuration = 600 * time.Millisecond
)

// restingServer is a server that can ask for rest and counts what it refuses meanwhile.
type restingServer interface{ RefusedAtRest() int64 }

// askForRest makes servers of a deployment ask all VMs for an hour of rest.
func askForRest(deployment *demo.Deployment, names ...string) []restingServer {
	const hour = "3600"
	var all []restingServer
	for _, name := range names {
		if engine := deployment.Engine(name); engine != nil {
			engine.SetFaults(stand.EngineFaults{RetryAfter: hour})
			all = append(all, engine)
			continue
		}
		service := deployment.Service(name)
		service.SetFaults(stand.ServiceFaults{RetryAfter: hour})
		all = append(all, service)
	}
	return all
}

// A server asks for rest, and requests, repeats, load reports or orders keep reaching it.
func TestServerAtRest(t *testing.T) {
	completions := func(id string) (string, string) { return "/v1/completions", completion("draft/m", id, 2) }
	calls := func(id string) (string, string) { return "/services/desk/loans", loanCall(id) }
	tests := map[string]struct {
		resting []string
		request func(id string) (path, body string)
		status  int
	}{
		"the only service":  {[]string{"desk-1"}, calls, http.StatusServiceUnavailable},
		"all engines":       {[]string{"llm-1", "llm-2"}, completions, http.StatusServiceUnavailable},
		"one of two":        {[]string{"llm-1"}, completions, http.StatusOK},
		"one, other's work": {[]string{"desk-1"}, completions, http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, nil)
			servers := askForRest(deployment, tc.resting...)
			refused := func() (n int64) {
				for _, s := range servers {
					n += s.RefusedAtRest()
				}
				return n
			}
			vms := []string{"one-1", "two-1"}
			for _, vm := range vms {
				metrics := deployment.VMs()[vm].Metrics()
				require.Eventually(t, func() bool { return metrics.CounterValue("backend.rests") == int64(len(servers)) }, testTimeout, time.Millisecond)
			}
			before := refused()
			for i := range 20 {
				path, body := tc.request(fmt.Sprint(name, i))
				r := post(t, deployment, vms[i%len(vms)], path, body, entry.HeaderIdempotencyKey, fmt.Sprint(name, i))
				require.Equal(t, tc.status, r.status, r.body)
				if tc.status != http.StatusOK {
					require.Equal(t, "not_run", r.problem.Outcome, r.body)
					wait, err := strconv.Atoi(r.header.Get("Retry-After"))
					require.NoError(t, err)
					require.Greater(t, wait, 3000, "the rest ends in an hour")
				}
			}
			time.Sleep(pollsDuration)
			require.LessOrEqual(t, refused()-before, int64(restAllowance*len(vms)*len(servers)))
		})
	}
}
