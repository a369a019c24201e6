package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueue is how many lines wait to be written, logBatch how many bytes
	// are gathered into one write and logPause how long.
	logQueue = 2048
	logBatch = 16 << 10
	logPause = 50 * time.Millisecond
)

// LogWriter hands lines to another writer in the background. A line that finds
// the queue full is dropped and counted: a reader of the log that has stopped
// reading must not hold up requests.
type LogWriter struct {
	out   io.Writer
	lines chan []byte
	// quit is closed to end the writer; lines is never closed, as goroutines
	// that outlive the daemon may still log.
	quit, done chan struct{}
	dropped    atomic.Int64
}

// NewLogWriter starts writing to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueue), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer. What is written after it is
// dropped.
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
			batch = w.gather(append(batch[:0], line...), logPause)
		case <-w.quit:
			w.drain(batch)
			return
		}
		// Nothing can be done about a log that can not be written; the next
		// batch is tried again.
		_, _ = w.out.Write(batch)
	}
}

// drain writes what is queued at the end.
func (w *LogWriter) drain(batch []byte) {
	for {
		if batch = w.gather(batch[:0], 0); len(batch) == 0 {
			return
		}
		_, _ = w.out.Write(batch)
	}
}

// gather adds the lines that come within a pause, up to a batch.
func (w *LogWriter) gather(batch []byte, pause time.Duration) []byte {
	wait := time.NewTimer(pause)
	defer wait.Stop()
	for len(batch) < logBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		if pause == 0 {
			return batch
		}
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case <-w.quit:
			return batch
		case <-wait.C:
			return batch
		}
	}
	return batch
}
