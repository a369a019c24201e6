package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/platform"
)

const (
	// maxOddGap bounds the time between two writes of odd objects, maxReplacedTime how long an odd entry takes the place of
	// that of a server.
	maxOddGap       = 60 * time.Millisecond
	maxReplacedTime = 600 * time.Millisecond
	// largeOddEntries is how many odd entries of up to a megabyte there are at a time, and smallOddEntries how many small
	// ones. A page of the store has about a megabyte.
	largeOddEntries = 3
	smallOddEntries = 200
	// largeOddInterval is how many odd objects are written for each large one, and replacedByLarge the same for those in the
	// place of a server's: the stand-in's store gives out its whole history, however much that is.
	largeOddInterval = 32
	replacedByLarge  = 4
	// oddConfigGap is the time between two configurations, firstOddConfig the version of the first.
	oddConfigGap   = time.Second
	firstOddConfig = 2
	leaseKind      = "leases"
	leaseName      = "controller"
)

// smallOdd and largeOdd are values that no server, operator or VM writes.
var (
	smallOdd = []string{
		`null`, `7`, `"x"`, `[]`, `{}`, `{"a":tru}`, "\"\xff\xfe\"", "\"\x00\"",
		oddEntry(`"Address":"127.0.0.1:99999"`), oddEntry(`"Address":"a b:80"`), oddEntry(`"Address":"a\u0000:80"`), oddEntry(`"Address":":80"`),
		oddEntry(`"Slots":9223372036854775807`), oddEntry(`"Slots":1e400`), oddEntry(`"Slots":-1`),
		oddEntry(`"ColdRemainingMs":1e300`), oddEntry(`"RemainingMs":-1e300`),
		oddEntry(`"State":"resting"`), oddEntry(`"Models":[{"Name":"m1","Version":-1}]`), oddEntry(`"Version":7`),
	}
	largeOdd = []string{
		nest("[", "", "]", 20_000), nest("[", "", "]", 200_000), nest(`{"a":`, "1", "}", 150_000),
		oddEntry(`"Models":` + nest("[", "", "]", 20_000)), oddEntry(`"Service":"` + strings.Repeat("s", 1<<20) + `"`),
		oddEntry(`"Models":[{"Name":"m1","Adapters":["a"` + strings.Repeat(`,"adapter"`, 90_000) + `]}]`),
	}
)

// oddEntry returns the entry of a server, sound but for one member that comes last and so counts.
func oddEntry(member string) string {
	return `{"Service":"` + demo.SitePlainService + `","Address":"127.0.0.1:9","Zone":"d","Version":"v1","Slots":8,"State":"ready","Sequence":1,` + member + `}`
}

func nest(open, inner, end string, depth int) string {
	return strings.Repeat(open, depth) + inner + strings.Repeat(end, depth)
}

// checkOdd writes odd objects among those that VMs read, in the place of sound ones too, and removes them, for the duration
// of the run. There are no faults besides. It guards against a VM that ends or stops following because of one, and against
// requests that are lost with the entry of their server.
func (r *run) checkOdd(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range r.options.Callers {
		wait.Go(func() { r.sendRequests(loadCtx, i, demo.SiteRequestKinds) })
	}
	for i := range takeUpCallers {
		wait.Go(func() { r.takeStreamsUp(loadCtx, i) })
	}
	wait.Go(func() { r.writeOdd(loadCtx) })
	wait.Go(func() { r.replaceEntries(loadCtx) })
	wait.Go(func() { r.replaceLease(loadCtx) })
	r.configureBesideOdd(loadCtx)
	wait.Wait()
	r.site.WriteEntries()
	r.checkTakeUps(ctx)
	for _, o := range r.outcomes {
		if !o.Succeeded() && o.Status != http.StatusServiceUnavailable && o.Status != http.StatusTooManyRequests {
			r.checks.AddViolation("%s %s: status %d, incomplete %t, though all servers are sound: %v, %.80q", o.Kind.Name, o.ID, o.Status, o.Incomplete, o.Err, o.Body)
		}
	}
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
	for i, v := range r.vms {
		r.checkBesideOdd(i, v)
	}
}

