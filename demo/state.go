package demo

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscart/hibiscuscart/ctrl"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// ReadyAddresses returns the caller-facing addresses of the VMs whose readiness check succeeds, as
// used by the platform's load balancer.
func (d *Deployment) ReadyAddresses() []string {
	var addresses []string
	for _, vm := range d.VMs() {
		if vm.Ready() {
			addresses = append(addresses, vm.Address())
		}
	}
	return addresses
}

// Engine returns the engine stand-in of a name, or nil.
func (d *Deployment) Engine(name string) *stand.Engine { return d.engines[name] }

// Service returns the service stand-in of a name, or nil.
func (d *Deployment) Service(name string) *stand.Service { return d.services[name] }

// Servers returns the documents of the backend servers.
func (d *Deployment) Servers() []wire.Server { return d.servers }

// Overcommits returns how often the memory of any engine was overcommitted.
func (d *Deployment) Overcommits() int {
	total := 0
	for _, e := range d.engines {
		total += int(e.Counts().Overcommits)
	}
	return total
}

// LoadsAndUnloads returns the number of model and adapter loads and unloads that the engines have
// executed.
func (d *Deployment) LoadsAndUnloads() int {
	total := 0
	for _, e := range d.engines {
		c := e.Counts()
		total += int(c.Loads + c.Unloads)
	}
	return total
}

// UnreachableModels returns the models and adapters of the active profiles that no running engine
// has loaded.
func (d *Deployment) UnreachableModels() []ctrl.Artifact {
	var missing []ctrl.Artifact
	for _, obj := range d.Platform.List(profs.ObjectKind).Items {
		doc, err := profs.Parse(obj.Value)
		if err != nil || doc.Retired {
			continue
		}
		for _, m := range doc.Models {
			for _, a := range (naive.PoolModel{Model: m}).Artifacts() {
				if !d.isLoaded(a) {
					missing = append(missing, a)
				}
			}
		}
	}
	return missing
}

func (d *Deployment) isLoaded(a ctrl.Artifact) bool {
	for name, e := range d.engines {
		if !d.isKilled(name) && e.IsLoaded(a.Model, a.Adapter) {
			return true
		}
	}
	return false
}

func (d *Deployment) isKilled(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed[server]
}

// SoleReplicas returns the number of models and adapters on an engine that no other running engine has
// loaded.
func (d *Deployment) SoleReplicas(server string) int {
	e := d.engines[server]
	if e == nil {
		return 0
	}
	count := 0
	for _, r := range e.Report().Residents {
		others := 0
		for name, other := range d.engines {
			if name != server && !d.isKilled(name) && other.IsLoaded(r.Model, r.Adapter) {
				others++
			}
		}
		if others == 0 {
			count++
		}
	}
	return count
}

var errNotReady = errors.New("deployment was not ready before the deadline")

// WaitReady waits until every VM is ready and has reports from all servers, and every model is
// loaded on an engine.
func (d *Deployment) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		vms := d.VMs()
		if len(d.ReadyAddresses()) == len(vms) && len(d.UnreachableModels()) == 0 && d.allServersReported(vms) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotReady
		case <-tick.C:
		}
	}
}

// allServersReported reports whether every VM has received a report from every server.
func (d *Deployment) allServersReported(vms map[string]*entry.Daemon) bool {
	for _, vm := range vms {
		if !vm.HasServerReports() {
			return false
		}
	}
	return true
}

// Close kills all VMs and closes all stand-ins immediately.
func (d *Deployment) Close() {
	for _, vm := range d.VMs() {
		vm.Kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.httpServers {
		_ = s.Close()
	}
}

// StoreClient returns a client of the platform store with the given client name.
func (d *Deployment) StoreClient(name string) *store.Client {
	return store.New("http://"+d.platformAddress, d.options.Settings.Text("platform", "key"), name)
}
