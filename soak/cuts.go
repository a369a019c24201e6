package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// firstSource is the last byte of the loopback address from which the first VM connects to the servers.
	firstSource = 10
	// maxCutInterval bounds the time between two cuts, and maxCutDuration how long one takes.
	maxCutInterval = 2500 * time.Millisecond
	maxCutDuration = 2 * time.Second
	// cutBound is the time within which a VM that was cut off has to serve like the others, and cutCheckTime
	// how long that is then checked.
	cutBound     = 3 * time.Second
	cutCheckTime = 4 * time.Second
)

// cut cuts a VM off from all servers until the returned function is called.
func (r *run) cut(v *vm, keepOpen bool) (heal func()) {
	end := r.disturbances.record(v.listenAddress)
	for _, p := range r.proxies() {
		p.Cut(v.source, keepOpen)
	}
	return func() {
		for _, p := range r.proxies() {
			p.Heal(v.source)
		}
		end()
	}
}

// cutVMs cuts one VM after the other off from all servers until ctx ends. Cuts overlap.
func (r *run) cutVMs(ctx context.Context) {
	if r.options.NoCuts {
		return
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, 5))
	var wait sync.WaitGroup
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxCutInterval))))
		v, keepOpen, duration := r.vms[rng.IntN(len(r.vms))], rng.IntN(2) == 0, time.Duration(rng.Int64N(int64(maxCutDuration)))
		r.countFault("cut")
		wait.Go(func() {
			heal := r.cut(v, keepOpen)
			pause.For(ctx, duration)
			heal()
		})
	}
	wait.Wait()
}

// firstTries counts the requests that callers sent, and how many were served at the first attempt.
type firstTries struct {
	mu           sync.Mutex
	sent, served int
}

func (f *firstTries) add(served bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if served {
		f.served++
	}
}

// share returns the share of the requests that were served.
func (f *firstTries) share() float64 {
	if f.sent == 0 {
		return 1
	}
	return float64(f.served) / float64(f.sent)
}

// sendFirstTries sends requests of all kinds to VMs for a time, as several callers, and counts their first tries.
func (r *run) sendFirstTries(ctx context.Context, vms []*vm, name string, tries *firstTries, wait *sync.WaitGroup) {
	const callersPerVM = 3
	for n := range callersPerVM * len(vms) {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+500))
			client := &http.Client{Timeout: callTimeout}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				k := demo.SiteRequestKinds[rng.IntN(len(demo.SiteRequestKinds))]
				o := r.site.SendRequest(context.Background(), client, vms[n%len(vms)].listenAddress, fmt.Sprintf("%s-%d-%d-%d", name, r.options.Seed, n, i), k, rng)
				r.checks.CheckOutcome(o)
				tries.add(o.Succeeded())
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
}

// checkCut cuts most VMs off from all servers and compares how often first tries are served there with the
// others. It guards against VMs that refuse what another VM could send for them.
func (r *run) checkCut(ctx context.Context) {
	if r.options.NoCuts || len(r.vms) < 2 {
		return
	}
	count := len(r.vms) * 2 / 3
	for i, v := range r.vms[:count] {
		defer r.cut(v, i%2 == 1)()
	}
	pause.For(ctx, cutBound)
	ctx, cancel := context.WithTimeout(ctx, cutCheckTime)
	defer cancel()
	var cut, others firstTries
	var wait sync.WaitGroup
	r.sendFirstTries(ctx, r.vms[:count], "cut", &cut, &wait)
	r.sendFirstTries(ctx, r.vms[count:], "others", &others, &wait)
	wait.Wait()
	failed, allowed := cut.sent-cut.served, 10+cut.sent/50
	if cut.share() < others.share()*2/3 && failed > allowed {
		r.checks.AddViolation("VMs that were cut off from the servers served %d of %d requests at the first attempt, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
	}
}
