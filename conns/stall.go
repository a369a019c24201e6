package conns

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// SetStallTimeout makes each read that waits for longer than timeout call abort with the time that it has waited, and
// again after every further timeout. The read fails only when abort returns true: a silent server may still respond,
// and a request should abandon it only when another server is available. The readers of net/http cannot continue after
// a failed read, so they must not see the deadline. A timeout of 0 disables the check. While this process stood still
// its peer may have sent, so abort is not called if there is something to read, and the wait begins anew once after
// the process stood still.
func (c *Conn) SetStallTimeout(timeout time.Duration, abort func(waited time.Duration) bool) {
	c.stallTimeout, c.abortOnStall = timeout, abort
	if timeout > 0 {
		return
	}
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.stallDue = false
	_ = c.net.SetReadDeadline(time.Time{})
}

// CheckStall makes the read that waits, or the next one, call the abort function of SetStallTimeout at once.
// Another goroutine calls it while the connection has a stall timeout.
func (c *Conn) CheckStall() {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.stallDue = true
	_ = c.net.SetReadDeadline(time.Unix(0, 1))
}

// beginWait sets the deadline of a read that begins at now, and reports whether CheckStall was called before it.
func (c *Conn) beginWait(now time.Time) (checkDue bool) {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	checkDue, c.stallDue = c.stallDue, false
	_ = c.net.SetReadDeadline(now.Add(c.stallTimeout))
	return checkDue
}

// takeStallDue reports whether CheckStall ended a read.
func (c *Conn) takeStallDue() bool {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	due := c.stallDue
	c.stallDue = false
	return due
}

// stallReader reads from a connection and applies its stall timeout and the bound of the head that is read.
type stallReader struct{ *Conn }

// Read implements io.Reader. After an error it reads no more, see Conn.readErr.
func (r stallReader) Read(p []byte) (int, error) {
	if r.readErr != nil {
		return 0, r.readErr
	}
	limit, ok := r.head.allowed(len(p))
	if !ok {
		return 0, errHeadTooLong
	}
	n, err := r.read(p[:limit])
	if errors.Is(err, io.EOF) && r.failedWhileWriting() {
		err = httpx.ErrReset
	}
	n, malformed := r.head.add(p[:n])
	if malformed != nil {
		err = malformed
	}
	r.readErr = err
	return n, err
}

// failedWhileWriting reports whether the connection, whose stream has ended, may have failed in a write of the request. The
// read sees an end of the stream then, which would be the end of a response that is framed by it.
func (r stallReader) failedWhileWriting() bool {
	return !r.bodyWrite.succeeded() && httpx.FailedConn(r.net)
}

func (r stallReader) read(p []byte) (int, error) {
	for w := (stallWait{}); ; {
		began := time.Now()
		if r.stallTimeout > 0 && r.beginWait(began) && r.abortOnStall(w.waited) {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := r.net.Read(p)
		ended := time.Now()
		if n > 0 || r.stallTimeout == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !r.takeStallDue() {
			state, err := peek(r.net)
			if err != nil {
				return 0, err
			}
			silent := w.add(r.stallTimeout, ended.Sub(began), state != socketIdle)
			r.ownDelay = w.late
			if !silent {
				continue
			}
		}
		if r.abortOnStall(w.waited) {
			return n, err
		}
	}
}

// OwnDelay returns for how long this process stood still during the wait that the abort function of SetStallTimeout is
// called for, as far as its timers tell. Only that function may call it.
func (c *Conn) OwnDelay() time.Duration { return c.ownDelay }
