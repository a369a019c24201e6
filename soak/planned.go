package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// plannedWorkTime and plannedEventTime are how long servers take for a request and an event meanwhile: a stream
	// lasts longer than plannedGrace once the notice of a VM is nearly over, and with a silence fits into it before.
	plannedWorkTime  = time.Second
	plannedEventTime = 340 * time.Millisecond
	plannedGrace     = 5 * time.Second
	// graceTail is the last part of the grace time, in which a request that was there before SIGTERM may be cut.
	graceTail = plannedGrace / 6
	// plannedCallersPerVM is how many callers send requests to each VM. They do for plannedLead before the first SIGTERM,
	// or for measuredLead, in which VMs measure the pace of streams; maxStopGap bounds the time between two.
	plannedCallersPerVM = 6
	plannedLead         = time.Second
	measuredLead        = 8 * time.Second
	maxStopGap          = 2500 * time.Millisecond
	// plannedTokensPerEvent is the number of tokens of an event where VMs know it. The callers ask for 32.
	plannedTokensPerEvent = 4
	// maxChangeGap bounds the time between two configurations, maxReloadGap that between two reloads.
	maxChangeGap = 700 * time.Millisecond
	maxReloadGap = 900 * time.Millisecond
	// plannedConfig is the first version of the configurations.
	plannedConfig = 2
	// crossingTime is how long a request that no VM has read may be under way when its connection ends.
	crossingTime = 500 * time.Millisecond
	// refusedPause is how long a caller waits after its VM has not accepted its connection.
	refusedPause = 50 * time.Millisecond
)

var (
	usualDrain   = []byte("[drain]\ngrace = 5s\nnotice = 50ms\n")
	plannedDrain = []byte("[drain]\ngrace = 5s\nnotice = 2s\n")
)

// planned is what happened while VMs were stopped.
type planned struct {
	mu      sync.Mutex
	stopped map[*vm][]time.Time
	answers []plannedAnswer
}

// plannedAnswer is what the caller of a VM got.
type plannedAnswer struct {
	demo.Outcome
	vm          *vm
	sent, ended time.Time
}

// checkPlanned stops the VMs one after the other and starts them again, for the duration of the run, while their settings are reloaded, the
// configuration changes and one server after the other is silent for a moment. It guards against answers that a VM ends
// though its server is sound and the caller waits, and against requests that have run, or that a VM has held, and whose
// connection ended without a byte.
func (r *run) checkPlanned(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 700))
	if err := r.changeSettings(usualDrain, plannedDrain); err != nil {
		r.checks.AddViolation("change the notice of the VMs: %v", err)
		return
	}
	r.slowServers(plannedWorkTime, plannedEventTime)
	p := &planned{stopped: make(map[*vm][]time.Time)}
	workCtx, stop := context.WithCancel(ctx)
	var work, callers sync.WaitGroup
	for n := range plannedCallersPerVM * len(r.vms) {
		callers.Go(func() { r.sendBesidePlanned(workCtx, p, r.vms[n%len(r.vms)], n) })
	}
	seeds := [3]uint64{rng.Uint64(), rng.Uint64(), rng.Uint64()}
	work.Go(func() { r.silenceInTurn(workCtx, rand.New(rand.NewPCG(seeds[0], 1))) })
	work.Go(func() { r.changeInTurn(workCtx, rand.New(rand.NewPCG(seeds[1], 2))) })
	work.Go(func() { r.reloadInTurn(workCtx, rand.New(rand.NewPCG(seeds[2], 3))) })
	for end := time.Now().Add(r.options.Duration); ; {
		pause.For(ctx, r.plannedLead())
		r.stopInTurn(ctx, p, rng)
		if ctx.Err() != nil || time.Now().After(end) {
			break
		}
		if err := r.waitServing(ctx); err != nil {
			r.checks.AddViolation("no recovery after planned stops: %v", err)
			break
		}
	}
	stop()
	work.Wait()
	callers.Wait()
	r.slowServers(0, 0)
	if err := r.waitServing(ctx); err != nil {
		r.checks.AddViolation("no recovery after planned work: %v", err)
	}
	p.check(r)
}

// measured reports whether VMs can measure the pace of streams in a run with planned work, as they know how many tokens
// an event has.
func (r *run) measured() bool { return r.options.Planned && r.options.Seed%2 == 0 }

func (r *run) plannedLead() time.Duration {
	if r.measured() {
		return measuredLead
	}
	return plannedLead
}

// slowServers sets how long servers take for a request and for an event, as usual if it is 0.
func (r *run) slowServers(work, event time.Duration) {
	for _, b := range r.site.Backends(demo.SitePlainService) {
		b.SetSlowed(work)
	}
	for _, b := range r.site.Backends(demo.SiteModelService) {
		b.SetSlowed(event)
	}
}

// stopInTurn stops the VMs with SIGTERM, several at a time, and starts each again.
func (r *run) stopInTurn(ctx context.Context, p *planned, rng *rand.Rand) {
	var wait sync.WaitGroup
	for _, i := range rng.Perm(len(r.vms)) {
		r.countFault("planned_stop")
		delay := time.Duration(rng.Int64N(int64(maxRestartDelay)))
		p.mu.Lock()
		p.stopped[r.vms[i]] = append(p.stopped[r.vms[i]], time.Now())
		p.mu.Unlock()
		wait.Go(func() { r.restart(r.vms[i], syscall.SIGTERM)(ctx, delay) })
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxStopGap))))
	}
	wait.Wait()
}

