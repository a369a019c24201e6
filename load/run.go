package load

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

func sortArrivals(all []Arrival) {
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.Offset, b.Offset) })
}

// Runner sends the requests of a schedule. Classes and Targets must be set.
type Runner struct {
	Classes []Class
	// Targets returns the addresses of the VMs that the load balancer currently
	// uses.
	Targets func() []string
	// Progress, when set, is called every second.
	Progress func(elapsed time.Duration, sent, completed int)
	// TimeoutMargin is added to the profile's time for the complete response to get the
	// timeout of a request; 0 is 5 seconds.
	TimeoutMargin time.Duration

	client     httpx.Client
	nextTarget atomic.Uint64
}

const defaultTimeoutMargin = 5 * time.Second

// Run sends the arrivals and returns their results in the same order.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []Result {
	results := make([]Result, len(arrivals))
	var completed atomic.Int64
	var sent atomic.Int64
	stop := r.reportProgress(&sent, &completed)
	defer stop()
	startedAt := clock.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !sleepUntil(ctx, startedAt.Add(a.Offset)) {
			results = results[:i]
			break
		}
		sent.Add(1)
		wg.Go(func() {
			results[i] = r.send(ctx, a)
			completed.Add(1)
		})
	}
	wg.Wait()
	r.client.CloseIdle()
	return results
}

// reportProgress calls Progress until the returned function is called.
func (r *Runner) reportProgress(sent, completed *atomic.Int64) func() {
	if r.Progress == nil {
		return func() {}
	}
	startedAt := clock.Now()
	tick := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				r.Progress(clock.Now().Sub(startedAt), int(sent.Load()), int(completed.Load()))
			}
		}
	}()
	return func() {
		tick.Stop()
		close(done)
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.For(ctx, at.Sub(clock.Now()))
}

// send makes one request. Like a load balancer, it tries the next VM if nothing
// could be sent to one.
func (r *Runner) send(ctx context.Context, a Arrival) Result {
	class := r.Classes[a.Class]
	margin := r.TimeoutMargin
	if margin == 0 {
		margin = defaultTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(class.Profile.WholeAnswerMs)*time.Millisecond+margin)
	defer cancel()
	startedAt := clock.Now()
	targets := r.Targets()
	start := r.nextTarget.Add(1)
	for i := range targets {
		target := targets[(start+uint64(i))%uint64(len(targets))]
		res, reached := r.sendTo(ctx, class, a, target, startedAt)
		if reached {
			return res
		}
	}
	return Result{Arrival: a, Verdict: VerdictUnreachable, Duration: clock.Now().Sub(startedAt)}
}

func (r *Runner) sendTo(ctx context.Context, class Class, a Arrival, target string, startedAt time.Time) (Result, bool) {
	req, err := newRequest(ctx, class, a, target)
	if err != nil {
		return Result{Arrival: a, Verdict: VerdictDisconnected, Detail: err.Error()}, true
	}
	// Prevents the transport from retrying the request.
	req.GetBody = nil
	resp, written, err := r.client.Do(req)
	if err != nil && !written {
		return Result{}, false
	}
	res := Result{Arrival: a, Target: target, StartedAt: startedAt}
	if err != nil {
		res.Verdict, res.Detail = VerdictDisconnected, err.Error()
		res.Duration = clock.Now().Sub(startedAt)
		return res, true
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	readResponse(resp, class, &res)
	res.Duration = clock.Now().Sub(startedAt)
	return res, true
}

func isErrorStatus(resp *http.Response) bool { return resp.StatusCode >= http.StatusBadRequest }
