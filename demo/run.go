package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/sample"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const readyTimeout = 30 * time.Second

// RunOptions configures a demo run.
type RunOptions struct {
	// Deployment is the name of an example deployment.
	Deployment string
	// LoadDuration is the duration of the load; 0 sends no load and waits until the context ends.
	LoadDuration time.Duration
	// Rate is the load in requests per second.
	Rate float64
	Seed uint64
	Out  io.Writer
	Log  zerolog.Logger
}

// Run runs an example deployment with one VM in each failure domain. It returns the number of
// violated guarantees.
func Run(ctx context.Context, o RunOptions) (int, error) {
	settings, err := sample.Settings(o.Deployment)
	if err != nil {
		return 0, err
	}
	profiles, err := sample.Profiles(o.Deployment)
	if err != nil {
		return 0, err
	}
	d, err := Start(ctx, Options{Settings: settings, Profiles: profiles, MaxVMsPerDomain: 1, Preload: true, Seed: o.Seed, Log: o.Log})
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(readyCtx); err != nil {
		return 0, err
	}
	d.printUsage(o.Out, settings, profiles)
	if o.LoadDuration == 0 {
		<-ctx.Done()
		return 0, nil
	}
	summary := d.RunLoad(ctx, MixedLoad(settings, profiles, o.Rate), o.LoadDuration, o.Seed, o.Out)
	if err := summary.WriteTable(o.Out); err != nil {
		return 0, err
	}
	return summary.Violations.TotalViolations(), nil
}

// RunLoad sends load to the deployment and returns a summary of the results.
func (d *Deployment) RunLoad(ctx context.Context, classes []load.Class, duration time.Duration, seed uint64, out io.Writer) load.Summary {
	return d.Summarize(classes, d.SendLoad(ctx, classes, duration, seed, out))
}

// SendLoad sends load to the deployment and returns the result of each request.
func (d *Deployment) SendLoad(ctx context.Context, classes []load.Class, duration time.Duration, seed uint64, out io.Writer) []load.Result {
	r := &load.Runner{Classes: classes, Targets: d.ReadyAddresses, Progress: progressPrinter(out)}
	return r.Run(ctx, load.Schedule(seed, duration, classes))
}

// Summarize summarizes the results together with the counters and recorded executions of the stand-ins.
func (d *Deployment) Summarize(classes []load.Class, results []load.Result) load.Summary {
	s := load.Summarize(classes, results, d.Runs.Counts())
	s.Violations.Overcommits = d.Overcommits()
	s.Violations.UnreachableModels = len(d.UnreachableModels())
	return s
}

func progressPrinter(out io.Writer) func(time.Duration, int, int) {
	if out == nil {
		return nil
	}
	return func(elapsed time.Duration, sent, completed int) {
		fmt.Fprintf(out, "%3.0fs sent %d answered %d\n", elapsed.Seconds(), sent, completed)
	}
}

// printUsage prints the addresses of the VMs and an example request.
func (d *Deployment) printUsage(out io.Writer, s *conf.Settings, profiles []wire.Profile) {
	addresses := d.ReadyAddresses()
	slices.Sort(addresses)
	fmt.Fprintf(out, "%s: %d entry VMs, %d backend servers, %d profiles\n", s.Text("deployment", "name"), len(addresses), len(d.servers), len(profiles))
	for _, a := range addresses {
		fmt.Fprintf(out, "  callers: http://%s\n", a)
	}
	key := ""
	for k := range s.Callers() {
		key = k
	}
	for _, p := range profiles {
		if p.RunsAllowed > 1 && len(p.Models) > 0 {
			fmt.Fprintf(out, "example request:\n  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s/%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Which allergens are in peanut chikki?\"}]}'\n",
				addresses[0], key, p.Name, p.Models[0].Name)
			return
		}
	}
}
