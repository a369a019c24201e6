package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/replay"
)

// quotasReport compares ways for the VMs to keep to a team's quota together.
type quotasReport struct {
	CommonReport
	Rows []quotasRow `json:"rows"`
}

// quotasRow is the result of one replay.
type quotasRow struct {
	VMs    int    `json:"vms"`
	Fault  string `json:"fault"`
	Method string `json:"method"`
	// PerSecond is the team's quota in tokens, and Times the demand as a multiple of it.
	PerSecond float64 `json:"per_second"`
	Times     float64 `json:"times"`
	// Served is the use in the worst window of the demand as a share of the rate, Most the use in the
	// fullest window as a share of rate and burst, and Calls the calls to the root per request.
	Served float64 `json:"served"`
	Most   float64 `json:"most"`
	Calls  float64 `json:"calls"`
}

// hotAfter is the time in the pattern from which the team sends the multiple of its quota.
const hotAfter = 9 * time.Second

// quotas replays a hot team with each method, fleet size and fault.
func quotas(ctx context.Context, o Options) (Report, error) {
	report := &quotasReport{CommonReport: CommonReport{Experiment: "quotas", Seed: o.Seed}}
	for _, vms := range []int{9, 87, 300} {
		for _, perSecond := range []float64{821_000, 29_000} {
			for _, times := range []float64{1, 2, 4, 8} {
				for _, fault := range []string{"none", "domain cut", "controller lost", "all restarted"} {
					for _, method := range []replay.QuotaMethod{replay.QuotaNear, replay.QuotaAlways, replay.QuotaEqual} {
						if err := ctx.Err(); err != nil {
							return report, fmt.Errorf("replay quotas: %w", err)
						}
						report.replay(o, replay.HotTeam(vms, perSecond, times), fault, method, times)
					}
				}
			}
		}
	}
	return report, nil
}

func (r *quotasReport) replay(o Options, p replay.QuotaPattern, fault string, method replay.QuotaMethod, times float64) {
	replay.QuotaFaults[fault](&p)
	result := replay.RunQuotas(p, method, o.Seed)
	most, _ := result.UsedIn(p.Rules.Window, 0, p.Length)
	_, least := result.UsedIn(p.Rules.Window, hotAfter, p.Length)
	perWindow := p.Quota.PerSecond * p.Rules.Window.Seconds()
	row := quotasRow{
		VMs: p.VMs, Fault: fault, Method: string(method), PerSecond: p.Quota.PerSecond, Times: times,
		Served: float64(least) / perWindow, Most: float64(most) / (perWindow + p.Quota.Burst), Calls: float64(result.Calls) / float64(max(result.Offered, 1)),
	}
	r.Rows = append(r.Rows, row)
	r.Requests += result.Offered
	if fault != "none" {
		r.FaultsInjected++
	}
	fmt.Fprintf(o.Out, "%3d VMs %7.0f/s x%.0f %-15s %-6s served %.2f most %.2f calls %.1f\n",
		row.VMs, row.PerSecond, row.Times, row.Fault, row.Method, row.Served, row.Most, row.Calls)
}
