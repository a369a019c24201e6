package demo_test

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// testTimeout bounds each wait of a test. No test depends on an operation being fast.
	testTimeout = 60 * time.Second
	// runStep is how much of a time without a turn of this process counts as time in which it ran.
	runStep = 20 * time.Millisecond
)

// withRunTime returns a context that ends once this process has run for a time, or has used as much processor time as all
// cores have in that time. A process that stands still, as a busy machine does not run it, does nothing that a test could
// wait for; one that is busy itself for too long fails.
func withRunTime(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	used := processorTime() + d*time.Duration(runtime.NumCPU())
	go func() {
		for range d / runStep {
			if !pause.For(ctx, runStep) {
				return
			}
			if processorTime() > used {
				break
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(nil) }
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// requireEventually requires that a condition holds before this process has run for testTimeout.
func requireEventually(t *testing.T, condition func() bool, interval time.Duration, message ...any) {
	t.Helper()
	ctx, cancel := withRunTime(t.Context(), testTimeout)
	defer cancel()
	for holds := false; !holds; pause.For(ctx, interval) {
		result := make(chan bool, 1)
		go func() { result <- condition() }()
		select {
		case holds = <-result:
		case <-ctx.Done():
			require.FailNow(t, "condition never satisfied", message...)
		}
	}
}

// Guards against a wait for what never comes that takes longer than it may in a process that runs.
func TestRunTimeOfRunningProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := withRunTime(t.Context(), testTimeout)
		defer cancel()
		<-ctx.Done()
		require.Equal(t, testTimeout, time.Since(began))
	})
}
