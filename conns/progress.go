package conns

import (
	"context"
	"io"
	"time"
)

// ProgressContext returns a context that ends with context.DeadlineExceeded after a time, or a pause after the last call
// of progress if that is later, but after total at the latest. A long response is then not given up while it arrives.
func ProgressContext(ctx context.Context, first, pause, total time.Duration) (_ context.Context, progress, cancel func()) {
	ctx, end := context.WithCancelCause(ctx)
	startedAt := time.Now()
	timer := time.AfterFunc(first, func() { end(context.DeadlineExceeded) })
	progress = func() {
		elapsed := time.Since(startedAt)
		timer.Reset(max(first-elapsed, min(pause, total-elapsed), 0))
	}
	return ctx, progress, func() {
		timer.Stop()
		end(context.Canceled)
	}
}

// ProgressReader calls Progress each time that it has read something.
type ProgressReader struct {
	Reader   io.Reader
	Progress func()
}

// Read implements io.Reader.
func (r ProgressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.Progress()
	}
	return n, err
}
