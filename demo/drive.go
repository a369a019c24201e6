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
	// driveCallers is how many callers a driven Site has; each sends one request
	// after the other.
	driveCallers = 8
	drivePause   = 10 * time.Millisecond
	driveLimit   = 10 * time.Second
)

// RunSite runs a deployment that keeps everything in the platform's store. It
// returns how many promises were broken.
func RunSite(ctx context.Context, o RunOptions) (int, error) {
	s, err := StartSite(ctx, SiteOptions{Log: o.Log})
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer s.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.WaitReady(ready); err != nil {
		return 0, err
	}
	fmt.Fprintf(o.Out, "%d VMs before a store, %d model servers and %d plain ones; callers' addresses:\n", len(s.nodes), siteCount, siteCount)
	for _, address := range s.Addresses() {
		fmt.Fprintf(o.Out, "  http://%s  (Host: %s, paths /look/ /book/ /draft/ /batch/)\n", address, SiteHost)
	}
	if o.For == 0 {
		<-ctx.Done()
		return 0, nil
	}
	return s.drive(ctx, o)
}

// drive sends a mixed load and prints what came of it.
func (s *Site) drive(ctx context.Context, o RunOptions) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var mu sync.Mutex
	var outcomes []Outcome
	var checks Checks
	var wait sync.WaitGroup
	for n := range driveCallers {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
			client := &http.Client{Timeout: driveLimit}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				k := SiteKinds[rng.IntN(len(SiteKinds))]
				address := s.Addresses()[rng.IntN(len(s.nodes))]
				out := s.Ask(context.WithoutCancel(ctx), client, address, fmt.Sprintf("%d-%d", n, i), k, rng)
				checks.Answer(out)
				mu.Lock()
				outcomes = append(outcomes, out)
				mu.Unlock()
				time.Sleep(drivePause)
			}
		})
	}
	wait.Wait()
	checks.Runs(outcomes, s.Runs)
	for _, b := range s.Backends(SiteModel) {
		if b.Overcommitted() {
			checks.Add("server %s was ordered beyond its memory or places", b.ID)
		}
	}
	summarize(o.Out, outcomes, checks.Broken())
	return len(checks.Broken()), nil
}

func summarize(out io.Writer, outcomes []Outcome, broken []string) {
	sent, good := map[string]int{}, map[string]int{}
	for _, o := range outcomes {
		sent[o.Kind.Name]++
		if o.Good() {
			good[o.Kind.Name]++
		}
	}
	fmt.Fprintf(out, "%-8s %8s %8s\n", "kind", "sent", "served")
	for _, k := range SiteKinds {
		fmt.Fprintf(out, "%-8s %8d %8d\n", k.Name, sent[k.Name], good[k.Name])
	}
	fmt.Fprintf(out, "broken promises: %d\n", len(broken))
	for _, b := range broken {
		fmt.Fprintln(out, "  "+b)
	}
}