// writeOdd writes odd entries and objects of other kinds, and removes the oldest ones, until ctx ends.
func (r *run) writeOdd(ctx context.Context) {
	const smallKind = 3
	rng := rand.New(rand.NewPCG(r.options.Seed, 800))
	var small, large []string
	for n := 0; ctx.Err() == nil; n++ {
		name := []string{fmt.Sprintf("odd-%d", n), fmt.Sprintf("ODD-%d", n-1), fmt.Sprintf("odd %d\r\n\x00", n), fmt.Sprintf("\xff%d", n)}[rng.IntN(4)]
		kind := smallKind
		if n%largeOddInterval == 0 {
			kind = rng.IntN(smallKind)
		} else if rng.IntN(8) == 0 {
			kind = smallKind + 1
		}
		switch kind {
		case 0:
			name += strings.Repeat("n", 1<<20)
			large = r.keepOdd(append(large, name), largeOddEntries)
			r.putOdd(platform.ServerKind, name, smallOdd[rng.IntN(len(smallOdd))])
		case 1, 2:
			large = r.keepOdd(append(large, name), largeOddEntries)
			r.putOdd(platform.ServerKind, name, largeOdd[rng.IntN(len(largeOdd))])
		case smallKind + 1:
			r.putOdd(platform.ConfigKind, "odd", smallOdd[rng.IntN(len(smallOdd))])
			r.putOdd(leaseKind, "odd", smallOdd[rng.IntN(len(smallOdd))])
		default:
			small = r.keepOdd(append(small, name), smallOddEntries)
			r.putOdd(platform.ServerKind, name, smallOdd[rng.IntN(len(smallOdd))])
		}
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxOddGap))))
	}
}

// keepOdd removes the oldest odd entries beyond a number and returns the names of the others.
func (r *run) keepOdd(names []string, number int) []string {
	for ; len(names) > number; names = names[1:] {
		r.site.Objects.Delete(platform.ServerKind, names[0])
	}
	return names
}

func (r *run) putOdd(kind, name, value string) {
	r.countFault("odd_" + kind)
	if _, err := r.site.Objects.Put(kind, name, -1, json.RawMessage(value)); err != nil {
		r.checks.AddViolation("odd object not written: %v", err)
	}
}

// replaceEntries puts odd entries in the place of those of servers with requests in progress, until ctx ends. One server of
// each service keeps its entry.
func (r *run) replaceEntries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 801))
	servers := slices.Concat(r.site.Backends(demo.SitePlainService)[1:], r.site.Backends(demo.SiteModelService)[1:])
	for n := 0; ctx.Err() == nil; n++ {
		server, list := servers[rng.IntN(len(servers))], smallOdd
		if n%replacedByLarge == 0 {
			list = largeOdd
		}
		r.putOdd(platform.ServerKind, server.ID, list[rng.IntN(len(list))])
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxReplacedTime))))
		r.site.WriteEntries()
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxReplacedTime))))
	}
}

// replaceLease replaces the record of the controller's lease once.
func (r *run) replaceLease(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 802))
	pause.For(ctx, r.options.Duration/4)
	if ctx.Err() == nil {
		r.putOdd(leaseKind, leaseName, append(smallOdd[:5:5], largeOdd[0])[rng.IntN(6)])
	}
}

// configureBesideOdd writes configurations and checks that each comes into force on all VMs, and that an odd one does not,
// until ctx ends.
func (r *run) configureBesideOdd(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 803))
	for version := firstOddConfig; ctx.Err() == nil; version++ {
		r.putOdd(platform.ConfigKind, platform.ConfigName, append(smallOdd[:5:5], largeOdd[0], `{"Version":1000000,"Limits":{"MaxBodyBytes":-1}}`)[rng.IntN(7)])
		pause.For(ctx, oddConfigGap/2)
		r.configureVersion(version)
		// The run may end meanwhile, and VMs have as long as ever.
		pause.For(context.WithoutCancel(ctx), applyTimeout)
		for i := range r.vms {
			r.checkInForce(i, version, recoveryTimeout)
		}
	}
}

// checkBesideOdd checks that a VM has not ended, has followed the store, and has logged little about odd objects.
func (r *run) checkBesideOdd(i int, v *vm) {
	v.mu.Lock()
	ended := v.exited
	v.mu.Unlock()
	select {
	case <-ended:
		r.checks.AddViolation("VM %d has ended", i)
	default:
	}
	log, err := os.ReadFile(v.logFile.Name())
	if err != nil {
		r.checks.AddViolation("read the log of VM %d: %v", i, err)
	}
	for line := range bytes.Lines(log) {
		if bytes.Contains(line, []byte(`"message":"store unreachable"`)) {
			r.checks.AddViolation("VM %d: %.300s", i, line)
		}
		if len(line) > maxOddLineBytes {
			r.checks.AddViolation("VM %d logs a line of %d bytes: %.100s", i, len(line), line)
		}
	}
}

// maxOddLineBytes is more than any line of the log has.
const maxOddLineBytes = 8 << 10
