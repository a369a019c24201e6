package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// frameQueue is the capacity of a link's frame queue. If it overflows, the VM is sent the
	// full state instead.
	frameQueue = 32
	// replyQueue is the capacity of a link's reply queue. It exceeds the number of a VM's
	// requests that wait for a model or adapter.
	replyQueue = 512
)

// downlink is the hub's side of a link.
type downlink struct {
	conn    *link.Conn
	hello   wire.Hello
	vm      string
	frames  chan []byte
	replies chan []byte
	// overflowed is set when a frame was dropped, so that the full state must be sent.
	overflowed atomic.Bool
	// withheldSince is when the full state was withheld from the VM, zero if it was not or no longer
	// is. The hub's lock guards it.
	withheldSince time.Time
}

func newDownlink(c *link.Conn) *downlink {
	return &downlink{conn: c, hello: c.PeerHello(), vm: c.PeerHello().Node, frames: make(chan []byte, frameQueue), replies: make(chan []byte, replyQueue)}
}

// enqueue adds a frame to the queue, or drops it and sets overflowed if the queue is full. The link
// is not closed then: the VM would open another one, which starts with the full state, and many such
// links would saturate the hub's network connection.
func (d *downlink) enqueue(frame []byte) {
	select {
	case d.frames <- frame:
	default:
		d.overflowed.Store(true)
	}
}

// enqueueReply adds the reply to a call to the queue. It closes the link if the queue is full,
// because the VM reads no replies.
func (d *downlink) enqueueReply(frame []byte) {
	select {
	case d.replies <- frame:
	default:
		d.conn.Close()
	}
}

// write sends queued frames until ctx ends or the link fails. fullState returns the frames with the
// full state.
func (d *downlink) write(ctx context.Context, fullState func() ([][]byte, error)) error {
	for {
		var next [][]byte
		select {
		case <-ctx.Done():
			return nil
		case frame := <-d.replies:
			next = [][]byte{frame}
		case frame := <-d.frames:
			next = [][]byte{frame}
			if d.overflowed.Load() {
				frames, err := d.resync(fullState)
				if err != nil {
					return err
				}
				next = frames
			}
		}
		for _, frame := range next {
			if err := d.conn.SendEncoded(ctx, frame); err != nil {
				return err
			}
		}
	}
}

// resync discards the queued frames, all of which are older than the full state, and returns the
// frames of the full state.
func (d *downlink) resync(fullState func() ([][]byte, error)) ([][]byte, error) {
	d.overflowed.Store(false)
	for len(d.frames) > 0 {
		<-d.frames
	}
	return fullState()
}
