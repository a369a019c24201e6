package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// outOfStepServers is how many model servers serve before the release, which replaces half of them.
	outOfStepServers = 4
	// outOfStepTimeout is the timeout of routes. Streams then last for streamLife at most, and no other version may
	// have served for so long before the release.
	outOfStepTimeout = 4 * time.Second
	streamLife       = 10 * time.Second
	// outOfStepStreams begin at the new version, and each is taken up outOfStepTries times, at intervals of
	// takeUpInterval.
	outOfStepStreams = 16
	outOfStepTries   = 6
	takeUpInterval   = 40 * time.Millisecond
	// maxReleaseLead bounds the time between the beginning of a disturbance and the release.
	maxReleaseLead = 3 * time.Second
	// maxStillTime bounds the time for which the others stand still.
	maxStillTime = 3 * time.Second
	// beginTimeout is the time within which streams begin at the new version.
	beginTimeout = 10 * time.Second
	// entryWait is longer than a released server takes until it is back.
	entryWait = 300 * time.Millisecond
	// logWait is how long a VM takes to log the requests that have ended.
	logWait = 500 * time.Millisecond
	// thirdVersion joins after the streams began.
	thirdVersion = "v3"
)

// Desync is how one VM is put out of step with the others, and what these do once its process goes on.
type Desync struct {
	// VM is the index of the VM. If Leads is set, it is the VM that is the controller then, else another one.
	VM    int
	Leads bool
	// StandsStill stops its process, Slices stops it for most of each tenth of a second, AllSlices all processes.
	StandsStill, Slices, AllSlices bool
	// StoreHeld holds its calls to the store back, until the streams have been taken up.
	StoreHeld bool
	// Links is what happens to what it exchanges with the other VMs.
	Links linkFault
	// Others is what the other VMs do.
	Others otherVMs
	// Lead is how long before the release the disturbance begins.
	Lead time.Duration
	// Rollback has servers of the first version come back after the streams began, Third those of a third version.
	Rollback, Third bool
	// Restarts kills its process and starts it again instead of letting it go on.
	Restarts bool
	// WithoutPath cuts it off from the servers, so that it sends requests through other VMs.
	WithoutPath bool
	// Twice has callers take their streams up at another VM at the same time.
	Twice bool
}

type otherVMs string

const (
	othersGoOn       otherVMs = "others_go_on"
	othersStandStill otherVMs = "others_stand_still"
	othersAreKilled  otherVMs = "others_are_killed"
	othersRestart    otherVMs = "others_restart"
)

// drawDesync draws a disturbance that puts a VM out of step.
func drawDesync(rng *rand.Rand, vms int) Desync {
	d := Desync{
		VM: rng.IntN(vms), Leads: rng.IntN(2) == 0, StandsStill: rng.IntN(2) == 0, StoreHeld: rng.IntN(2) == 0,
		Links:  linkFaults[rng.IntN(len(linkFaults))],
		Others: []otherVMs{othersGoOn, othersGoOn, othersStandStill, othersAreKilled, othersRestart}[rng.IntN(5)],
		Lead:   time.Duration(rng.Int64N(int64(maxReleaseLead))),
	}
	d.Slices = !d.StandsStill && rng.IntN(3) == 0
	d.AllSlices = d.Slices && d.Others == othersGoOn && rng.IntN(2) == 0
	d.Rollback, d.Third = rng.IntN(4) == 0, rng.IntN(4) == 0
	d.Restarts, d.WithoutPath, d.Twice = rng.IntN(6) == 0, rng.IntN(6) == 0, rng.IntN(3) == 0
	d.StoreHeld = d.StoreHeld || !d.StandsStill && !d.Slices && d.Links == linksSound
	return d
}

// outOfStepRoutes returns routes whose streams last for streamLife at most.
func outOfStepRoutes() []routes.Route {
	list := demo.SiteRoutes()
	for i := range list {
		list[i].Timeout = min(list[i].Timeout, outOfStepTimeout)
	}
	return list
}

