package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/relay"
)

const (
	// A run counts as stalled once it is silent for longer than these multiples
	// of its latency targets.
	firstTokenTimeoutFactor = 4
	tokenGapTimeoutFactor   = 20
	minStallTimeout         = time.Second
)

// runReader reads one run over a stream, or over several at a time. A silent stream
// stays open while another one asks for the rest of the run: a sound engine may be
// silent for a moment and go on, and the rest may be refused. The assembly drops what
// arrives twice.
type runReader struct {
	stage   *relayStage
	x       *Exchange
	address string

	// mu serializes the frames of the streams.
	mu       sync.Mutex
	assembly *relay.Assembly

	// frames receives a value when a frame has arrived, ends the end of each stream.
	frames chan struct{}
	ends   chan streamEnd
	// open is how many streams are open, resumes how many were opened to resume the
	// run.
	open, resumes int
	// unreachable is set while the last stream that ended could not reach the engine.
	unreachable bool
	// failures are the errors of the streams that have ended.
	failures error
}

// streamEnd is the result of a stream, nil if it brought the end of the run.
type streamEnd struct {
	err     error
	resumed bool
}

// readRun starts a run and reads it to its end.
func (s *relayStage) readRun(ctx context.Context, x *Exchange, c fleet.Candidate, assembly *relay.Assembly) error {
	ctx, cancel := context.WithCancel(ctx)
	r := &runReader{stage: s, x: x, address: c.Address, assembly: assembly, frames: make(chan struct{}, 1), ends: make(chan streamEnd)}
	defer func() {
		cancel()
		for ; r.open > 0; r.open-- {
			<-r.ends
		}
	}()
	r.open++
	go func() {
		r.ends <- streamEnd{err: s.engines.Generate(ctx, c.Address, x.attemptID, s.newGeneration(x), r.handle)}
	}()
	return r.read(ctx)
}

// resume opens a stream for the rest of the run.
func (r *runReader) resume(ctx context.Context) {
	r.open++
	r.resumes++
	r.stage.meter.AddCounter("relay.resumes", 1)
	go func() {
		r.mu.Lock()
		after := r.assembly.LastSequence()
		r.mu.Unlock()
		r.ends <- streamEnd{r.stage.engines.Resume(ctx, r.address, r.x.attemptID, after, r.handle), true}
	}()
}

// handle processes a frame of any stream.
func (r *runReader) handle(f hibiscuscart.Frame) error {
	select {
	case r.frames <- struct{}{}:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage.handleFrame(r.x, r.assembly, f)
}

// read returns nil once a stream has brought the end of the run, and otherwise why the
// run can not be read any more.
func (r *runReader) read(ctx context.Context) error {
	firstTimeout := stallTimeout(r.x.profile.FirstTokenTarget(), firstTokenTimeoutFactor)
	gapTimeout := stallTimeout(r.x.profile.BetweenTokensTarget(), tokenGapTimeoutFactor)
	stall := time.NewTimer(firstTimeout)
	defer stall.Stop()
	for {
		select {
		case <-r.frames:
			r.unreachable = false
			stall.Reset(gapTimeout)
		case <-stall.C:
			switch {
			case r.resumes < r.stage.maxResumes:
				r.resume(ctx)
			case r.givesUp():
				return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the stream went silent").WithError(r.failures)
			}
			stall.Reset(firstTimeout)
		case end := <-r.ends:
			r.open--
			if err := r.ended(end); !resumable(err) {
				return err
			}
			if r.open > 0 {
				continue
			}
			if r.resumes >= r.stage.maxResumes || !pause.For(ctx, r.stage.backoffDelay(r.resumes+1)) {
				return r.failures
			}
			r.resume(ctx)
			stall.Reset(firstTimeout)
		}
	}
}

// ended records the end of a stream and returns what it says about the run.
func (r *runReader) ended(end streamEnd) error {
	if end.err == nil {
		return nil
	}
	r.unreachable = hibiscuscart.AsFailure(end.err).Cause() == hibiscuscart.CauseDialFailed
	err := end.err
	if end.resumed {
		err = resumeResult(err)
	}
	r.failures = errors.Join(r.failures, err)
	return err
}

// givesUp reports whether a run that stays silent after all resumes is left: when another server may run the
// request, or the engine can not be reached.
func (r *runReader) givesUp() bool {
	return r.unreachable || r.x.possibleRuns+1 < r.x.profile.RunsAllowed()
}

// resumable reports whether a run may go on after a stream ended with an error.
func resumable(err error) bool {
	if err == nil {
		return false
	}
	switch hibiscuscart.AsFailure(err).Cause() {
	case hibiscuscart.CauseLostInStream, hibiscuscart.CauseLostBeforeAnswer:
		return !errors.Is(err, relay.ErrDiverged)
	}
	return false
}

// resumeResult returns what the failure of a resume says about the run. One that was
// refused, or that did not reach the engine, gives no information about it.
func resumeResult(err error) error {
	f := hibiscuscart.AsFailure(err)
	if f.Outcome() == hibiscuscart.OutcomeNotRun || f.Cause() == hibiscuscart.CauseBackendError {
		return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the run could not be resumed").WithError(err)
	}
	return err
}

func stallTimeout(target time.Duration, multiple int) time.Duration {
	return max(target*time.Duration(multiple), minStallTimeout)
}
