package claim_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/claim"
	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// startRunners starts n runners of one shard on one platform.
func startRunners(t *testing.T, p *stand.Platform, n int) []*claim.Runner {
	t.Helper()
	s := httptest.NewServer(p.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		s.Close()
	})
	var all []*claim.Runner
	for range n {
		r := claim.NewRunner("shard-0", store.New(s.URL, "", "vm"), time.Now)
		r.WriteInterval = time.Millisecond
		wg.Go(func() { r.Run(ctx) })
		all = append(all, r)
	}
	return all
}

func request(key, grant string) dedup.Request {
	return dedup.Request{
		Key: dedup.Key{Profile: "p", Caller: "c", Key: key}, BodyHash: "body", GrantID: grant,
		InProgressTimeout: time.Minute, Retention: time.Hour,
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Two VMs write the same shard and receive claims for the same keys while the
// head is sealed and segments are merged. Each key must be granted once.
func TestTwoWritersGrantOnce(t *testing.T) {
	rs := startRunners(t, &stand.Platform{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}, 2)
	const keys = 2500
	var granted [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys {
		for j, r := range rs {
			wg.Go(func() {
				req := request(fmt.Sprint(i), fmt.Sprint(i, "-", j))
				if d := r.Claim(testContext(t), req); d.Verdict == dedup.Granted {
					granted[i].Add(1)
					_ = r.RecordOutcome(testContext(t), req, wire.ClaimStateDone, "")
				}
			})
		}
	}
	wg.Wait()
	for i := range keys {
		require.Equal(t, int32(1), granted[i].Load(), "key %d", i)
	}
	// A VM's cached content may be up to one second old; after that the VM must
	// report that the key ran.
	for i := range keys {
		require.Eventually(t, func() bool {
			return rs[i%2].Claim(testContext(t), request(fmt.Sprint(i), "again")).Verdict == dedup.AlreadyRan
		}, 30*time.Second, 20*time.Millisecond, "key %d", i)
	}
}

// The platform's rate limit refuses an update, as happens when several VMs
// write at once. The waiting claims must be granted on a later attempt and not
// be refused.
func TestRateLimitedWriteIsRetried(t *testing.T) {
	p := &stand.Platform{WritesPerSecond: 4, ReadsPerSecond: 1e6}
	r := startRunners(t, p, 1)[0]
	for i := range 4 {
		d := r.Claim(testContext(t), request(fmt.Sprint(i), fmt.Sprint("g", i)))
		require.Equal(t, dedup.Granted, d.Verdict)
	}
	require.Positive(t, p.Counts().RateLimited)
}

// The platform is unavailable. Waiting and new claims must be refused
// immediately, and granted again once the platform has recovered.
func TestOutageRefusesImmediately(t *testing.T) {
	p := &stand.Platform{}
	r := startRunners(t, p, 1)[0]
	p.SetFaults(stand.PlatformFaults{Outage: true})
	for i := range 3 {
		d := r.Claim(testContext(t), request("k", fmt.Sprint("g", i)))
		require.Equal(t, dedup.Unavailable, d.Verdict)
		require.Positive(t, d.RetryAfter)
	}
	p.SetFaults(stand.PlatformFaults{})
	require.Eventually(t, func() bool {
		return r.Claim(testContext(t), request("k", fmt.Sprint("g", time.Now().UnixNano()))).Verdict == dedup.Granted
	}, 30*time.Second, 20*time.Millisecond)
}
