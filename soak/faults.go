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
	// maxFaultInterval bounds the time between the starts of two faults. maxFaultDuration bounds the
	// random part of a fault's duration. Faults follow in series and overlap.
	maxFaultInterval = 300 * time.Millisecond
	maxFaultDuration = 900 * time.Millisecond
	// maxRestartDelay bounds the time between the exit of a process and its restart.
	maxRestartDelay = 300 * time.Millisecond
	// maxFaultsPerKind bounds how often one injection makes a stand-in fail, for each kind of fault.
	maxFaultsPerKind = 4
)

// injectFaults injects faults until ctx ends, and returns when all timed faults have ended.
func (r *run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 1))
	var wait sync.WaitGroup
	version := 1
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxFaultInterval))))
		duration := maxFaultDuration/9 + time.Duration(rng.Int64N(int64(maxFaultDuration)))
		v, serverProxy := r.vms[rng.IntN(len(r.vms))], pick(rng, r.proxies())
		failureCount := 1 + rng.IntN(maxFaultsPerKind)
		version++
		fault, name := r.selectFault(rng.IntN(14), v, serverProxy, failureCount, version)
		r.countFault(name)
		wait.Go(func() { fault(ctx, duration) })
	}
	wait.Wait()
}

// countFault counts an injected fault by its name.
func (r *run) countFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

// fault injects one fault for a duration.
type fault func(ctx context.Context, duration time.Duration)

// commonFault returns the fault with an index of those that all runs have, and its name in the result, nil if the index is that
// of another one.
func (r *run) commonFault(index int, v *vm, serverProxy *Proxy) (fault, string) {
	switch index {
	case 0:
		return r.restart(v, syscall.SIGKILL), "kill"
	case 1:
		return r.restart(v, syscall.SIGTERM), "stop"
	case 3:
		return proxyFault(v.storeProxy, Stall), "store_silent"
	case 4:
		return proxyFault(v.storeProxy, StallResponses), "store_one_way"
	case 5:
		return r.serverProxyFault(serverProxy, Stall), "server_silent"
	case 6:
		return r.serverProxyFault(serverProxy, Delay), "server_delayed"
	}
	return nil, ""
}

// selectFault returns the fault with an index, and its name in the result.
func (r *run) selectFault(index int, v *vm, serverProxy *Proxy, failureCount, version int) (fault, string) {
	if inject, name := r.commonFault(index, v, serverProxy); inject != nil {
		return inject, name
	}
	switch index {
	case 2:
		return func(ctx context.Context, d time.Duration) {
			defer r.disturbances.record(v.listenAddress)()
			v.signal(syscall.SIGSTOP)
			pause.For(ctx, d)
			v.signal(syscall.SIGCONT)
		}, "pause"
	case 7:
		return func(context.Context, time.Duration) {
			defer r.disturbances.record(serverProxy.Address())()
			serverProxy.Reset()
		}, "server_reset"
	case 8:
		return func(context.Context, time.Duration) { v.storeProxy.Reset() }, "store_reset"
	case 9:
		return func(ctx context.Context, d time.Duration) {
			r.site.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}, LostResponses: failureCount})
			pause.For(ctx, d)
			r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
		}, "store_away"
	case 10:
		return func(context.Context, time.Duration) { r.site.Objects.Compact() }, "store_compacted"
	case 11:
		return r.injectServerFaults(demo.SitePlainService, stand.BackendFaults{ErrorResponses: failureCount, LostResponses: failureCount, DuplicateResponses: failureCount, Rejections: failureCount, ForgedResponses: failureCount, ByCloseResponses: failureCount, CutShortResponses: failureCount, EndlessResponses: failureCount, BrokenHeads: failureCount}), "plain_servers"
	case 12:
		return r.injectServerFaults(demo.SiteModelService, stand.BackendFaults{LostResponses: failureCount, BrokenStreams: failureCount, Rejections: failureCount, LostOrderResponses: failureCount, ByCloseResponses: failureCount, CutShortResponses: failureCount, EndlessResponses: failureCount, BrokenHeads: failureCount}), "model_servers"
	}
	return func(context.Context, time.Duration) {
		if err := r.site.Configure(version, demo.SiteRoutes(), teams(1, true)...); err != nil {
			r.checks.AddViolation("configuration not written: %v", err)
		}
	}, "configuration"
}

// proxyFault returns a fault that sets the mode of a proxy for its duration.
func proxyFault(p *Proxy, mode ProxyMode) fault {
	return func(ctx context.Context, duration time.Duration) {
		p.SetMode(mode)
		pause.For(ctx, duration)
		p.SetMode(Forward)
	}
}

// serverProxyFault is proxyFault for the proxy in front of a backend server.
func (r *run) serverProxyFault(p *Proxy, mode ProxyMode) fault {
	inject := proxyFault(p, mode)
	return func(ctx context.Context, duration time.Duration) {
		defer r.disturbances.record(p.Address())()
		inject(ctx, duration)
	}
}

// injectServerFaults returns a fault that makes the backend servers of a service inject the given
// faults. The counts apply to all servers together.
func (r *run) injectServerFaults(service string, faults stand.BackendFaults) fault {
	return func(context.Context, time.Duration) {
		sharedFaults := stand.NewPendingFaults(faults)
		for _, b := range r.site.Backends(service) {
			b.SetPendingFaults(sharedFaults)
		}
	}
}

// restart returns a fault that ends a process with a signal and restarts it.
func (r *run) restart(v *vm, s syscall.Signal) fault {
	return func(_ context.Context, delay time.Duration) {
		if !v.reserve() {
			return
		}
		defer v.release()
		defer r.disturbances.record(v.listenAddress)()
		v.signal(s)
		// A paused process handles SIGTERM only after SIGCONT.
		v.signal(syscall.SIGCONT)
		if !v.waitExit() {
			r.checks.AddViolation("a VM did not exit after signal %v", s)
		}
		time.Sleep(min(delay, maxRestartDelay))
		if err := v.start(r.options.Program); err != nil {
			r.checks.AddViolation("a VM did not restart: %v", err)
		}
	}
}
