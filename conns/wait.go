package conns

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

// stallWait is the wait of a read for its peer.
type stallWait struct {
	// waited is how long the peer has been silent while this process ran, late how late its timers fired together.
	waited, late time.Duration
	// begunAnew is set once the wait has begun anew.
	begunAnew bool
}

// add adds a wait of timeout that took longer or not, after which there is something to read or not, and reports
// whether the peer was silent. The Go runtime ends a read whose deadline has passed before it looks for bytes, and after
// a standstill of the whole machine the peer has yet to send them again, so that neither the timer nor an empty socket
// tells of the peer. The wait begins anew once only: a VM that is late each time still notices a server that is gone.
func (w *stallWait) add(timeout, took time.Duration, readable bool) (silent bool) {
	late := pause.Standstill(timeout, took)
	w.late += late
	switch {
	case readable:
		return false
	case late > 0 && !w.begunAnew:
		w.waited, w.begunAnew = 0, true
		return false
	}
	w.waited += timeout
	return true
}
