package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// minSilence and maxSilence bound how long a sound server is silent.
	minSilence = time.Second
	maxSilence = 1500 * time.Millisecond
	// silenceInterval is the average time between two silences of a server beside the faults.
	silenceInterval = 10 * time.Second
	// silenceWorkTime is how long servers take for a request meanwhile, so that some are at the silent one, and
	// silenceEventTime how long for an event.
	silenceWorkTime  = 800 * time.Millisecond
	silenceEventTime = 100 * time.Millisecond
	// beforeSilence is how long requests are sent before it.
	beforeSilence = 600 * time.Millisecond
	// silenceCallersPerVM is how many callers send requests to each VM meanwhile.
	silenceCallersPerVM = 4
)

// silenceFaults are what the other servers do while one is silent. A server without faults is sound.
var silenceFaults = []stand.BackendFaults{{}, {Rejections: 1 << 20}, {LostResponses: 1 << 20}}

// checkSilence makes the servers silent for a moment, one after the other, while those of the same service are sound,
// refuse or break off, and checks that no request is lost that is at the silent one. It guards against VMs that give up
// a sound server, which goes on, or leave it for one that does not answer.
func (r *run) checkSilence(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 600))
	for _, service := range []string{demo.SitePlainService, demo.SiteModelService} {
		servers := r.site.Backends(service)
		first := rng.IntN(len(servers))
		for n, faults := range silenceFaults {
			r.checkSilenceOf(ctx, rng, servers[(first+n)%len(servers)], faults, fmt.Sprintf("silence-%d-%s-%d", r.options.Seed, service, n))
		}
	}
}

// checkSilenceOf makes a server silent while the others have faults.
func (r *run) checkSilenceOf(ctx context.Context, rng *rand.Rand, silent *stand.Backend, faults stand.BackendFaults, name string) {
	length := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	ofHost := rng.IntN(2) == 0
	for _, b := range r.site.Backends(silent.Service) {
		b.SetSlowed(silenceWorkTime)
		if b.StreamEvents > 0 {
			b.SetSlowed(silenceEventTime)
		}
	}
	sendCtx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	kinds := slices.DeleteFunc(slices.Clone(demo.SiteRequestKinds), func(k demo.RequestKind) bool {
		return k.Stream != (silent.Service == demo.SiteModelService)
	})
	for n := range silenceCallersPerVM * len(r.vms) {
		wait.Go(func() {
			r.sendAtSilence(sendCtx, r.vms[n%len(r.vms)], kinds, n, fmt.Sprintf("%s-%d", name, n), func(o demo.Outcome) {
				if what := r.lostAtSilence(o, silent, faults); what != "" {
					r.checks.AddViolation("%s %s: %s while server %s was silent for %v, its host %v, and the others had %+v: status %d, incomplete %v, ran on %v",
						o.Kind.Name, o.ID, what, silent.ID, length, ofHost, faults, o.Status, o.Incomplete, r.site.Runs.Servers(o.ID))
				}
			})
		})
	}
	pause.For(ctx, beforeSilence)
	for _, b := range r.site.Backends(silent.Service) {
		if b != silent {
			b.SetPendingFaults(stand.NewPendingFaults(faults))
		}
	}
	if err := r.setSilent(silent, ofHost, true); err != nil {
		r.checks.AddViolation("make server %s silent: %v", silent.ID, err)
	}
	pause.For(ctx, length)
	if err := r.setSilent(silent, ofHost, false); err != nil {
		r.checks.AddViolation("end the silence of server %s: %v", silent.ID, err)
	}
	stop()
	wait.Wait()
	for _, b := range r.site.Backends(silent.Service) {
		b.SetPendingFaults(nil)
		b.SetSlowed(0)
	}
}

// setSilences makes all servers silent now and then, in intervals of an average length, or ends that if it is 0.
func (r *run) setSilences(interval time.Duration) {
	for i, b := range append(r.site.Backends(demo.SitePlainService), r.site.Backends(demo.SiteModelService)...) {
		b.SetSilences(interval, rand.New(rand.NewPCG(r.options.Seed, uint64(i)+800)))
	}
}

// setSilent makes the process of a server silent, or its host, or ends that.
func (r *run) setSilent(b *stand.Backend, host, silent bool) error {
	r.mu.Lock()
	p := r.proxyByServerID[b.ID]
	r.mu.Unlock()
	if host {
		return p.SetSilent(silent)
	}
	mode := Forward
	if silent {
		mode = Stall
	}
	p.SetMode(mode)
	return nil
}

// sendAtSilence sends requests of some kinds to a VM as the n-th caller, one after the other, and checks their outcomes.
func (r *run) sendAtSilence(ctx context.Context, v *vm, kinds []demo.RequestKind, n int, name string, check func(demo.Outcome)) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+601))
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		k := kinds[rng.IntN(len(kinds))]
		o := r.site.SendRequest(context.Background(), client, v.listenAddress, fmt.Sprintf("%s-%d", name, i), k, rng)
		r.checks.CheckOutcome(o)
		check(o)
	}
}

// lostAtSilence returns how a request was lost, "" if it was not. One that has run at the silent server, which is
// sound, must be served. One that may run once must be served or refused, unless another server broke it off.
func (r *run) lostAtSilence(o demo.Outcome, silent *stand.Backend, faults stand.BackendFaults) string {
	switch {
	case o.Succeeded():
		return ""
	case slices.Contains(r.site.Runs.Servers(o.ID), silent.ID):
		return "not served"
	case o.Kind.AtMostOnce && o.Status != http.StatusServiceUnavailable && faults.LostResponses == 0:
		return "neither served nor refused"
	}
	return ""
}
