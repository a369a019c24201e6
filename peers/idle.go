package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

// idleWait is the wait for the next frame of a link. The zero value is no wait.
type idleWait struct {
	mu      sync.Mutex
	waiting bool
	since   time.Time
	// begunAnew is set once the wait has begun anew, as this VM had stood still.
	begunAnew bool
}

func (w *idleWait) begin(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.since, w.begunAnew = true, now, false
}

func (w *idleWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
}

// check reports whether the link has been without frames for too long, and otherwise when to check again. A check that
// comes much later than the limit says that this VM stood still: frames may lie in its socket. The wait begins anew once,
// so that a VM which is late each time finds a link that is broken.
func (w *idleWait) check(now time.Time) (broken bool, next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waited := now.Sub(w.since)
	switch {
	case !w.waiting:
		return false, linkIdleTimeout
	case waited < linkIdleTimeout:
		return false, linkIdleTimeout - waited
	case w.begunAnew || pause.Standstill(linkIdleTimeout, waited) == 0:
		return true, 0
	}
	w.since, w.begunAnew = now, true
	return false, linkIdleTimeout
}

// closeIdle closes a link that is without frames for too long.
func (p *Peers) closeIdle(ctx context.Context, up *uplink) {
	for broken, next := false, linkIdleTimeout; pause.For(ctx, next); {
		if broken, next = up.idle.check(p.Now()); broken {
			up.conn.Close()
			return
		}
	}
}
