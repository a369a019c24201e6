package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// waitServing waits until every VM has served a request. Its error says what is known of the VM that has not. It must
// not be called while VMs are restarted.
func (r *run) waitServing(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(recoveryTimeout)
	rng := rand.New(rand.NewPCG(1, 1))
	for i, v := range r.vms {
		for n := 0; ; n++ {
			o := r.site.SendRequest(context.Background(), client, v.listenAddress, fmt.Sprintf("await-%d-%d-%d", i, time.Now().UnixNano(), n), demo.SiteRequestKinds[0], rng)
			if o.Succeeded() {
				break
			}
			if v.hasExited() || time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("wait for VM %d: request not served: %w; %s", i, cmp.Or(o.Err, fmt.Errorf("status %d", o.Status)), v.describe())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovery clears all faults. It then checks that all VMs serve, that every model is reachable,
// that crashing requests and parts of prompts are blocked, that the rate limit and the limit on retries hold, that a
// restored store's configurations come into force, and that the processes exit on SIGTERM.
func (r *run) checkRecovery(ctx context.Context) {
	r.clearFaults()
	if err := r.waitServing(ctx); err != nil {
		r.checks.AddViolation("no recovery after the last fault: %v", err)
		return
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(recoveryTimeout)
	for _, model := range demo.SiteModels {
		k := demo.RequestKind{Name: "draft", Method: http.MethodPost, Path: "/draft/x", Stream: true, Models: []string{model}}
		for n := 0; ; n++ {
			o := r.site.SendRequest(context.Background(), client, r.vms[0].listenAddress, fmt.Sprintf("reach-%s-%d-%d", model, r.options.Seed, n), k, rand.New(rand.NewPCG(1, 1)))
			r.checks.CheckOutcome(o)
			if o.Succeeded() {
				break
			}
			if time.Now().After(deadline) {
				r.checks.AddViolation("model %s is not reachable", model)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	var wait sync.WaitGroup
	wait.Go(func() { r.checkBlocked(ctx) })
	wait.Go(func() { r.checkLimit(ctx) })
	wait.Wait()
	r.checkParts(ctx)
	r.checkRetries(ctx)
	r.checkRejectLimit(ctx)
	r.checkSilence(ctx)
	r.checkCut(ctx)
	r.checkTakeUps(ctx)
	r.checkRestored(ctx)
	r.checkLoweredQuota(ctx)
	for i, v := range r.vms {
		v.signal(syscall.SIGTERM)
		if !v.waitExit() {
			r.checks.AddViolation("VM %d did not exit after SIGTERM", i)
		}
	}
}

// clearFaults clears all injected faults and resumes paused processes.
func (r *run) clearFaults() {
	r.setSilences(0)
	r.site.Objects.SetFaults(stand.ObjectStoreFaults{})
	for _, b := range append(r.site.Backends(demo.SiteModelService), r.site.Backends(demo.SitePlainService)...) {
		b.SetPendingFaults(nil)
	}
	for _, p := range r.proxies() {
		p.SetMode(Forward)
	}
	for _, v := range r.vms {
		v.storeProxy.SetMode(Forward)
		v.signal(syscall.SIGCONT)
	}
}
