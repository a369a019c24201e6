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

// tryCall sends a once-only call to a VM and returns its outcome, "" when the VM
// did not answer.
func tryCall(w *demo.Deployment, vm, id string) string {
	d := w.VMs()[vm]
	if d == nil {
		return ""
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Address()+"/services/desk/loans", strings.NewReader(entryCall(id)))
	if err != nil {
		return ""
	}
	req.Header.Set(entry.HeaderKey, "key-"+id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	return resp.Header.Get("Hibiscuscart-Outcome")
}

// callers send each of many keys several times, through any VM, until it is
// told done, and note what else they are told.
func callers(w *demo.Deployment, keys int, vms []string, told func(id, outcome string)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range keys {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			id := fmt.Sprint("once", i)
			for range 40 {
				outcome := tryCall(w, vms[rng.IntN(len(vms))], id)
				told(id, outcome)
				if outcome == "done" {
					return
				}
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	return &wg
}

// Callers repeat their keys through both VMs while the store loses answers, then
// is out, and then one VM, the owner of half of the shards, dies. No call may
// run twice, and none that was only ever told "not_run" may have run.
func TestClaimsWhileThingsFail(t *testing.T) {
	w := world(t, nil)
	const keys = 60
	var mu sync.Mutex
	outcomes := make(map[string]map[string]bool)
	wg := callers(w, keys, []string{"one-1", "two-1"}, func(id, outcome string) {
		mu.Lock()
		defer mu.Unlock()
		if outcomes[id] == nil {
			outcomes[id] = make(map[string]bool)
		}
		outcomes[id][outcome] = true
	})
	w.Platform.SetFaults(stand.PlatformFaults{LoseAnswers: 0.3})
	time.Sleep(300 * time.Millisecond)
	w.Platform.SetFaults(stand.PlatformFaults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	w.Platform.SetFaults(stand.PlatformFaults{LoseAnswers: 0.1})
	w.KillVM("two-1")
	wg.Wait()
	done := 0
	for i := range keys {
		id := fmt.Sprint("once", i)
		runs := w.Runs.Of(id)
		require.LessOrEqual(t, runs, 1, id)
		told := outcomes[id]
		if told["done"] {
			done++
			require.Equal(t, 1, runs, id)
		}
		if len(told) == 1 && told["not_run"] {
			require.Zero(t, runs, id)
		}
	}
	require.Greater(t, done, keys/2, "most keys get through once things are well again")
}

// A gateway dies after its claim was granted and before it sends, or after it
// has sent. Nobody can tell which: the key is "in progress" and then "unknown"
// to whoever asks, and never runs again.
func TestGatewayDiesHoldingGrant(t *testing.T) {
	w := world(t, nil)
	desk := w.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{Hang: true})
	go tryCall(w, "one-1", "orphan")
	require.Eventually(t, func() bool { return w.Runs.Of("orphan") == 1 }, longestTest, 5*time.Millisecond)
	w.KillVM("one-1")
	desk.SetFaults(stand.ServiceFaults{})
	first := post(t, w, "two-1", "/services/desk/loans", entryCall("orphan"), entry.HeaderKey, "key-orphan")
	require.Equal(t, "unknown", first.problem.Outcome, first.body)
	time.Sleep(3500 * time.Millisecond) // the time a call of this profile can be in progress
	r := post(t, w, "two-1", "/services/desk/loans", entryCall("orphan"), entry.HeaderKey, "key-orphan")
	require.Equal(t, "claim_unknown", r.problem.Title, r.body)
	require.Equal(t, 1, w.Runs.Of("orphan"))
}

// A VM is killed in the middle of its graceful stop, with calls in progress. They
// break off for their callers; those that had been sent stay "unknown" and do not
// run again, and the other VM serves on.
func TestKillDuringShutdown(t *testing.T) {
	w := world(t, nil)
	desk := w.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{Hang: true})
	stopping := w.VMs()["one-1"]
	for i := range 5 {
		go tryCall(w, "one-1", fmt.Sprint("shutdown", i))
	}
	require.Eventually(t, func() bool { return desk.Calls() == 5 }, longestTest, 5*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), longestTest)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		// With an error or without: the kill cuts its requests off.
		_ = stopping.Stop(ctx)
	}()
	require.Eventually(t, func() bool { return !stopping.Ready() }, longestTest, time.Millisecond)
	w.KillVM("one-1")
	select {
	case <-stopped:
	case <-ctx.Done():
		t.Fatal("the stop did not end")
	}
	desk.SetFaults(stand.ServiceFaults{})
	for i := range 5 {
		id := fmt.Sprint("shutdown", i)
		require.Equal(t, "unknown", tryCall(w, "two-1", id), id)
		require.Equal(t, 1, w.Runs.Of(id), id)
	}
	require.Equal(t, "done", tryCall(w, "two-1", "after"))
}
