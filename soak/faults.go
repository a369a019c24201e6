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
	// faultGap bounds the pause between two faults, faultLength how long one
	// lasts: they come in series and overlap.
	faultGap    = 300 * time.Millisecond
	faultLength = 900 * time.Millisecond
	// restartPause bounds the time until a process that ended starts again.
	restartPause = 300 * time.Millisecond
	strikeMost   = 4
)

// strike injects faults until ctx ends, and returns when all have been lifted.
func (r *run) strike(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 1))
	var wait sync.WaitGroup
	version := 1
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(faultGap))))
		length := faultLength/9 + time.Duration(rng.Int64N(int64(faultLength)))
		v, front := r.vms[rng.IntN(len(r.vms))], r.fronts[rng.IntN(len(r.fronts))]
		n := 1 + rng.IntN(strikeMost)
		version++
		fault, name := r.draw(rng.IntN(14), v, front, n, version)
		r.count(name)
		wait.Go(func() { fault(ctx, length) })
	}
	wait.Wait()
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

type fault func(ctx context.Context, length time.Duration)

// draw returns one fault and its name.
func (r *run) draw(which int, v *vm, front *Proxy, n, version int) (fault, string) {
	switch which {
	case 0:
		return r.restart(v, syscall.SIGKILL), "kill"
	case 1:
		return r.restart(v, syscall.SIGTERM), "stop"
	case 2:
		return func(ctx context.Context, d time.Duration) {
			v.signal(syscall.SIGSTOP)
			pause.For(ctx, d)
			v.signal(syscall.SIGCONT)
		}, "pause"
	case 3:
		return proxied(v.store, Silence), "store_silent"
	case 4:
		return proxied(v.store, OneWay), "store_one_way"
	case 5:
		return proxied(front, Silence), "server_silent"
	case 6:
		return proxied(front, Delay), "server_delayed"
	case 7:
		return func(context.Context, time.Duration) { front.Reset() }, "server_reset"
	case 8:
		return func(context.Context, time.Duration) { v.store.Reset() }, "store_reset"
	case 9:
		return func(ctx context.Context, d time.Duration) {
			r.site.Objects.SetFaults(stand.ObjectFaults{Away: []string{"*"}, LoseAnswers: n})
			pause.For(ctx, d)
			r.site.Objects.SetFaults(stand.ObjectFaults{})
		}, "store_away"
	case 10:
		return func(context.Context, time.Duration) { r.site.Objects.Compact() }, "store_compacted"
	case 11:
		return r.strikes(demo.SitePlain, stand.BackendFaults{Fail: n, Lose: n, Stray: n, Refuse: n, Forge: n}), "plain_servers"
	case 12:
		return r.strikes(demo.SiteModel, stand.BackendFaults{Lose: n, Cut: n, Refuse: n, LoseOrders: n}), "model_servers"
	}
	return func(context.Context, time.Duration) {
		if err := r.site.Configure(version, demo.SiteRoutes()); err != nil {
			r.checks.Add("configuration not written: %v", err)
		}
	}, "configuration"
}

func proxied(p *Proxy, m Mode) fault {
	return func(ctx context.Context, d time.Duration) {
		p.Set(m)
		pause.For(ctx, d)
		p.Set(Pass)
	}
}

func (r *run) strikes(service string, f stand.BackendFaults) fault {
	return func(context.Context, time.Duration) {
		s := stand.NewStrikes(f)
		for _, b := range r.site.Backends(service) {
			b.SetStrikes(s)
		}
	}
}

// restart ends a process by a signal and starts it again.
func (r *run) restart(v *vm, s syscall.Signal) fault {
	return func(_ context.Context, d time.Duration) {
		if !v.claim() {
			return
		}
		defer v.release()
		v.signal(s)
		// A process that is paused takes SIGTERM when it goes on.
		v.signal(syscall.SIGCONT)
		if !v.mustEnd() {
			r.checks.Add("a VM did not end after signal %v", s)
		}
		time.Sleep(min(d, restartPause))
		if err := v.start(r.options.Program); err != nil {
			r.checks.Add("a VM did not start again: %v", err)
		}
	}
}
