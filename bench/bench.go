// Package bench contains the named experiments. Each one runs a deployment of
// entry VMs and server stand-ins under load with injected faults, compares it
// with a baseline, and returns a report.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/load"
)

// Options configure an experiment.
type Options struct {
	Seed uint64
	// Duration is how long the load runs; 0 selects the experiment's default.
	Duration time.Duration
	// Out receives progress and tables.
	Out io.Writer
	// PlotPath is the path of the plot file, or "" for none. Only the replay experiments
	// write one.
	PlotPath string
}

// duration returns Duration, or defaultDuration if Duration is 0.
func (o Options) duration(defaultDuration time.Duration) time.Duration {
	if o.Duration > 0 {
		return o.Duration
	}
	return defaultDuration
}

// Report contains the results of an experiment. It is encoded as one JSON object.
type Report any

// CommonReport contains the fields that every report has.
type CommonReport struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	load.Violations
	// FaultsInjected counts the injected faults. A run without faults proves
	// nothing.
	FaultsInjected int `json:"faults_injected"`
	Requests       int `json:"requests"`
}

// Experiment is a named experiment.
type Experiment struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, o Options) (Report, error)
}

// experiments lists all experiments.
var experiments = []Experiment{
	{"overhead", "latency that the gateway adds to a direct call to an engine", overhead},
	{"flood", "one caller floods a profile that other callers share", flood},
	{"leave", "a backend server and two VMs shut down under full load", leave},
	{"storm", "a third of the servers crash under load", storm},
	{"streams", "streaming connections break; frames are repeated or mixed with those of other attempts", streams},
	{"spread", "a configuration change propagates while a failure domain cannot reach the platform", spread},
	{"partition", "a failure domain is partitioned, first one way and then both, and reconnected", partition},
	{"outage", "a VM is replaced while the platform is unavailable", outage},
	{"rolling", "all VMs are replaced in turn under load", rolling},
	{"control", "control-plane cost per VM at increasing fleet sizes", control},
	{"takeover", "controllers and a server with the only copies of models crash", takeover},
	{"late_orders", "orders are lost, late or duplicated while demand shifts", lateOrders},
	{"shift", "all demand shifts from some models to others at once", shift},
	{"vadodara", "the models of the vadodara deployment under bursts, against static placement", vadodara},
	{"vidzeme", "the models of the vidzeme deployment under shifting demand, against swapping", vidzeme},
	{"worst_small", "replay of 9 VMs and 12 servers at their worst-case load", worst("small")},
	{"worst_medium", "replay of 71 VMs and 112 servers at their worst-case load", worst("medium")},
	{"worst_large", "replay of 195 VMs and 156 servers at their worst-case load", worst("large")},
	{"quotas", "replay of a team beyond its quota, by way of keeping it, fleet size and fault", quotas},
	{"origins", "who keeps which software version began a stream: what is taken up after VMs end, and what it costs", origins},
	{"retries", "replay of processes that are killed while servers break answers, by way of keeping the retries of all VMs", retries},
	{"repeat", "claims of idempotency keys, batched and with one write each; repeated keys under store faults", repeat},
}

// List returns all experiments.
func List() []Experiment { return experiments }

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	for _, e := range experiments {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, trace.NotFound("no experiment named %q", name)
}

// violationError returns an error if guarantees were violated.
func (c CommonReport) violationError() error {
	if n := c.TotalViolations(); n > 0 {
		return fmt.Errorf("%d guarantee violations: %+v", n, c.Violations)
	}
	return nil
}