// checkOutOfStep has servers of a new software version join while one VM is out of step, begins streams at them through
// another VM and takes them up at the first one. It guards against streams that go on at another version.
func (r *run) checkOutOfStep(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 900))
	d := drawDesync(rng, len(r.vms))
	if r.options.Desync != "" {
		if err := json.Unmarshal([]byte(r.options.Desync), &d); err != nil {
			r.checks.AddViolation("read what replaces the drawn disturbance: %v", err)
		}
	}
	r.desync = &d
	r.startAnew(ctx)
	pause.For(ctx, streamLife+time.Second)
	r.chooseByRole(&d)
	out, sliced := r.vms[d.VM], make(chan struct{})
	r.setOutOfStep(d, true)
	for _, v := range r.vms {
		if d.AllSlices || d.Slices && v == out {
			go r.runInSlices(v, sliced)
		}
	}
	pause.For(ctx, d.Lead)
	r.releaseHalf(ctx, softwareVersions[1])
	beside := r.vms[(d.VM+1+rng.IntN(len(r.vms)-1))%len(r.vms)]
	streams := r.beginAt(ctx, softwareVersions[1], beside)
	if d.Rollback {
		r.releaseHalf(ctx, softwareVersions[0])
	}
	if d.Third {
		r.releaseHalf(ctx, thirdVersion)
	}
	var wait sync.WaitGroup
	for try := range outOfStepTries {
		if try == 1 {
			pause.For(ctx, 10*takeUpInterval)
			r.setOthers(ctx, d)
			if d.Restarts {
				r.restart(out, syscall.SIGKILL)(ctx, 0)
			}
			out.signal(syscall.SIGCONT)
		}
		for i, s := range streams {
			wait.Go(func() { r.takeUpOnce(ctx, *s, out, fmt.Sprintf("out-%d-%d-%d", r.options.Seed, i, try)) })
			if d.Twice {
				wait.Go(func() { r.takeUpOnce(ctx, *s, beside, fmt.Sprintf("twice-%d-%d-%d", r.options.Seed, i, try)) })
			}
		}
		pause.For(ctx, takeUpInterval)
	}
	if d.Others == othersStandStill {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxStillTime))))
	}
	r.endStandstills(d)
	wait.Wait()
	close(sliced)
	r.setOutOfStep(d, false)
	pause.For(ctx, logWait)
	r.countTakeUps(out)
	r.checkBackInStep(ctx, d, streams)
}

// chooseByRole makes the VM the controller, or another one if it must not be.
func (r *run) chooseByRole(d *Desync) {
	o, err := r.site.Objects.Client().Get(context.Background(), "leases", "controller")
	var record struct{ Address string }
	if err == nil {
		err = json.Unmarshal(o.Value, &record)
	}
	leader := slices.IndexFunc(r.vms, func(v *vm) bool { return v.peerAddress == record.Address })
	if err != nil || leader < 0 {
		r.checks.AddViolation("no VM is the controller: %+v, %v", record, err)
		return
	}
	if d.Leads {
		d.VM = leader
	} else if d.VM == leader {
		d.VM = (leader + 1) % len(r.vms)
	}
}

// startAnew starts all model servers anew, as the entries of the stand-in's first instances do not say when they started:
// no VM could tell such an instance from the next one at its address.
func (r *run) startAnew(ctx context.Context) {
	servers := r.site.Backends(demo.SiteModelService)
	for _, b := range servers {
		r.site.ReleaseBackend(b, softwareVersions[0])
	}
	pause.For(ctx, entryWait)
	for i, b := range servers {
		b.AddModels(demo.SiteModels[i%len(demo.SiteModels)])
		b.OnChange()
	}
}

// setOutOfStep begins a disturbance of a VM, or ends all but the standstill.
func (r *run) setOutOfStep(d Desync, begin bool) {
	mode := Forward
	if begin {
		mode = Stall
	}
	out := r.vms[d.VM]
	if d.StoreHeld {
		out.storeProxy.SetMode(mode)
	}
	r.network.set(d.VM, d.Links, begin)
	for _, p := range r.serverProxies {
		switch {
		case d.WithoutPath && begin:
			p.Cut(out.source, false)
		case d.WithoutPath:
			p.Heal(out.source)
		}
	}
	if !begin {
		return
	}
	if d.StandsStill {
		out.signal(syscall.SIGSTOP)
	}
	for name, set := range map[string]bool{"store_held": d.StoreHeld, "stands_still": d.StandsStill, "slices": d.Slices, "all_slices": d.AllSlices, "rollback": d.Rollback, "third": d.Third, "restarts": d.Restarts, "without_path": d.WithoutPath, "twice": d.Twice, string(d.Links): true, string(d.Others): true} {
		if set {
			r.countFault(name)
		}
	}
}

// runInSlices lets a process run for a small part of each tenth of a second until done is closed.
func (r *run) runInSlices(v *vm, done <-chan struct{}) {
	const slice, rest = 15 * time.Millisecond, 85 * time.Millisecond
	for {
		v.signal(syscall.SIGSTOP)
		time.Sleep(rest)
		v.signal(syscall.SIGCONT)
		select {
		case <-done:
			return
		case <-time.After(slice):
		}
	}
}

