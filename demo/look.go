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

// Ready returns the callers' addresses of the VMs that are ready, as the
// platform's balancer sees them.
func (w *World) Ready() []string {
	var addresses []string
	for _, d := range w.VMs() {
		if d.Ready() {
			addresses = append(addresses, d.Address())
		}
	}
	return addresses
}

// Engine returns an engine stand-in.
func (w *World) Engine(name string) *stand.Engine { return w.engines[name] }

// Service returns a service stand-in.
func (w *World) Service(name string) *stand.Service { return w.services[name] }

// Servers returns the documents of the backend servers.
func (w *World) Servers() []wire.Server { return w.servers }

// Overcommits returns how often an engine's memory was overcommitted.
func (w *World) Overcommits() int {
	total := 0
	for _, e := range w.engines {
		total += int(e.Counts().Overcommits)
	}
	return total
}

// Moves returns how many loads and unloads the engines have carried out.
func (w *World) Moves() int {
	total := 0
	for _, e := range w.engines {
		c := e.Counts()
		total += int(c.Loads + c.Unloads)
	}
	return total
}

// UnreachableModels returns the models and adapters that no engine holds.
func (w *World) UnreachableModels() []ctrl.Artifact {
	var missing []ctrl.Artifact
	for _, obj := range w.Platform.List(profs.ObjectKind).Items {
		doc, err := profs.Parse(obj.Value)
		if err != nil || doc.Retired {
			continue
		}
		for _, m := range doc.Models {
			for _, a := range (naive.Demand{Model: m}).Artifacts() {
				if !w.holds(a) {
					missing = append(missing, a)
				}
			}
		}
	}
	return missing
}

func (w *World) holds(a ctrl.Artifact) bool {
	for name, e := range w.engines {
		if !w.isDead(name) && e.IsLoaded(a.Model, a.Adapter) {
			return true
		}
	}
	return false
}

func (w *World) isDead(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[server]
}

// OnlyCopies returns how many models only the named engine holds.
func (w *World) OnlyCopies(server string) int {
	e := w.engines[server]
	if e == nil {
		return 0
	}
	n := 0
	for _, r := range e.Report().Residents {
		others := 0
		for name, other := range w.engines {
			if name != server && !w.isDead(name) && other.IsLoaded(r.Model, r.Adapter) {
				others++
			}
		}
		if others == 0 {
			n++
		}
	}
	return n
}

var errNotReady = errors.New("the VMs did not get ready in time")

// WaitReady waits until every VM is ready and every model is reachable.
func (w *World) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		vms := w.VMs()
		if len(w.Ready()) == len(vms) && len(w.UnreachableModels()) == 0 && w.seen(vms) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotReady
		case <-tick.C:
		}
	}
}

// seen reports whether every VM has had a report of every server.
func (w *World) seen(vms map[string]*entry.Daemon) bool {
	for _, d := range vms {
		if !d.HasServerReports() {
			return false
		}
	}
	return true
}

// Close ends the deployment at once.
func (w *World) Close() {
	for _, d := range w.VMs() {
		d.Kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.https {
		_ = s.Close()
	}
}

// StoreClient returns a client of the platform for a named caller.
func (w *World) StoreClient(name string) *store.Client {
	return store.New("http://"+w.platform, w.options.Settings.Text("platform", "key"), name)
}