// silenceInTurn makes one server after the other silent until ctx ends, its process or its host. A stream meets one
// silence of its server at most.
func (r *run) silenceInTurn(ctx context.Context, rng *rand.Rand) {
	servers := append(r.site.Backends(demo.SitePlainService), r.site.Backends(demo.SiteModelService)...)
	rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for n := 0; ctx.Err() == nil; n++ {
		b, ofHost := servers[n%len(servers)], rng.IntN(2) == 0
		if err := r.setSilent(b, ofHost, true); err != nil {
			r.checks.AddViolation("make server %s silent: %v", b.ID, err)
		}
		pause.For(ctx, minSilence+time.Duration(rng.Int64N(int64(maxSilence-minSilence))))
		if err := r.setSilent(b, ofHost, false); err != nil {
			r.checks.AddViolation("end the silence of server %s: %v", b.ID, err)
		}
		r.countFault("planned_silence")
	}
}

// plannedRoutes returns the n-th of some configurations: as usual, other times, and a longer prefix split off.
func plannedRoutes(n int) []routes.Route {
	all := demo.SiteRoutes()
	switch n % 3 {
	case 1:
		for i := range all {
			all[i].Objective, all[i].MaxEventGap = all[i].Objective/2, all[i].MaxEventGap/4
		}
	case 2:
		longer := all[1]
		longer.Name, longer.PathPrefix = "longer", "/book/x"
		return append(all, longer)
	}
	return all
}

// changeInTurn writes configurations until ctx ends.
func (r *run) changeInTurn(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := r.site.Configure(plannedConfig+n, plannedRoutes(n), teams(1, true)...); err != nil {
			r.checks.AddViolation("configuration not written: %v", err)
		}
		r.countFault("planned_change")
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxChangeGap))))
	}
}

// reloadInTurn sends SIGHUP to one VM after the other until ctx ends, unless it is being restarted.
func (r *run) reloadInTurn(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		v := r.vms[rng.IntN(len(r.vms))]
		if v.reserve() {
			// A process that has just started does not know the signal yet, and would end.
			if v.serves() {
				v.signal(syscall.SIGHUP)
				r.countFault("planned_reload")
			}
			v.release()
		}
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxReloadGap))))
	}
}

// sendBesidePlanned sends requests to a VM over a kept connection until ctx ends, as the n-th caller.
func (r *run) sendBesidePlanned(ctx context.Context, p *planned, v *vm, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+701))
	kept := &keptConn{}
	defer kept.close()
	client := &http.Client{Transport: kept}
	for i := 0; ctx.Err() == nil; i++ {
		k := demo.SiteRequestKinds[rng.IntN(len(demo.SiteRequestKinds))]
		sent := time.Now()
		o := r.site.SendRequest(context.Background(), client, v.listenAddress, fmt.Sprintf("planned-%d-%d-%d", r.options.Seed, n, i), k, rng)
		r.checks.CheckOutcome(o)
		p.mu.Lock()
		p.answers = append(p.answers, plannedAnswer{o, v, sent, time.Now()})
		p.mu.Unlock()
		if !o.Succeeded() {
			pause.For(ctx, refusedPause)
		}
	}
}

// check checks all answers, once the processes that gave them have ended or go on.
func (p *planned) check(r *run) {
	statuses := make(map[int]int)
	for _, a := range p.answers {
		r.outcomes = append(r.outcomes, a.Outcome)
		statuses[a.Status]++
		ran := r.site.Runs.Servers(a.ID)
		crossed := a.Status == 0 && len(ran) == 0 && a.ended.Sub(a.sent) < crossingTime
		if !a.Incomplete || crossed || p.excused(a) {
			continue
		}
		r.checks.AddViolation("%s %s: cut beside planned work: status %d, %q, %v, sent %v after SIGTERM and ended after %v, ran on %v",
			a.Kind.Name, a.ID, a.Status, a.Body, a.Err, p.sinceStop(a), a.ended.Sub(a.sent), ran)
	}
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
	// Most of those without a status were not accepted.
	if answers := len(p.answers) - statuses[0]; 2*statuses[http.StatusOK] < answers {
		r.checks.AddViolation("most of %d requests beside planned work were not served: %v", answers, statuses)
	}
}

// excused reports whether the caller's own time was over, or the grace time of the VM while it had been at work on the
// request since before SIGTERM.
func (p *planned) excused(a plannedAnswer) bool {
	if a.ended.Sub(a.sent) >= callTimeout {
		return true
	}
	for _, at := range p.stopped[a.vm] {
		if a.sent.Before(at) && a.ended.After(at.Add(plannedGrace-graceTail)) {
			return true
		}
	}
	return false
}

// sinceStop returns how long after the last SIGTERM before its end a request was sent.
func (p *planned) sinceStop(a plannedAnswer) (since time.Duration) {
	for _, at := range p.stopped[a.vm] {
		if at.Before(a.ended) {
			since = a.sent.Sub(at)
		}
	}
	return since
}
