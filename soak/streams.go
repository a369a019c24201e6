package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

const (
	// streamTime is how long servers take for a stream, so that faults reach most streams before their end.
	streamTime = 480 * time.Millisecond
	// streamTries is how often a caller sends a stream at most, and streamPause how long it waits at most between two.
	streamTries = 5
	streamPause = 150 * time.Millisecond
	// maxEventPause bounds how long a slow caller waits before it reads the next event.
	maxEventPause = 200 * time.Millisecond
	// eventFields is the number of words of an event: id:, its number, data:, the request, its number again, the version and
	// the run.
	eventFields = 7
	// smallReceiveBuffer is the buffer in bytes of a slow caller's connection.
	smallReceiveBuffer = 4 << 10
)

// streamOrder counts the streams that were read and those out of order.
type streamOrder struct {
	mu sync.Mutex
	// counts holds the number of streams by how they ended, and of violations by their kind.
	counts map[string]int
}

func (o *streamOrder) count(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]int)
	}
	o.counts[name]++
}

// checkStreams reads streams to their end beside faults, for the duration of the run: servers that break streams off, crash,
// are replaced by ones of other versions, come and go; VMs that are killed, stop, stand still, or are cut off from the store or the
// servers; callers that read slowly, leave, take their streams up elsewhere, or do so twice at once. It guards against
// streams in which an event is missing, comes twice or is of another run, and against ends that look complete too early.
func (r *run) checkStreams(ctx context.Context) {
	var order streamOrder
	loadCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var wait, background sync.WaitGroup
	for i := range r.options.Callers {
		wait.Go(func() { r.readStreams(loadCtx, &order, i) })
	}
	for i := range r.options.Callers / 4 {
		wait.Go(func() { r.sendRequests(loadCtx, i, plainKinds()) })
	}
	background.Go(func() { r.releaseVersions(loadCtx) })
	background.Go(func() { r.replaceServers(loadCtx) })
	background.Go(func() { r.crashModelServers(loadCtx) })
	background.Go(func() { r.cutVMs(loadCtx) })
	background.Go(func() { r.limitShares(loadCtx) })
	r.injectStreamFaults(loadCtx)
	background.Wait()
	r.clearFaults()
	wait.Wait()
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
	for _, name := range slices.Sorted(maps.Keys(order.counts)) {
		r.faults["stream "+name] = order.counts[name]
	}
}

// startModelServers gives model servers the time of their start, by which instances of one name are told apart, and the models
// of the streams: with few models on many servers each stream has several servers that it can go on at.
func (r *run) startModelServers() {
	for _, b := range r.site.Backends(demo.SiteModelService) {
		b.Restart(time.Now())
		b.AddModels(streamModels()...)
		b.OnChange()
	}
}

// plainKinds are the kinds of requests that are sent beside streams.
func plainKinds() []demo.RequestKind {
	return slices.DeleteFunc(slices.Clone(demo.SiteRequestKinds), func(k demo.RequestKind) bool { return k.Stream })
}

func streamModels() []string { return demo.SiteModels[:2] }

// readStreams reads one stream after the other, as one caller, until ctx ends.
func (r *run) readStreams(ctx context.Context, order *streamOrder, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+900))
	for i := 0; ctx.Err() == nil; i++ {
		s := &streamCaller{model: streamModels()[rng.IntN(len(streamModels()))]}
		reader := streamReader{run: r, order: order, slow: rng.IntN(4) == 0}
		for try := range streamTries {
			id := fmt.Sprintf(streamPrefix+"%d-%d-%d-%d", r.options.Seed, n, i, try)
			leaveAfter := demo.SiteStreamEvents + 1
			if rng.IntN(3) == 0 {
				leaveAfter = 1 + rng.IntN(4)
			}
			if s.LastEvent > 0 && rng.IntN(4) == 0 {
				reader.readTwice(s, r.vms[rng.IntN(len(r.vms))], r.vms[rng.IntN(len(r.vms))], id, rng.Uint64())
			} else {
				reader.read(s, r.vms[rng.IntN(len(r.vms))], id, leaveAfter, rng)
			}
			if s.LastEvent == demo.SiteStreamEvents {
				break
			}
			time.Sleep(time.Duration(rng.Int64N(int64(streamPause))))
		}
		switch s.LastEvent {
		case demo.SiteStreamEvents:
			order.count("whole")
		case 0:
			order.count("not begun")
		default:
			order.count("not finished")
		}
	}
}

// streamReader reads the streams of one caller.
type streamReader struct {
	run   *run
	order *streamOrder
	slow  bool
}

// readTwice takes a stream up at two VMs at once, and goes on with what brings more events.
func (c streamReader) readTwice(s *streamCaller, first, second *vm, id string, seed uint64) {
	c.order.count("taken up twice at once")
	other := *s
	other.versions, other.runs = slices.Clone(s.versions), slices.Clone(s.runs)
	var wait sync.WaitGroup
	wait.Go(func() {
		c.read(s, first, id+"-a", demo.SiteStreamEvents+1, rand.New(rand.NewPCG(seed, 1)))
	})
	wait.Go(func() {
		c.read(&other, second, id+"-b", demo.SiteStreamEvents+1, rand.New(rand.NewPCG(seed, 2)))
	})
	wait.Wait()
	if other.LastEvent > s.LastEvent {
		*s = other
	}
}

