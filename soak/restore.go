package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// maxRestoreInterval bounds the time between two restores of the store, maxCopyAge the age of the copy and
	// maxRestoreTime how long the store is away.
	maxRestoreInterval = 3 * time.Second
	maxCopyAge         = 1500 * time.Millisecond
	maxRestoreTime     = time.Second
	// maxRewriteDelay bounds how long after a restore servers write their entries again.
	maxRewriteDelay = 500 * time.Millisecond
	// lostChanges is how many changes checkRestored loses besides the configuration.
	lostChanges = 1000
	// configBeforeRestore and configAfterRestore are the versions of the configuration in checkRestored, higher
	// than those of the faults.
	configBeforeRestore = 1 << 19
	configAfterRestore  = configBeforeRestore + 1
)

// restoreStore makes the store come back from copies until ctx ends. Servers write their entries again then.
func (r *run) restoreStore(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 7))
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxRestoreInterval))))
		saved := r.site.Objects.Copy()
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxCopyAge))))
		r.countFault("store_restored")
		r.site.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxRestoreTime))))
		r.site.Objects.Restore(saved)
		r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
		time.Sleep(time.Duration(rng.Int64N(int64(maxRewriteDelay))))
		r.site.WriteEntries()
	}
}

// checkRestored checks that the configuration written after the store came back from a copy is in force on all VMs,
// and that none goes back meanwhile. One VM is killed while the store is away, and starts after it. It guards against
// VMs that wait until the store's revisions have passed those that it lost.
func (r *run) checkRestored(ctx context.Context) {
	saved := r.site.Objects.Copy()
	for i := range lostChanges {
		if _, err := r.site.Objects.Put("fillers", "f", -1, fmt.Appendf(nil, "%d", i)); err != nil {
			r.checks.AddViolation("change not written: %v", err)
		}
	}
	r.configureVersion(configBeforeRestore)
	pause.For(ctx, applyTimeout)
	for i := range r.vms {
		r.checkInForce(i, configBeforeRestore, recoveryTimeout)
	}
	r.site.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
	killed := int(r.options.Seed % uint64(len(r.vms)))
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		r.restart(r.vms[killed], syscall.SIGKILL)(ctx, maxRestartDelay)
	}()
	pause.For(ctx, maxRestoreTime)
	r.site.Objects.Restore(saved)
	r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
	r.site.WriteEntries()
	<-restarted
	pause.For(ctx, maxRestoreTime)
	for i := range r.vms {
		if i != killed {
			r.checkInForce(i, configBeforeRestore, 0)
		}
	}
	r.configureVersion(configAfterRestore)
	pause.For(ctx, applyTimeout)
	for i := range r.vms {
		r.checkInForce(i, configAfterRestore, recoveryTimeout)
	}
}

// versionPath returns the path of a route that only one version of the configuration has.
func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (r *run) configureVersion(version int) {
	list := demo.SiteRoutes()
	added := list[0]
	added.Name, added.PathPrefix = "version", versionPath(version)
	if err := r.site.Configure(version, append(list, added), teams(1, true)...); err != nil {
		r.checks.AddViolation("configuration not written: %v", err)
	}
}

// checkInForce checks that a VM has a version of the configuration in force. Requests that fail otherwise are
// repeated for a time.
func (r *run) checkInForce(i, version int, limit time.Duration) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	kind := demo.RequestKind{Name: "version", Method: http.MethodGet, Path: versionPath(version) + "x"}
	for deadline := time.Now().Add(limit); ; {
		id := fmt.Sprintf("version-%d-%d-%d-%d", r.options.Seed, version, i, time.Now().UnixNano())
		o := r.site.SendRequest(context.Background(), client, r.vms[i].listenAddress, id, kind, rand.New(rand.NewPCG(1, 1)))
		switch {
		case o.Succeeded():
			return
		case o.Status == http.StatusNotFound:
			r.checks.AddViolation("VM %d: version %d of the configuration is not in force", i, version)
			return
		case time.Now().After(deadline):
			if limit > 0 {
				r.checks.AddViolation("VM %d: status %d for a request that version %d of the configuration allows", i, o.Status, version)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
