package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// retryShare, retryExtra and retryWindow limit the retries of all VMs while checkRetries runs.
	retryShare  = 0.02
	retryExtra  = 60
	retryWindow = 3 * time.Second
	// retryLoadDuration is how long the servers fail all requests, and retryKillInterval the time between two
	// kills of all VMs meanwhile.
	retryLoadDuration = 8 * time.Second
	retryKillInterval = 1200 * time.Millisecond
	retryKills        = 4
	// settingsDelay is the time within which a VM applies changed settings.
	settingsDelay = 2 * time.Second
)

var wideRetries = []byte("[retries]\nshare = 1\nextra = 1000\nwindow = 100ms\n")

// checkRetries lowers the limit on the retries of all VMs, makes the plain servers fail all requests and kills all VMs
// again and again, and counts what the servers get beyond the first send of each request. It guards against processes
// that begin with retries which earlier ones have spent.
func (r *run) checkRetries(ctx context.Context) {
	narrow := fmt.Appendf(nil, "[retries]\nshare = %v\nextra = %v\nwindow = %v\n", retryShare, retryExtra, retryWindow)
	if err := r.changeSettings(wideRetries, narrow); err != nil {
		r.checks.AddViolation("lower the limit on retries: %v", err)
		return
	}
	// What was sent under the wide limit leaves the window.
	pause.For(ctx, settingsDelay+retryWindow)
	r.injectServerFaults(demo.SitePlainService, stand.BackendFaults{ErrorResponses: 1 << 30})(ctx, 0)
	from := time.Now()
	var wait sync.WaitGroup
	wait.Go(func() { r.sendLoadToAll(ctx, retryLoadDuration, "retries") })
	for range retryKills {
		pause.For(ctx, retryKillInterval)
		for _, v := range r.vms {
			wait.Go(func() { r.restart(v, syscall.SIGKILL)(ctx, 0) })
		}
		r.countFault("kill all")
	}
	wait.Wait()
	r.injectServerFaults(demo.SitePlainService, stand.BackendFaults{})(ctx, 0)
	firsts, repeats := r.site.Runs.Since(from)
	if at, n, allowed := mostRepeats(firsts, repeats); float64(n) > allowed {
		r.checks.AddViolation("%d repeats in %v from %v on, %.1f are allowed", n, retryWindow, at.Sub(from).Round(time.Millisecond), allowed)
	}
	if err := r.changeSettings(narrow, wideRetries); err != nil {
		r.checks.AddViolation("raise the limit on retries: %v", err)
	}
	if err := r.waitServing(ctx); err != nil {
		r.checks.AddViolation("no recovery after the check of retries: %v", err)
	}
}

// mostRepeats returns the window in which the repeats exceed what is allowed by most.
func mostRepeats(firsts, repeats []time.Time) (at time.Time, n int, allowed float64) {
	within := func(times []time.Time, from time.Time) (n int) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	for i, from := range repeats {
		count, limit := within(repeats, from), retryShare*float64(within(firsts, from))+retryExtra
		if i == 0 || float64(count)-limit > float64(n)-allowed {
			at, n, allowed = from, count, limit
		}
	}
	return at, n, allowed
}

// changeSettings replaces a section in the settings files of all VMs, which reload them on SIGHUP.
func (r *run) changeSettings(from, to []byte) error {
	for _, v := range r.vms {
		text, err := os.ReadFile(v.settingsPath)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		if !bytes.Contains(text, from) {
			return fmt.Errorf("%s has no section %q", v.settingsPath, from)
		}
		if err := os.WriteFile(v.settingsPath, bytes.Replace(text, from, to, 1), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		v.signal(syscall.SIGHUP)
	}
	return nil
}
