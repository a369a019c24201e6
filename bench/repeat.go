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

// repeatFigures compare claims in batches with a store write for each.
type repeatFigures struct {
	Common
	ClaimsPerSecond      float64 `json:"claims_per_second"`
	StoreWritesPerSecond float64 `json:"store_writes_per_second"`
	ClaimP50             float64 `json:"claim_p50_ms"`
	ClaimP99             float64 `json:"claim_p99_ms"`
	NaiveClaimsPerSecond float64 `json:"naive_claims_per_second"`
	NaiveWritesPerSecond float64 `json:"naive_store_writes_per_second"`
	NaiveClaimP50        float64 `json:"naive_claim_p50_ms"`
	NaiveClaimP99        float64 `json:"naive_claim_p99_ms"`
	FaultyClaims         int64   `json:"claims_under_faults"`
	RefusedClaims        int64   `json:"refused_under_faults"`
}

const (
	repeatWorkers  = 320
	repeatInterval = 30 * time.Millisecond
	storeDelayMs   = 5
)

// claimants are workers that claim fresh keys, and at times a used one, one
// after the other.
type claimants struct {
	claim  func(ctx context.Context, r dedup.Request) dedup.Decision
	settle func(ctx context.Context, r dedup.Request, d dedup.Decision)
	runs   *stand.RunCounter
	seed   uint64
	prefix string

	granted, refused atomic.Int64
	mu               sync.Mutex
	took             *hdrhistogram.Histogram
}

// run claims for a length of time.
func (c *claimants) run(ctx context.Context, length time.Duration) {
	c.took = newMicros()
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var workers sync.WaitGroup
	for w := range repeatWorkers {
		workers.Go(func() { c.work(ctx, w) })
	}
	workers.Wait()
}

func (c *claimants) work(ctx context.Context, worker int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(worker)))
	key := ""
	for n := 0; ctx.Err() == nil; n++ {
		if key == "" || rng.IntN(20) > 0 {
			key = fmt.Sprintf("%s-%d-%d", c.prefix, worker, n)
		}
		c.one(ctx, dedup.Request{
			Key: dedup.Key{Profile: "repeat", Caller: "bench", Key: key}, BodyHash: "body",
			GrantID: fmt.Sprintf("%s-%d-%d-g", c.prefix, worker, n), InProgressTimeout: 10 * time.Second, Retention: time.Hour,
		})
	}
}

func (c *claimants) one(ctx context.Context, r dedup.Request) {
	began := time.Now()
	d := c.claim(ctx, r)
	if ctx.Err() != nil && d.Verdict != dedup.Granted {
		return
	}
	c.mu.Lock()
	_ = c.took.RecordValue(time.Since(began).Microseconds())
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
	c.settle(ctx, r, d)
}

// repeat measures claims against a platform that answers in 5 ms and allows
// several hundred writes a second, then claims under faults: lost answers, an
// outage, and two VMs that both take themselves for the owner.
func repeat(ctx context.Context, o Options) (Figures, error) {
	length := o.length(9*time.Second) / 3
	f := repeatFigures{Common: Common{Experiment: "repeat", Seed: o.Seed}}
	runs := &stand.RunCounter{}

	ours, elapsed, writes := repeatPhase(ctx, length, nil, func(c *store.Client) *claimants {
		return batched(ctx, runs, o.Seed, c)
	})
	f.ClaimsPerSecond = float64(ours.granted.Load()) / elapsed.Seconds()
	f.StoreWritesPerSecond = float64(writes) / elapsed.Seconds()
	f.ClaimP50, f.ClaimP99 = quantileMs(ours.took, 50), quantileMs(ours.took, 99)

	plain, elapsed, writes := repeatPhase(ctx, length, nil, func(c *store.Client) *claimants {
		return single(runs, o.Seed, c)
	})
	f.NaiveClaimsPerSecond = float64(plain.granted.Load()) / elapsed.Seconds()
	f.NaiveWritesPerSecond = float64(writes) / elapsed.Seconds()
	f.NaiveClaimP50, f.NaiveClaimP99 = quantileMs(plain.took, 50), quantileMs(plain.took, 99)

	faulty, _, _ := repeatPhase(ctx, length, &f.FaultsInjected, func(c *store.Client) *claimants {
		return contended(ctx, runs, o.Seed, c)
	})
	f.FaultyClaims, f.RefusedClaims = faulty.granted.Load(), faulty.refused.Load()
	for _, n := range runs.Counts() {
		if n > 1 {
			f.DoubleRuns++
		}
	}
	f.Requests = int(ours.granted.Load() + plain.granted.Load() + f.FaultyClaims)
	return f, f.broken()
}

