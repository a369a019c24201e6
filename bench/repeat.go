package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuscart/hibiscuscart/claim"
	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// repeatReport compares batched claims with one store write per claim.
type repeatReport struct {
	CommonReport
	ClaimsPerSecond           float64 `json:"claims_per_second"`
	StoreWritesPerSecond      float64 `json:"store_writes_per_second"`
	ClaimP50Ms                float64 `json:"claim_p50_ms"`
	ClaimP99Ms                float64 `json:"claim_p99_ms"`
	NaiveClaimsPerSecond      float64 `json:"naive_claims_per_second"`
	NaiveStoreWritesPerSecond float64 `json:"naive_store_writes_per_second"`
	NaiveClaimP50Ms           float64 `json:"naive_claim_p50_ms"`
	NaiveClaimP99Ms           float64 `json:"naive_claim_p99_ms"`
	ClaimsUnderFaults         int64   `json:"claims_under_faults"`
	RefusedUnderFaults        int64   `json:"refused_under_faults"`
}

const (
	repeatWorkers      = 320
	claimWriteInterval = 30 * time.Millisecond
	storeDelayMs       = 5
)

// claimWorkers claim keys in sequence: mostly fresh keys, and occasionally a key
// that was used before.
type claimWorkers struct {
	claim         func(ctx context.Context, r dedup.Request) dedup.Decision
	recordOutcome func(ctx context.Context, r dedup.Request, d dedup.Decision)
	runs          *stand.RunCounter
	seed          uint64
	prefix        string

	granted, refused atomic.Int64
	mu               sync.Mutex
	latencies        *hdrhistogram.Histogram
}

// run runs the workers for the given duration.
func (c *claimWorkers) run(ctx context.Context, duration time.Duration) {
	c.latencies = newMicrosecondHistogram()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var workers sync.WaitGroup
	for worker := range repeatWorkers {
		workers.Go(func() { c.runWorker(ctx, worker) })
	}
	workers.Wait()
}

func (c *claimWorkers) runWorker(ctx context.Context, worker int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(worker)))
	key := ""
	for n := 0; ctx.Err() == nil; n++ {
		if key == "" || rng.IntN(20) > 0 {
			key = fmt.Sprintf("%s-%d-%d", c.prefix, worker, n)
		}
		c.claimKey(ctx, dedup.Request{
			Key: dedup.Key{Profile: "repeat", Caller: "bench", Key: key}, BodyHash: "body",
			GrantID: fmt.Sprintf("%s-%d-%d-g", c.prefix, worker, n), InProgressTimeout: 10 * time.Second, Retention: time.Hour,
		})
	}
}

func (c *claimWorkers) claimKey(ctx context.Context, r dedup.Request) {
	start := time.Now()
	d := c.claim(ctx, r)
	if ctx.Err() != nil && d.Verdict != dedup.Granted {
		return
	}
	c.mu.Lock()
	_ = c.latencies.RecordValue(time.Since(start).Microseconds())
	c.mu.Unlock()
	if d.Verdict == dedup.Unavailable {
		c.refused.Add(1)
		return
	}
	if d.Verdict != dedup.Granted {
		return
	}
	c.granted.Add(1)
	c.runs.Add(r.Key.Key)
	r.GrantID = d.GrantID
	c.recordOutcome(ctx, r, d)
}

// repeat measures claims against a platform that responds in 5 ms and allows several
// hundred writes per second, then claims under faults: lost responses, an outage, and
// two VMs that both act as the owner of the shard.
func repeat(ctx context.Context, o Options) (Report, error) {
	duration := o.duration(9*time.Second) / 3
	report := repeatReport{CommonReport: CommonReport{Experiment: "repeat", Seed: o.Seed}}
	runs := &stand.RunCounter{}

	batched, elapsed, writes := runRepeatPhase(ctx, duration, nil, func(c *store.Client) *claimWorkers {
		return newBatchedWorkers(ctx, runs, o.Seed, c)
	})
	report.ClaimsPerSecond = float64(batched.granted.Load()) / elapsed.Seconds()
	report.StoreWritesPerSecond = float64(writes) / elapsed.Seconds()
	report.ClaimP50Ms, report.ClaimP99Ms = quantileMs(batched.latencies, 50), quantileMs(batched.latencies, 99)

	unbatched, elapsed, writes := runRepeatPhase(ctx, duration, nil, func(c *store.Client) *claimWorkers {
		return newUnbatchedWorkers(runs, o.Seed, c)
	})
	report.NaiveClaimsPerSecond = float64(unbatched.granted.Load()) / elapsed.Seconds()
	report.NaiveStoreWritesPerSecond = float64(writes) / elapsed.Seconds()
	report.NaiveClaimP50Ms, report.NaiveClaimP99Ms = quantileMs(unbatched.latencies, 50), quantileMs(unbatched.latencies, 99)

	faulty, _, _ := runRepeatPhase(ctx, duration, &report.FaultsInjected, func(c *store.Client) *claimWorkers {
		return newContendedWorkers(ctx, runs, o.Seed, c)
	})
	report.ClaimsUnderFaults, report.RefusedUnderFaults = faulty.granted.Load(), faulty.refused.Load()
	for _, n := range runs.Counts() {
		if n > 1 {
			report.DoubleRuns++
		}
	}
	report.Requests = int(batched.granted.Load() + unbatched.granted.Load() + report.ClaimsUnderFaults)
	return report, report.violationError()
}

