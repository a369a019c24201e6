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

// Ready returns the caller-facing addresses of the VMs whose readiness check succeeds, as used by the
// platform's load balancer.
func (w *World) Ready() []string {
	var addresses []string
	for _, d := range w.VMs() {
		if d.Ready() {
			addresses = append(addresses, d.Address())
		}
	}
	return addresses
}

// Engine returns the engine stand-in of a name, or nil.
func (w *World) Engine(name string) *stand.Engine { return w.engines[name] }

// Service returns the service stand-in of a name, or nil.
func (w *World) Service(name string) *stand.Service { return w.services[name] }

// Servers returns the documents of the backend servers.
func (w *World) Servers() []wire.Server { return w.servers }

// Overcommits returns how often the memory of any engine was overcommitted.
func (w *World) Overcommits() int {
	total := 0
	for _, e := range w.engines {
		total += int(e.Counts().Overcommits)
	}
	return total
}

// Moves returns the number of model and adapter loads and unloads that the engines have executed.
func (w *World) Moves() int {
	total := 0
	for _, e := range w.engines {
		c := e.Counts()
		total += int(c.Loads + c.Unloads)
	}
	return total
}

// UnreachableModels returns the models and adapters of the active profiles that no running engine
// holds.
func (w *World) UnreachableModels() []ctrl.Artifact {
	var missing []ctrl.Artifact
	for _, obj := range w.Platform.List(profs.Kind).Items {
		doc, err := profs.Parse(obj.Value)
		if err != nil || doc.Retired {
			continue
		}
		for _, m := range doc.Models {
			for _, a := range (naive.Demand{Model: m}).Artifacts() {
				if !w.isLoaded(a) {
					missing = append(missing, a)
				}
			}
		}
	}
	return missing
}

func (w *World) isLoaded(a ctrl.Artifact) bool {
	for name, e := range w.engines {
		if !w.isKilled(name) && e.Has(a.Model, a.Adapter) {
			return true
		}
	}
	return false
}

func (w *World) isKilled(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed[server]
}

// OnlyCopies returns the number of models and adapters that no running engine except the named one
// holds.
func (w *World) OnlyCopies(server string) int {
	e := w.engines[server]
	if e == nil {
		return 0
	}
	count := 0
	for _, r := range e.Report().Residents {
		others := 0
		for name, other := range w.engines {
			if name != server && !w.isKilled(name) && other.Has(r.Model, r.Adapter) {
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
func (w *World) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		vms := w.VMs()
		if len(w.Ready()) == len(vms) && len(w.UnreachableModels()) == 0 && w.allServersReported(vms) {
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
func (w *World) allServersReported(vms map[string]*entry.Daemon) bool {
	for _, d := range vms {
		if !d.SeesServers() {
			return false
		}
	}
	return true
}

// Close kills all VMs and closes all stand-ins immediately.
func (w *World) Close() {
	for _, d := range w.VMs() {
		d.Kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.httpServers {
		_ = s.Close()
	}
}

// StoreClient returns a client of the platform store with the given client name.
func (w *World) StoreClient(name string) *store.Client {
	return store.New("http://"+w.platformAddress, w.options.Settings.Text("platform", "key"), name)
}
