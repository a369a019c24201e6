package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// streamFaultInterval bounds the time between two faults, and streamRelease that between two releases.
	streamFaultInterval = 200 * time.Millisecond
	streamRelease       = 500 * time.Millisecond
	// longStandstill bounds how long a process stands still, or is without the store.
	longStandstill = 4 * time.Second
	// shareWindow is the window in which a process runs for its share of a core.
	shareWindow = 100 * time.Millisecond
)

// releaseVersions replaces model servers by ones of another software version, under their names, until ctx ends.
func (r *run) releaseVersions(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 901))
	versions := append([]string{"v3"}, softwareVersions...)
	servers := r.site.Backends(demo.SiteModelService)
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(streamRelease))))
		if r.replaceInstance(servers[rng.IntN(len(servers))], versions[rng.IntN(len(versions))]) {
			r.countFault("release")
		}
	}
}

// replaceInstance ends the process of a model server and starts another one of a software version under its name. It reports
// false if one is still starting. The old process has ended before anything tells of the new version.
func (r *run) replaceInstance(b *stand.Backend, version string) bool {
	r.mu.Lock()
	server, startedAt := r.streamServers[b.ID], b.Entry().StartedAt
	starting := r.replacedAt[b.ID].Equal(startedAt)
	r.replacedAt[b.ID] = startedAt
	r.mu.Unlock()
	if starting {
		return false
	}
	_ = server.Close()
	r.site.ReleaseBackend(b, version)
	r.addModelsLater(b)
	return true
}

// addModelsLater loads the models of streams at a server once it has started again, so that controllers need not.
func (r *run) addModelsLater(b *stand.Backend) {
	time.AfterFunc(250*time.Millisecond, func() {
		b.AddModels(streamModels()...)
		b.OnChange()
	})
}

// crashModelServers crashes model servers with all their streams until ctx ends.
func (r *run) crashModelServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 902))
	servers := r.site.Backends(demo.SiteModelService)
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(streamRelease))))
		b := servers[rng.IntN(len(servers))]
		if r.replaceInstance(b, b.SoftwareVersion()) {
			r.countFault("server_crash")
		}
	}
}

// replaceServers adds model servers under new names and lets each leave, until ctx ends.
func (r *run) replaceServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 903))
	var wait sync.WaitGroup
	for n := len(r.site.Backends(demo.SiteModelService)); ctx.Err() == nil; n++ {
		pause.For(ctx, time.Duration(rng.Int64N(int64(longStandstill))))
		b, err := r.site.AddBackend(demo.SiteModelService, n)
		if err != nil {
			r.checks.AddViolation("add a server: %v", err)
			break
		}
		r.countFault("server_added")
		b.AddModels(streamModels()...)
		b.OnChange()
		wait.Go(func() {
			pause.For(ctx, longStandstill)
			b.Drain()
			pause.For(ctx, time.Second)
			_ = r.site.RemoveBackend(b)
		})
	}
	wait.Wait()
}

// injectStreamFaults injects faults into servers, the store and VMs until ctx ends, and returns when all have ended.
func (r *run) injectStreamFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 904))
	var wait sync.WaitGroup
	for version := 2; ctx.Err() == nil; version++ {
		pause.For(ctx, time.Duration(rng.Int64N(int64(streamFaultInterval))))
		v, p := r.vms[rng.IntN(len(r.vms))], pick(rng, r.proxies())
		duration := time.Duration(rng.Int64N(int64(longStandstill)))
		inject, name := r.selectStreamFault(rng.IntN(12), v, p, version)
		r.countFault(name)
		wait.Go(func() { inject(ctx, duration) })
	}
	wait.Wait()
}

func (r *run) selectStreamFault(index int, v *vm, p *Proxy, version int) (fault, string) {
	if inject, name := r.commonFault(index, v, p); inject != nil {
		return inject, name
	}
	switch index {
	case 2:
		return func(ctx context.Context, d time.Duration) {
			if !v.reserve() {
				return
			}
			defer v.release()
			v.signal(syscall.SIGSTOP)
			pause.For(ctx, d)
			v.signal(syscall.SIGCONT)
		}, "pause"
	case 7:
		return func(context.Context, time.Duration) { p.Reset() }, "server_reset"
	case 8:
		return func(context.Context, time.Duration) { r.site.Objects.Compact() }, "store_compacted"
	case 9:
		return func(context.Context, time.Duration) {
			if err := r.site.Configure(version, demo.SiteRoutes(), teams(1, true)...); err != nil {
				r.checks.AddViolation("configuration not written: %v", err)
			}
		}, "configuration"
	}
	const each = 5
	return r.injectServerFaults(demo.SiteModelService, stand.BackendFaults{LostResponses: each, BrokenStreams: each, Rejections: each, ByCloseResponses: each, CutShortResponses: each}), "model_servers"
}

// limitShares lets each VM run for its share of a core only, by stopping it for a part of each shareWindow, until ctx ends.
func (r *run) limitShares(ctx context.Context) {
	if r.options.Share == 0 {
		return
	}
	const steps = 10
	running := min(max(int(r.options.Share*steps+0.5), 1), steps)
	for step := 0; ctx.Err() == nil; step++ {
		for i, v := range r.vms {
			switch (step + i) % steps {
			case 0:
				r.signalUnlessReserved(v, syscall.SIGCONT)
			case running:
				r.signalUnlessReserved(v, syscall.SIGSTOP)
			}
		}
		pause.For(ctx, shareWindow/steps)
	}
	for _, v := range r.vms {
		r.signalUnlessReserved(v, syscall.SIGCONT)
	}
}

// signalUnlessReserved sends a signal to a VM that is not being restarted or stopped by a fault.
func (r *run) signalUnlessReserved(v *vm, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.reserved {
		_ = v.command.Process.Signal(s)
	}
}