// read sends one try to a VM and reads events until the stream ends, or up to a number of them.
func (c streamReader) read(s *streamCaller, v *vm, id string, leaveAfter int, rng *rand.Rand) {
	ctx, leave := context.WithTimeout(context.Background(), callTimeout)
	defer leave()
	client := &http.Client{Transport: c.transport()}
	resp, err := c.run.site.CallAfter(ctx, client, v.listenAddress, id, http.MethodPost, "/draft/x", s.model, "body of "+id, s.Progress)
	if err != nil {
		c.order.count("try without a response")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.order.count("try with status " + strconv.Itoa(resp.StatusCode))
		return
	}
	if s.LastEvent > 0 {
		c.order.count("taken up")
	}
	begun := s.LastEvent
	reader := bufio.NewReader(resp.Body)
	for n := 0; n < leaveAfter; n++ {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			c.checkEnd(s, v, id, event, resp)
			return
		}
		if err != nil {
			c.order.count("broken off")
			return
		}
		if !c.addEvent(s, v, id, event, begun) {
			return
		}
		if c.slow {
			time.Sleep(time.Duration(rng.Int64N(int64(maxEventPause))))
		}
	}
	c.order.count("left")
}

// transport returns a transport for one try.
func (c streamReader) transport() *http.Transport {
	transport := &http.Transport{DisableKeepAlives: true}
	if c.slow {
		dialer := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
			})
		}}
		transport.DialContext = dialer.DialContext
	}
	return transport
}

// readEvent reads an event. If the stream ends it returns io.EOF and what came of the next one.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for !strings.HasSuffix(event.String(), "\n\n") {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
	}
	return event.String(), nil
}

// checkEnd checks an end that looks complete.
func (c streamReader) checkEnd(s *streamCaller, v *vm, id, partial string, resp *http.Response) {
	byClose := httpx.FramingOf(resp) == httpx.FramedByClose
	switch {
	case partial != "":
		c.violation("end inside an event", s, v, id, partial)
	case s.LastEvent < demo.SiteStreamEvents && byClose:
		// Neither the VM nor the caller can tell whether such a stream is complete.
		c.order.count("end between two events, framed by close")
	case s.LastEvent < demo.SiteStreamEvents:
		c.violation("complete end too early", s, v, id, fmt.Sprintf("ends by close at the server: %q", resp.Header.Get("Ends-By-Close")))
	}
}

// addEvent checks an event against what the caller has, and adds it. It reports false if it is out of order. begun is the
// last event before this try.
func (c streamReader) addEvent(s *streamCaller, v *vm, id, event string, begun int) bool {
	fields := strings.Fields(event)
	if len(fields) < eventFields || fields[0] != "id:" || fields[1] != fields[4] {
		c.violation("event that is none", s, v, id, event)
		return false
	}
	number, err := strconv.Atoi(fields[1])
	switch {
	case err != nil:
		c.violation("event that is none", s, v, id, event)
		return false
	case number <= s.LastEvent:
		c.violation("event twice", s, v, id, event)
		return false
	case number > s.LastEvent+1:
		c.violation("event missing", s, v, id, event)
		return false
	case fields[3] != id:
		c.violation("event of another request", s, v, id, event)
		return false
	}
	if kind := s.addRun(fields[6], number); kind != "" {
		c.violation(kind, s, v, id, event)
		return false
	}
	if s.LastEvent++; s.LastEvent == 1 {
		s.Attempt = id
	}
	s.versions = append(s.versions, fields[5])
	if fields[5] != s.versions[0] {
		kind := "other version within a response"
		if begun > 0 && s.LastEvent == begun+1 {
			kind = "other version when taken up"
		}
		c.violation(kind, s, v, id, event)
		return false
	}
	return true
}

// addRun adds the run that wrote an event, written as its number and the last event before it, and returns what is wrong with
// it. A new run goes on where the events before it end.
func (s *streamCaller) addRun(run string, number int) string {
	if len(s.runs) > 0 && s.runs[len(s.runs)-1] == run {
		return ""
	}
	if slices.Contains(s.runs, run) {
		return "event of an earlier run"
	}
	s.runs = append(s.runs, run)
	if _, begin, _ := strings.Cut(run, "-"); begin != strconv.Itoa(number-1) {
		return "event from the middle of another run"
	}
	return ""
}

func (c streamReader) violation(kind string, s *streamCaller, v *vm, id, detail string) {
	c.order.count("OUT OF ORDER: " + kind)
	c.run.checks.AddViolation("stream %s at %s, begun as %s, after event %d of versions %v and runs %v: %s: %.100q", id, v.settingsPath, s.Attempt, s.LastEvent, s.versions, s.runs, kind, detail)
}
