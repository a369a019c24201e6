package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// loadCallers is the number of concurrent callers; each sends one request at a time.
	loadCallers   = 8
	callerPause   = 10 * time.Millisecond
	callerTimeout = 10 * time.Second
	// loadSilenceInterval is the average time between two silences of a server.
	loadSilenceInterval = 10 * time.Second
)

// RunSite runs a Site whose servers are silent now and then, and returns the number of violated guarantees.
func RunSite(ctx context.Context, o RunOptions) (int, error) {
	s, err := StartSite(ctx, SiteOptions{SilenceInterval: loadSilenceInterval, Seed: o.Seed, Log: o.Log})
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer s.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.WaitReady(readyCtx); err != nil {
		return 0, err
	}
	fmt.Fprintf(o.Out, "%d VMs with a store, %d model servers and %d plain backend servers; addresses for callers:\n", len(s.vms), siteDefaultCount, siteDefaultCount)
	for _, address := range s.VMAddresses() {
		fmt.Fprintf(o.Out, "  http://%s  (Host: %s, paths /look/ /book/ /draft/ /batch/)\n", address, SiteHost)
	}
	if o.LoadDuration == 0 {
		<-ctx.Done()
		return 0, nil
	}
	return s.runLoad(ctx, o)
}

// runLoad sends a mixed load, checks the guarantees and prints a summary.
func (s *Site) runLoad(ctx context.Context, o RunOptions) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, o.LoadDuration)
	defer cancel()
	var mu sync.Mutex
	var outcomes []Outcome
	var checks Checks
	var wait sync.WaitGroup
	for n := range loadCallers {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
			client := &http.Client{Timeout: callerTimeout}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				kind := SiteRequestKinds[rng.IntN(len(SiteRequestKinds))]
				address := s.VMAddresses()[rng.IntN(len(s.vms))]
				outcome := s.SendRequest(context.WithoutCancel(ctx), client, address, fmt.Sprintf("%d-%d", n, i), kind, rng)
				checks.CheckOutcome(outcome)
				mu.Lock()
				outcomes = append(outcomes, outcome)
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	wait.Wait()
	checks.CheckExecutions(outcomes, s.Runs)
	for _, b := range s.Backends(SiteModelService) {
		if b.Overcommitted() {
			checks.AddViolation("server %s was ordered to exceed its memory or adapter slots", b.ID)
		}
	}
	summarize(o.Out, outcomes, checks.Violations())
	return len(checks.Violations()), nil
}

// summarize prints the requests sent and served of each kind, and the violations.
func summarize(out io.Writer, outcomes []Outcome, violations []string) {
	sent, served := map[string]int{}, map[string]int{}
	for _, o := range outcomes {
		sent[o.Kind.Name]++
		if o.Succeeded() {
			served[o.Kind.Name]++
		}
	}
	fmt.Fprintf(out, "%-8s %8s %8s\n", "kind", "sent", "served")
	for _, k := range SiteRequestKinds {
		fmt.Fprintf(out, "%-8s %8d %8d\n", k.Name, sent[k.Name], served[k.Name])
	}
	fmt.Fprintf(out, "broken promises: %d\n", len(violations))
	for _, violation := range violations {
		fmt.Fprintln(out, "  "+violation)
	}
}