// repeatPhase runs claimants against a platform of its own.
func repeatPhase(ctx context.Context, length time.Duration, faults *int, build func(*store.Client) *claimants) (*claimants, time.Duration, int64) {
	p := &stand.Platform{WritesPerSecond: 400}
	p.SetFaults(stand.PlatformFaults{DelayMs: storeDelayMs})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	c := build(store.New(s.URL, "", "bench"))
	if faults != nil {
		stop := injectStoreFaults(p, length)
		defer func() { *faults += stop() }()
	}
	began := time.Now()
	c.run(ctx, length)
	return c, time.Since(began), p.Counts().Writes
}

// injectStoreFaults loses the answers of some writes all the time and has an
// outage in the middle. The returned function tells how many faults there were.
func injectStoreFaults(p *stand.Platform, length time.Duration) func() int {
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	p.Random = func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	faults := stand.PlatformFaults{DelayMs: storeDelayMs, LostReplyShare: 0.2}
	p.SetFaults(faults)
	outage := faults
	outage.Outage = true
	begin := time.AfterFunc(length/3, func() { p.SetFaults(outage) })
	end := time.AfterFunc(length/2, func() { p.SetFaults(faults) })
	return func() int {
		begin.Stop()
		end.Stop()
		return int(p.Counts().LostReplies) + 1
	}
}

func startRunner(ctx context.Context, c *store.Client) *claim.Runner {
	r := claim.NewRunner("shard-0", c, time.Now)
	r.WriteInterval = repeatInterval
	go r.Run(ctx)
	return r
}

func batched(ctx context.Context, runs *stand.RunCounter, seed uint64, c *store.Client) *claimants {
	r := startRunner(ctx, c)
	return &claimants{
		claim: r.Claim, runs: runs, seed: seed, prefix: "batched",
		settle: func(ctx context.Context, req dedup.Request, _ dedup.Decision) {
			go func() { _ = r.RecordOutcome(ctx, req, wire.ClaimStateDone, "") }()
		},
	}
}

// contended sends each claim to one of two runners of the same shard.
func contended(ctx context.Context, runs *stand.RunCounter, seed uint64, c *store.Client) *claimants {
	runners := []*claim.Runner{startRunner(ctx, c), startRunner(ctx, c)}
	var n atomic.Uint64
	return &claimants{
		runs: runs, seed: seed, prefix: "contended",
		claim: func(ctx context.Context, req dedup.Request) dedup.Decision {
			return runners[n.Add(1)%2].Claim(ctx, req)
		},
		settle: func(ctx context.Context, req dedup.Request, _ dedup.Decision) {
			go func() { _ = runners[n.Add(1)%2].RecordOutcome(ctx, req, wire.ClaimStateDone, "") }()
		},
	}
}

func single(runs *stand.RunCounter, seed uint64, c *store.Client) *claimants {
	n := naive.NewClaims(c)
	return &claimants{
		runs: runs, seed: seed, prefix: "single",
		claim: func(ctx context.Context, req dedup.Request) dedup.Decision {
			d, err := n.Claim(ctx, time.Now(), req)
			if err != nil {
				d.Verdict = dedup.Unavailable
			}
			return d
		},
		settle: func(ctx context.Context, req dedup.Request, d dedup.Decision) {
			_ = n.Finish(ctx, time.Now(), req, d, wire.ClaimStateDone, "")
		},
	}
}
