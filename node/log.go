package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines is the capacity of the queue. A batch, which is written at once, is complete
	// from logBatchBytes on or after logBatchDelay.
	logQueueLines = 2048
	logBatchBytes = 16 << 10
	logBatchDelay = 50 * time.Millisecond
)

// LogWriter writes lines to another writer in the background. Lines that do not fit in the queue are
// dropped and counted, because a stalled reader of the log must not block requests.
type LogWriter struct {
	out   io.Writer
	lines chan []byte
	// quit is closed to stop the writer. lines is never closed, because goroutines that outlive the
	// daemon may still log.
	quit, done chan struct{}
	dropped    atomic.Int64
}

// NewLogWriter returns a LogWriter that writes to out in the background.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks or fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. It does not close the underlying writer. Lines
// written later are discarded.
func (w *LogWriter) Close() error {
	close(w.quit)
	<-w.done
	if n := w.Dropped(); n > 0 {
		if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n); err != nil {
			return fmt.Errorf("write log: %w", err)
		}
	}
	return nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = w.fillBatch(append(batch[:0], line...), logBatchDelay)
		case <-w.quit:
			w.drain(batch)
			return
		}
		// A failed write of the log cannot be reported anywhere. The next batch is tried again.
		_, _ = w.out.Write(batch)
	}
}

// drain writes all queued lines. The buffer of batch is reused.
func (w *LogWriter) drain(batch []byte) {
	for {
		if batch = w.fillBatch(batch[:0], 0); len(batch) == 0 {
			return
		}
		_, _ = w.out.Write(batch)
	}
}

// fillBatch adds the lines that arrive within the delay to a batch, up to logBatchBytes. With a
// delay of 0 it adds only the queued lines.
func (w *LogWriter) fillBatch(batch []byte, delay time.Duration) []byte {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for len(batch) < logBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		if delay == 0 {
			return batch
		}
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case <-w.quit:
			return batch
		case <-timer.C:
			return batch
		}
	}
	return batch
}