// runRepeatPhase runs workers against a new platform.
func runRepeatPhase(
	ctx context.Context, duration time.Duration, faults *int, newWorkers func(*store.Client) *claimWorkers,
) (*claimWorkers, time.Duration, int64) {
	platform := &stand.Platform{WritesPerSecond: 400}
	platform.SetFaults(stand.PlatformFaults{DelayMs: storeDelayMs})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	workers := newWorkers(store.New(server.URL, "", "bench"))
	if faults != nil {
		stop := injectStoreFaults(platform, duration)
		defer func() { *faults += stop() }()
	}
	start := time.Now()
	workers.run(ctx, duration)
	return workers, time.Since(start), platform.Counts().Writes
}

// injectStoreFaults loses the responses to some writes throughout and injects an
// outage in the middle. The returned function stops it and returns the number of
// faults.
func injectStoreFaults(p *stand.Platform, duration time.Duration) func() int {
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	p.Random = func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	faults := stand.PlatformFaults{DelayMs: storeDelayMs, LostResponseShare: 0.2}
	p.SetFaults(faults)
	outage := faults
	outage.Outage = true
	outageStart := time.AfterFunc(duration/3, func() { p.SetFaults(outage) })
	outageEnd := time.AfterFunc(duration/2, func() { p.SetFaults(faults) })
	return func() int {
		outageStart.Stop()
		outageEnd.Stop()
		return int(p.Counts().LostResponses) + 1
	}
}

func startClaimRunner(ctx context.Context, c *store.Client) *claim.Runner {
	r := claim.NewRunner("shard-0", c, time.Now)
	r.WriteInterval = claimWriteInterval
	go r.Run(ctx)
	return r
}

func newBatchedWorkers(ctx context.Context, runs *stand.RunCounter, seed uint64, c *store.Client) *claimWorkers {
	r := startClaimRunner(ctx, c)
	return &claimWorkers{
		claim: r.Claim, runs: runs, seed: seed, prefix: "batched",
		recordOutcome: func(ctx context.Context, req dedup.Request, _ dedup.Decision) {
			go func() { _ = r.RecordOutcome(ctx, req, wire.ClaimStateDone, "") }()
		},
	}
}

// newContendedWorkers returns workers that send each claim to one of two runners of
// the same shard.
func newContendedWorkers(ctx context.Context, runs *stand.RunCounter, seed uint64, c *store.Client) *claimWorkers {
	runners := []*claim.Runner{startClaimRunner(ctx, c), startClaimRunner(ctx, c)}
	var calls atomic.Uint64
	return &claimWorkers{
		runs: runs, seed: seed, prefix: "contended",
		claim: func(ctx context.Context, req dedup.Request) dedup.Decision {
			return runners[calls.Add(1)%2].Claim(ctx, req)
		},
		recordOutcome: func(ctx context.Context, req dedup.Request, _ dedup.Decision) {
			go func() { _ = runners[calls.Add(1)%2].RecordOutcome(ctx, req, wire.ClaimStateDone, "") }()
		},
	}
}

func newUnbatchedWorkers(runs *stand.RunCounter, seed uint64, c *store.Client) *claimWorkers {
	claims := naive.NewClaims(c)
	return &claimWorkers{
		runs: runs, seed: seed, prefix: "single",
		claim: func(ctx context.Context, req dedup.Request) dedup.Decision {
			d, err := claims.Claim(ctx, time.Now(), req)
			if err != nil {
				d.Verdict = dedup.Unavailable
			}
			return d
		},
		recordOutcome: func(ctx context.Context, req dedup.Request, d dedup.Decision) {
			_ = claims.Finish(ctx, time.Now(), req, d, wire.ClaimStateDone, "")
		},
	}
}
