package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// maxNoticeInterval bounds the time between two notices. A server asks for rest for restDuration, and
	// says that it leaves for leavingDuration; minRest and maxRest bound the rest that it asks for.
	maxNoticeInterval = 900 * time.Millisecond
	restDuration      = 2800 * time.Millisecond
	leavingDuration   = 4500 * time.Millisecond
	minRest           = 700 * time.Millisecond
	maxRest           = 2500 * time.Millisecond
	// disturbanceMargin is how long before and after a disturbance its effects count.
	disturbanceMargin = 200 * time.Millisecond
)

// disturbances records when a VM or the proxy of a server, both by address, was disturbed. The zero value
// is ready to use. It is safe for concurrent use.
type disturbances struct {
	mu        sync.Mutex
	byAddress map[string][]*disturbance
}

// disturbance is one that has ended at until, or goes on if that is zero.
type disturbance struct{ from, until time.Time }

// record records a disturbance until the returned function is called.
func (d *disturbances) record(address string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byAddress == nil {
		d.byAddress = make(map[string][]*disturbance)
	}
	current := &disturbance{from: time.Now()}
	d.byAddress[address] = append(d.byAddress[address], current)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		current.until = time.Now()
	}
}

// overlaps reports whether an address was disturbed between two times.
func (d *disturbances) overlaps(address string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, current := range d.byAddress[address] {
		ended := !current.until.IsZero() && current.until.Add(disturbanceMargin).Before(from)
		if !ended && !current.from.Add(-disturbanceMargin).After(to) {
			return true
		}
	}
	return false
}

// injectNotices makes backend servers say that they leave, or ask for rest, until ctx ends. One server of each
// service says nothing, so that there is one to send requests to.
func (r *run) injectNotices(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 3))
	servers := slices.Concat(r.site.Backends(demo.SiteModelService)[1:], r.site.Backends(demo.SitePlainService)[1:])
	var wait sync.WaitGroup
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxNoticeInterval))))
		b := servers[rng.IntN(len(servers))]
		kind, rest := rng.IntN(4), minRest+time.Duration(rng.Int64N(int64(maxRest-minRest)))
		switch kind {
		case 0, 1:
			r.countFault("server_rests")
			wait.Go(func() { askForRest(ctx, b, rest) })
		default:
			r.countFault("server_leaves")
			wait.Go(func() { leave(ctx, b, kind == 2) })
		}
	}
	wait.Wait()
	for _, b := range servers {
		b.Restart(time.Now())
	}
}

// askForRest makes a server refuse everything and ask for rest, for restDuration.
func askForRest(ctx context.Context, b *stand.Backend, rest time.Duration) {
	b.SetRest(strconv.FormatFloat(rest.Seconds(), 'f', 3, 64), rest)
	pause.For(ctx, restDuration)
	b.SetRest("", 0)
}

// leave makes a server say that it leaves, while its entry says that it is ready. It then starts again under
// its name and address, or goes on and takes it back. The VMs must not use it in the second case.
func leave(ctx context.Context, b *stand.Backend, restart bool) {
	b.SetLeaving(true)
	pause.For(ctx, leavingDuration)
	b.SetLeaving(false)
	if restart {
		b.Restart(time.Now())
	}
}

const (
	// A slow VM runs for slowRunTime of each slowCycle. The cycle is short, so that it does not count as a
	// suspension, which would excuse what the VM does.
	slowCycle   = 30 * time.Millisecond
	slowRunTime = 4 * time.Millisecond
	// maxSlowInterval bounds the time between two slow VMs, and maxSlowDuration how long a VM is slow.
	maxSlowInterval = 2 * time.Second
	maxSlowDuration = 2 * time.Second
)

// slowVMs makes one VM after the other run at a fraction of its speed until ctx ends.
func (r *run) slowVMs(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 4))
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxSlowInterval))))
		v, end := r.vms[rng.IntN(len(r.vms))], time.Now().Add(time.Duration(rng.Int64N(int64(maxSlowDuration))))
		r.countFault("slow")
		for ctx.Err() == nil && time.Now().Before(end) {
			v.signal(syscall.SIGSTOP)
			pause.For(ctx, slowCycle-slowRunTime)
			v.signal(syscall.SIGCONT)
			pause.For(ctx, slowRunTime)
		}
	}
}

// checkNotices checks that no VM sent requests to a server that had said to it that it leaves, or during the
// rest that it had asked the VM for.
func (r *run) checkNotices() {
	for _, b := range append(r.site.Backends(demo.SiteModelService), r.site.Backends(demo.SitePlainService)...) {
		r.mu.Lock()
		proxy := r.proxyByServerID[b.ID].Address()
		r.mu.Unlock()
		// Reports and orders do not tell which VM sent them, and the controller changes.
		cut := func(vm string, from, to time.Time) bool { return vm == "" || r.disturbances.overlaps(proxy, from, to) }
		for _, log := range b.AllNotices() {
			for _, violation := range log.Violations(r.disturbances.overlaps, cut) {
				r.checks.AddViolation("server %s: %s", b.ID, violation)
			}
		}
	}
}
