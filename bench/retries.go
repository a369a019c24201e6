package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/replay"
	"github.com/hibiscuscart/hibiscuscart/retry"
)

// retriesReport compares ways for VMs to keep to the retries of all of them when processes start again.
type retriesReport struct {
	CommonReport
	Rows []retriesRow `json:"rows"`
}

// retriesRow is the result of one replay.
type retriesRow struct {
	VMs    int    `json:"vms"`
	Fault  string `json:"fault"`
	Method string `json:"method"`
	// Most is the fullest window as a share of what is allowed in it, Sent the share of the retries wanted around
	// the kills that were sent, and Messages the questions to the controller for each of them.
	Most     float64 `json:"most"`
	Sent     float64 `json:"sent"`
	Messages float64 `json:"messages"`
}

// retryFaults are the faults of the retry replays.
var retryFaults = []struct {
	name  string
	apply func(p *replay.RetryPattern)
}{
	{"one kill of all", func(p *replay.RetryPattern) { p.KillAt, p.Killed, p.ControllerToo = seconds(20), 1, true }},
	{"three kills of all", func(p *replay.RetryPattern) { p.KillAt, p.Killed, p.ControllerToo = seconds(20, 23, 26), 1, true }},
	{"three kills of half, not the controller", func(p *replay.RetryPattern) { p.KillAt, p.Killed = seconds(20, 23, 26), 0.5 }},
}

func seconds(list ...int) []time.Duration {
	var times []time.Duration
	for _, s := range list {
		times = append(times, time.Duration(s)*time.Second)
	}
	return times
}

// retries replays servers that break answers off while processes are killed, with each method and fleet size.
func retries(ctx context.Context, o Options) (Report, error) {
	report := &retriesReport{CommonReport: CommonReport{Experiment: "retries", Seed: o.Seed}}
	for _, fleet := range []struct {
		vms              int
		perSecond, extra float64
	}{{7, 35, 54}, {87, 700, 222}, {985, 9000, 1500}} {
		for _, fault := range retryFaults {
			for _, method := range []replay.RetryMethod{replay.RetryAnew, replay.RetrySpent, replay.RetryTold, replay.RetryPermits} {
				if err := ctx.Err(); err != nil {
					return report, fmt.Errorf("replay retries: %w", err)
				}
				p := replay.RetryPattern{
					VMs: fleet.vms, PerSecond: fleet.perSecond, Failing: 0.6, Length: time.Minute,
					Rules: retry.Rules{PerRequest: 0.2, Extra: fleet.extra, Window: 10 * time.Second},
				}
				fault.apply(&p)
				r := replay.RunRetries(p, method, o.Seed)
				row := retriesRow{VMs: p.VMs, Fault: fault.name, Method: string(method), Most: r.Most}
				if r.Wanted > 0 {
					row.Sent, row.Messages = float64(r.Sent)/float64(r.Wanted), float64(r.Messages)/float64(r.Wanted)
				}
				report.Rows = append(report.Rows, row)
				report.Requests += r.Wanted
				report.FaultsInjected += len(p.KillAt)
				fmt.Fprintf(o.Out, "%3d VMs, %-40s %-24s most %.2f sent %.2f questions %.2f\n", row.VMs, row.Fault, row.Method, row.Most, row.Sent, row.Messages)
			}
		}
	}
	return report, nil
}
