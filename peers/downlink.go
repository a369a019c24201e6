package peers

import (
	"context"
	"sync/atomic"

	"github.com/hibiscuscart/hibiscuscart/link"
)

const (
	// frameQueue is how many frames wait for a link. A VM that is further behind
	// is told everything anew instead.
	frameQueue = 32
	// replyQueue is how many answers to questions wait for a link: more than a VM
	// has requests that wait for a model or adapter.
	replyQueue = 512
)

// downlink is the hub's side of a link.
type downlink struct {
	conn    *link.Conn
	vm      string
	frames  chan []byte
	replies chan []byte
	// behind is set when frames were left out, so that all must be told anew.
	behind atomic.Bool
}

func newDownlink(c *link.Conn) *downlink {
	return &downlink{conn: c, vm: c.PeerHello().Node, frames: make(chan []byte, frameQueue), replies: make(chan []byte, replyQueue)}
}

// offer queues a frame, or notes that the link is behind. To end such a link
// instead would make the VM open another, which begins with the whole view: with
// many of them the hub's own link fills up.
func (d *downlink) offer(frame []byte) {
	select {
	case d.frames <- frame:
	default:
		d.behind.Store(true)
	}
}

// reply queues an answer to a question. A VM that takes none is given up.
func (d *downlink) reply(frame []byte) {
	select {
	case d.replies <- frame:
	default:
		d.conn.Close()
	}
}

// write sends what is queued until ctx ends or the link breaks. whole returns the
// frames that tell everything.
func (d *downlink) write(ctx context.Context, whole func() ([][]byte, error)) error {
	for {
		var next [][]byte
		select {
		case <-ctx.Done():
			return nil
		case frame := <-d.replies:
			next = [][]byte{frame}
		case frame := <-d.frames:
			next = [][]byte{frame}
			if d.behind.Load() {
				all, err := d.catchUp(whole)
				if err != nil {
					return err
				}
				next = all
			}
		}
		for _, frame := range next {
			if err := d.conn.SendEncoded(ctx, frame); err != nil {
				return err
			}
		}
	}
}

// catchUp drops what is queued, all of it older than the whole view.
func (d *downlink) catchUp(whole func() ([][]byte, error)) ([][]byte, error) {
	d.behind.Store(false)
	for len(d.frames) > 0 {
		<-d.frames
	}
	return whole()
}
