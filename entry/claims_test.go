package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// callOnce sends a once-only call to a VM and returns its outcome, or "" when
// the VM did not respond.
func callOnce(deployment *demo.Deployment, vm, id string) string {
	daemon := deployment.VMs()[vm]
	if daemon == nil {
		return ""
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+daemon.Address()+"/services/desk/loans", strings.NewReader(loanCall(id)))
	if err != nil {
		return ""
	}
	req.Header.Set(entry.HeaderIdempotencyKey, "key-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	return resp.Header.Get("Hibiscuscart-Outcome")
}

// repeatCalls sends a call for each of many keys repeatedly, through random
// VMs, until its outcome is "done", and records every outcome.
func repeatCalls(deployment *demo.Deployment, keys int, vms []string, record func(id, outcome string)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range keys {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			id := fmt.Sprint("once", i)
			for range 40 {
				outcome := callOnce(deployment, vms[rng.IntN(len(vms))], id)
				record(id, outcome)
				if outcome == "done" {
					return
				}
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	return &wg
}

// Callers repeat their keys through both VMs while the store loses responses,
// then has an outage, and then one VM, the owner of half of the shards,
// crashes. No call may run twice, and no call whose only outcome was "not_run"
// may have run.
func TestClaimsUnderFaults(t *testing.T) {
	deployment := startDeployment(t, nil)
	const keys = 60
	var mu sync.Mutex
	outcomes := make(map[string]map[string]bool)
	wg := repeatCalls(deployment, keys, []string{"one-1", "two-1"}, func(id, outcome string) {
		mu.Lock()
		defer mu.Unlock()
		if outcomes[id] == nil {
			outcomes[id] = make(map[string]bool)
		}
		outcomes[id][outcome] = true
	})
	deployment.Platform.SetFaults(stand.PlatformFaults{LostResponseShare: 0.3})
	time.Sleep(300 * time.Millisecond)
	deployment.Platform.SetFaults(stand.PlatformFaults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	deployment.Platform.SetFaults(stand.PlatformFaults{LostResponseShare: 0.1})
	deployment.KillVM("two-1")
	wg.Wait()
	done := 0
	for i := range keys {
		id := fmt.Sprint("once", i)
		runs := deployment.Runs.Count(id)
		require.LessOrEqual(t, runs, 1, id)
		seen := outcomes[id]
		if seen["done"] {
			done++
			require.Equal(t, 1, runs, id)
		}
		if len(seen) == 1 && seen["not_run"] {
			require.Zero(t, runs, id)
		}
	}
	require.Greater(t, done, keys/2, "most keys complete once the faults end")
}

// A gateway crashes after its claim was granted, either before or after it
// sends the request. No other VM can determine which: the key is "in progress"
// and then "unknown" to every caller, and never runs again.
func TestGatewayCrashAfterGrant(t *testing.T) {
	deployment := startDeployment(t, nil)
	desk := deployment.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{Hang: true})
	go callOnce(deployment, "one-1", "orphan")
	require.Eventually(t, func() bool { return deployment.Runs.Count("orphan") == 1 }, testTimeout, 5*time.Millisecond)
	deployment.KillVM("one-1")
	desk.SetFaults(stand.ServiceFaults{})
	first := post(t, deployment, "two-1", "/services/desk/loans", loanCall("orphan"), entry.HeaderIdempotencyKey, "key-orphan")
	require.Equal(t, "unknown", first.problem.Outcome, first.body)
	time.Sleep(3500 * time.Millisecond) // the longest time a call of this profile can be in progress
	r := post(t, deployment, "two-1", "/services/desk/loans", loanCall("orphan"), entry.HeaderIdempotencyKey, "key-orphan")
	require.Equal(t, "claim_unknown", r.problem.Title, r.body)
	require.Equal(t, 1, deployment.Runs.Count("orphan"))
}

// A VM is killed during its graceful stop, with calls in progress. Their
// callers lose the connection. Calls that had been sent stay "unknown" and do
// not run again, and the other VM continues to serve.
func TestKillDuringShutdown(t *testing.T) {
	deployment := startDeployment(t, nil)
	desk := deployment.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{Hang: true})
	stopping := deployment.VMs()["one-1"]
	for i := range 5 {
		go callOnce(deployment, "one-1", fmt.Sprint("shutdown", i))
	}
	require.Eventually(t, func() bool { return desk.Calls() == 5 }, testTimeout, 5*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		// The result is ignored: the kill cuts the requests off.
		_ = stopping.Stop(ctx)
	}()
	require.Eventually(t, func() bool { return !stopping.Ready() }, testTimeout, time.Millisecond)
	deployment.KillVM("one-1")
	select {
	case <-stopped:
	case <-ctx.Done():
		t.Fatal("Stop did not return")
	}
	desk.SetFaults(stand.ServiceFaults{})
	for i := range 5 {
		id := fmt.Sprint("shutdown", i)
		require.Equal(t, "unknown", callOnce(deployment, "two-1", id), id)
		require.Equal(t, 1, deployment.Runs.Count(id), id)
	}
	require.Equal(t, "done", callOnce(deployment, "two-1", "after"))
}
