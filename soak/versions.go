package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// takeUpCallers is how many callers leave their streams and take them up, takeUpTries how often each does
	// so with one stream.
	takeUpCallers = 4
	takeUpTries   = 4
	// maxReleaseInterval bounds the time between two releases of a model server.
	maxReleaseInterval = 1500 * time.Millisecond
	// calmStreams is how many streams are taken up once there are no faults. At least half of them have to go on.
	calmStreams = 24
)

// softwareVersions are the versions that model servers run side by side.
var softwareVersions = []string{"v1", "v2"}

// releaseServers replaces model servers by ones of another software version, under their names and addresses, until
// ctx ends.
func (r *run) releaseServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 6))
	servers := r.site.Backends(demo.SiteModelService)
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxReleaseInterval))))
		r.countFault("release")
		r.site.ReleaseBackend(servers[rng.IntN(len(servers))], softwareVersions[rng.IntN(len(softwareVersions))])
	}
}

// streamCaller is what a caller has of a stream over all of its tries.
type streamCaller struct {
	demo.Progress
	versions []string
	model    string
	// runs names the runs that wrote the events, where servers say so, in the order in which they began to.
	runs []string
}

// read sends one try to a VM and reads up to a number of events. It reports whether the try was served.
func (r *run) read(ctx context.Context, s *streamCaller, v *vm, id string, events int) bool {
	ctx, leave := context.WithTimeout(ctx, callTimeout)
	defer leave()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := r.site.CallAfter(ctx, client, v.listenAddress, id, http.MethodPost, "/draft/x", s.model, "body of "+id, s.Progress)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	reader := bufio.NewReader(resp.Body)
	for range events {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := reader.ReadString('\n')
			if err != nil {
				return true
			}
			event.WriteString(line)
		}
		r.addEvent(s, id, event.String())
	}
	return true
}

// addEvent checks an event against what the caller has, and adds it.
func (r *run) addEvent(s *streamCaller, id, event string) {
	number, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
	versions := demo.EventVersions(event)
	if n, err := strconv.Atoi(number); err != nil || n != s.LastEvent+1 || len(versions) != 1 {
		r.checks.AddViolation("stream %s: event %q after event %d", id, event, s.LastEvent)
		return
	}
	if s.LastEvent++; s.LastEvent == 1 {
		s.Attempt = id
	}
	s.versions = append(s.versions, versions[0])
	if versions[0] != s.versions[0] {
		r.checks.AddViolation("stream %s, begun as %s: events of software versions %v", id, s.Attempt, s.versions)
	}
}

// takeStreamsUp begins streams, leaves them after some events and takes them up at other VMs, as one caller, until ctx
// ends.
func (r *run) takeStreamsUp(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+200))
	for i := 0; ctx.Err() == nil; i++ {
		s := &streamCaller{model: demo.SiteModels[rng.IntN(len(demo.SiteModels))]}
		for try := range takeUpTries {
			id := fmt.Sprintf("up-%d-%d-%d-%d", r.options.Seed, n, i, try)
			r.read(context.Background(), s, r.vms[rng.IntN(len(r.vms))], id, 1+rng.IntN(3))
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// checkTakeUps takes streams up while there are no faults and two software versions serve. As new streams begin there,
// most of them have to go on.
func (r *run) checkTakeUps(ctx context.Context) {
	for i, b := range r.site.Backends(demo.SiteModelService) {
		r.site.ReleaseBackend(b, softwareVersions[i%len(softwareVersions)])
	}
	deadline := time.Now().Add(recoveryTimeout)
	for n := 0; ; n++ {
		begun, goneOn := 0, 0
		for i := range calmStreams {
			s := &streamCaller{model: demo.SiteModels[i%len(demo.SiteModels)]}
			id := fmt.Sprintf("calm-%d-%d-%d", r.options.Seed, n, i)
			if !r.read(ctx, s, r.vms[i%len(r.vms)], id, 1) || s.LastEvent == 0 {
				continue
			}
			begun++
			if r.read(ctx, s, r.vms[(i+1)%len(r.vms)], id+"-again", 1) && s.LastEvent == 2 {
				goneOn++
			}
		}
		if 2*begun >= calmStreams && 2*goneOn >= begun {
			return
		}
		if time.Now().After(deadline) {
			r.checks.AddViolation("of %d streams %d began, and %d of them went on when they were taken up", calmStreams, begun, goneOn)
			return
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}
