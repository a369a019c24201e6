// Package bench has the named experiments: each runs a deployment of stand-ins
// and entry VMs under a load with faults, beside a baseline, and returns its
// figures.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/load"
)

// Options say how to run an experiment.
type Options struct {
	Seed uint64
	// For is the length of the load; 0 takes the experiment's own.
	For time.Duration
	// Out takes progress and tables.
	Out io.Writer
	// Plot is the file of a picture, "" for none. Only the experiments that are replays
	// draw one.
	Plot string
}

// length returns the wanted length of the load.
func (o Options) length(fallback time.Duration) time.Duration {
	if o.For > 0 {
		return o.For
	}
	return fallback
}

// Figures are the figures of an experiment, as one JSON object.
type Figures any

// Common are the figures that every experiment has.
type Common struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	load.Violations
	// FaultsInjected counts what was done to the system; a run without faults
	// proves nothing.
	FaultsInjected int `json:"faults_injected"`
	Requests       int `json:"requests"`
}

// Experiment is one named experiment.
type Experiment struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, o Options) (Figures, error)
}

// experiments is the registry.
var experiments = []Experiment{
	{"overhead", "latency that the path adds to a direct call of an engine", overhead},
	{"flood", "one caller floods a profile that others share", flood},
	{"leave", "a backend server and two VMs leave under full load", leave},
	{"storm", "a third of the servers die under load", storm},
	{"streams", "connections of streams break, frames are crossed and repeated", streams},
	{"spread", "changes spread while a domain can not reach the platform", spread},
	{"partition", "a failure domain is cut off, one way and both, and heals", partition},
	{"outage", "the platform is away and a VM is replaced meanwhile", outage},
	{"rolling", "all VMs are replaced under load", rolling},
	{"control", "what control costs a VM, at growing sizes", control},
	{"takeover", "controllers and a server with only copies die", takeover},
	{"late_orders", "orders are lost, late and doubled while demand moves", lateOrders},
	{"shift", "all demand moves from some models to others at once", shift},
	{"vadodara", "the Utility's models under bursts, against static placement", vadodara},
	{"vidzeme", "the Cooperative's models under wandering demand, against swapping", vidzeme},
	{"worst_small", "replay of 9 VMs and 12 servers at their worst load", worst("small")},
	{"worst_medium", "replay of 71 VMs and 112 servers at their worst load", worst("medium")},
	{"worst_large", "replay of 195 VMs and 156 servers at their worst load", worst("large")},
	{"repeat", "claims of idempotency keys, in batches and one write each; repeated keys under store faults", repeat},
}

// List returns the experiments.
func List() []Experiment { return experiments }

// Find returns the experiment with a name.
func Find(name string) (Experiment, error) {
	for _, e := range experiments {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, trace.NotFound("there is no experiment %q", name)
}

// broken returns an error when promises were broken.
func (c Common) broken() error {
	if n := c.TotalViolations(); n > 0 {
		return fmt.Errorf("%d promises were broken: %+v", n, c.Violations)
	}
	return nil
}
