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
)

// Desync is how one VM is put out of step with the others, and what these do once its process goes on.
type Desync struct {
	VM int
	// StandsStill stops its process, Slices stops it for most of each tenth of a second.
	StandsStill, Slices bool
	// StoreHeld holds its calls to the store back, until the streams have been taken up.
	StoreHeld bool
	// Links is what happens to what it exchanges with the other VMs.
	Links linkFault
	// Others is what the other VMs do.
	Others otherVMs
	// Lead is how long before the release the disturbance begins.
	Lead time.Duration
	// Rollback has servers of the first version come back after the streams began.
	Rollback bool
}

type otherVMs string

const (
	othersGoOn       otherVMs = "others_go_on"
	othersStandStill otherVMs = "others_stand_still"
	othersAreKilled  otherVMs = "others_are_killed"
)

// drawDesync draws a disturbance that puts a VM out of step.
func drawDesync(rng *rand.Rand, vms int) Desync {
	d := Desync{
		VM: rng.IntN(vms), StandsStill: rng.IntN(2) == 0, StoreHeld: rng.IntN(2) == 0,
		Links:  linkFaults[rng.IntN(len(linkFaults))],
		Others: []otherVMs{othersGoOn, othersGoOn, othersStandStill, othersAreKilled}[rng.IntN(4)],
		Lead:   time.Duration(rng.Int64N(int64(maxReleaseLead))),
	}
	d.Slices, d.Rollback = !d.StandsStill && rng.IntN(3) == 0, rng.IntN(4) == 0
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
	out, slices := r.vms[d.VM], make(chan struct{})
	r.setOutOfStep(d, true)
	if d.Slices {
		go r.runInSlices(out, slices)
	}
	pause.For(ctx, d.Lead)
	r.releaseHalf(ctx, softwareVersions[1])
	streams := r.beginAt(ctx, softwareVersions[1], r.vms[(d.VM+1+rng.IntN(len(r.vms)-1))%len(r.vms)])
	if d.Rollback {
		r.countFault("rollback")
		r.releaseHalf(ctx, softwareVersions[0])
	}
	var wait sync.WaitGroup
	for try := range outOfStepTries {
		if try == 1 {
			pause.For(ctx, 10*takeUpInterval)
			r.setOthers(d)
			out.signal(syscall.SIGCONT)
		}
		for i, s := range streams {
			wait.Go(func() { r.takeUpOnce(ctx, *s, out, fmt.Sprintf("out-%d-%d-%d", r.options.Seed, i, try)) })
		}
		pause.For(ctx, takeUpInterval)
	}
	if d.Others == othersStandStill {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxStillTime))))
	}
	r.endStandstills(d)
	wait.Wait()
	close(slices)
	r.setOutOfStep(d, false)
	r.countTakeUps(out)
	r.checkBackInStep(ctx, d, streams)
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
	if !begin {
		return
	}
	if d.StandsStill {
		out.signal(syscall.SIGSTOP)
	}
	for name, set := range map[string]bool{"store_held": d.StoreHeld, "stands_still": d.StandsStill, "slices": d.Slices, string(d.Links): true, string(d.Others): true} {
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

// setOthers stops or kills the VMs beside that which is out of step.
func (r *run) setOthers(d Desync) {
	for i, v := range r.vms {
		switch {
		case i == d.VM || d.Others == othersGoOn:
		case d.Others == othersStandStill:
			v.signal(syscall.SIGSTOP)
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
	if d.Others == othersAreKilled {
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
	Resumes  string   `json:"resumes"`
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
		if json.Unmarshal(lines.Bytes(), &l) != nil || l.Message != "request" || l.Resumes == "" {
			continue
		}
		r.takeUps[fmt.Sprintf("%d bound by %s to %s, sent to %v: %s", l.Status, cmp.Or(l.BoundBy, "nothing"), l.Bound, l.Versions, l.Reason)]++
	}
}