// setOthers stops, kills or restarts the VMs beside that which is out of step.
func (r *run) setOthers(ctx context.Context, d Desync) {
	for i, v := range r.vms {
		switch {
		case i == d.VM || d.Others == othersGoOn:
		case d.Others == othersStandStill:
			v.signal(syscall.SIGSTOP)
		case d.Others == othersRestart:
			r.restart(v, syscall.SIGKILL)(ctx, 0)
		default:
			v.signal(syscall.SIGKILL)
		}
	}
}

func (r *run) endStandstills(d Desync) {
	if d.Others != othersStandStill {
		return
	}
	for i, v := range r.vms {
		if i != d.VM {
			v.signal(syscall.SIGCONT)
		}
	}
}

// releaseHalf replaces half of the model servers by ones of a software version, which have all models that fit, and
// adds a server of it.
func (r *run) releaseHalf(ctx context.Context, version string) {
	servers := r.site.Backends(demo.SiteModelService)
	for _, b := range servers[:len(servers)/2] {
		r.site.ReleaseBackend(b, version)
	}
	pause.For(ctx, entryWait)
	added, err := r.site.AddBackendOf(demo.SiteModelService, len(servers), version)
	if err != nil {
		r.checks.AddViolation("add server: %v", err)
		return
	}
	if r.desync.WithoutPath {
		r.mu.Lock()
		p := r.proxyByServerID[added.ID]
		r.mu.Unlock()
		p.Cut(r.vms[r.desync.VM].source, false)
	}
	for _, b := range append(servers[:len(servers)/2:len(servers)/2], added) {
		b.AddModels(demo.SiteModels[0])
		b.OnChange()
	}
}

// beginAt begins streams at servers of a version, and leaves each after its first event.
func (r *run) beginAt(ctx context.Context, version string, v *vm) []*streamCaller {
	var streams []*streamCaller
	deadline := time.Now().Add(beginTimeout)
	for n := 0; len(streams) < outOfStepStreams; n++ {
		s := &streamCaller{model: demo.SiteModels[0]}
		r.read(ctx, s, v, fmt.Sprintf("begin-%d-%d", r.options.Seed, n), 1)
		if s.LastEvent == 1 && s.versions[0] == version {
			streams = append(streams, s)
		}
		if time.Now().After(deadline) {
			r.checks.AddViolation("only %d of %d streams began at %s", len(streams), n, version)
			return streams
		}
	}
	return streams
}

// takeUpOnce takes a stream up at a VM and reads it to its end.
func (r *run) takeUpOnce(ctx context.Context, s streamCaller, v *vm, id string) (goneOn bool) {
	s.versions = append([]string(nil), s.versions...)
	begun := s.LastEvent
	r.read(ctx, &s, v, id, demo.SiteStreamEvents-begun)
	return s.LastEvent > begun
}

// checkBackInStep checks that a VM takes streams up once the disturbance has ended, unless all that knew them ended.
func (r *run) checkBackInStep(ctx context.Context, d Desync, streams []*streamCaller) {
	if d.Others == othersAreKilled || d.Others == othersRestart {
		return
	}
	deadline := time.Now().Add(recoveryTimeout)
	for n := 0; ; n++ {
		goneOn := 0
		for i, s := range streams {
			if r.takeUpOnce(ctx, *s, r.vms[d.VM], fmt.Sprintf("back-%d-%d-%d", r.options.Seed, n, i)) {
				goneOn++
			}
		}
		if 2*goneOn >= len(streams) {
			return
		}
		if time.Now().After(deadline) {
			r.checks.AddViolation("back in step, %d of %d streams went on", goneOn, len(streams))
			return
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}

// requestLine is what a VM logs of a request.
type requestLine struct {
	Message  string   `json:"message"`
	Request  string   `json:"request"`
	Status   int      `json:"status"`
	Reason   string   `json:"reason"`
	BoundBy  string   `json:"bound_by"`
	Bound    string   `json:"bound_version"`
	Versions []string `json:"software_versions"`
}

// countTakeUps counts how the requests that took streams up ended at a VM.
func (r *run) countTakeUps(v *vm) {
	data, err := os.ReadFile(v.logFile.Name())
	if err != nil {
		r.checks.AddViolation("read log of a VM: %v", err)
		return
	}
	r.takeUps = make(map[string]int)
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		var l requestLine
		if json.Unmarshal(lines.Bytes(), &l) != nil || l.Message != "request" && l.Message != "request rejected" || !strings.HasPrefix(l.Request, "out-") {
			continue
		}
		r.takeUps[fmt.Sprintf("%d bound by %s to %s, sent to %v: %s", l.Status, cmp.Or(l.BoundBy, "nothing"), l.Bound, l.Versions, l.Reason)]++
	}
}
