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

// runners start runners of one shard over one platform.
func runners(t *testing.T, p *stand.Platform, n int) []*claim.Runner {
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
		r.Interval = time.Millisecond
		wg.Go(func() { r.Run(ctx) })
		all = append(all, r)
	}
	return all
}

func request(key, grant string) dedup.Request {
	return dedup.Request{
		Key: dedup.Key{Profile: "p", Caller: "c", Key: key}, BodyHash: "body", Grant: grant,
		Busy: time.Minute, Retain: time.Hour,
	}
}

func limit(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Many claims of few keys go to two VMs that both write the shard, and the head
// is sealed and segments are merged meanwhile. Each key is granted once.
func TestTwoWriters(t *testing.T) {
	rs := runners(t, &stand.Platform{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}, 2)
	const keys = 2500
	var granted [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys {
		for j, r := range rs {
			wg.Go(func() {
				req := request(fmt.Sprint(i), fmt.Sprint(i, "-", j))
				if d := r.Claim(limit(t), req); d.Verdict == dedup.Granted {
					granted[i].Add(1)
					_ = r.Settle(limit(t), req, wire.ClaimStateDone, "")
				}
			})
		}
	}
	wg.Wait()
	for i := range keys {
		require.Equal(t, int32(1), granted[i].Load(), "key %d", i)
	}
	// A VM's copy may be a second old; then it learns that the key ran.
	for i := range keys {
		require.Eventually(t, func() bool {
			return rs[i%2].Claim(limit(t), request(fmt.Sprint(i), "again")).Verdict == dedup.AlreadyRan
		}, 30*time.Second, 20*time.Millisecond, "key %d", i)
	}
}

// The platform's rate limit refuses an update, as when several VMs write at
// once. Those who wait get their claim a moment later and are not refused.
func TestRateLimitIsWaitedOut(t *testing.T) {
	p := &stand.Platform{WritesPerSecond: 4, ReadsPerSecond: 1e6}
	r := runners(t, p, 1)[0]
	for i := range 4 {
		d := r.Claim(limit(t), request(fmt.Sprint(i), fmt.Sprint("g", i)))
		require.Equal(t, dedup.Granted, d.Verdict)
	}
	require.Positive(t, p.Counts().RateLimited)
}

// The platform is out. Who waits is told at once that no claim can be granted,
// and so is who comes next; when it is back claims are granted again.
func TestOutageRefusesAtOnce(t *testing.T) {
	p := &stand.Platform{}
	r := runners(t, p, 1)[0]
	p.SetFaults(stand.PlatformFaults{Outage: true})
	for i := range 3 {
		d := r.Claim(limit(t), request("k", fmt.Sprint("g", i)))
		require.Equal(t, dedup.Unavailable, d.Verdict)
		require.Positive(t, d.RetryAfter)
	}
	p.SetFaults(stand.PlatformFaults{})
	require.Eventually(t, func() bool {
		return r.Claim(limit(t), request("k", fmt.Sprint("g", time.Now().UnixNano()))).Verdict == dedup.Granted
	}, 30*time.Second, 20*time.Millisecond)
}
