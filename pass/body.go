package pass

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// A request is read whole before it is sent, and kept until it ends. Some 80 long uploads at the same time took more than
// the memory of a small VM, whose process was ended with all its requests. So those beyond a bound are refused.

// SmallBodyBytes is the size below which bodies do not count toward Gateway.RequestBytes.
const SmallBodyBytes = 64 << 10

// errNoBodyRoom is returned for a request that is too long beside those that this VM holds.
var errNoBodyRoom = errors.New("no memory left for a body this long beside other requests")

// bodyRoom is the memory of the request bodies that are held at the same time. The zero value holds none.
type bodyRoom struct {
	mu   sync.Mutex
	held int64
}

// take takes n bytes if there are as many left of limit, 0 for no limit, and reports whether there were.
func (r *bodyRoom) take(n, limit int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit > 0 && r.held+n > limit {
		return false
	}
	r.held += n
	return true
}

func (r *bodyRoom) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= n
}

func (r *bodyRoom) bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// RequestBytes returns how many bytes the long bodies of requests take.
func (g *Gateway) RequestBytes() int64 { return g.bodyRoom.bytes() }

// readBody reads the body of a request of at most limit bytes, and returns a function that releases its memory. A longer
// one is a conns.ErrBodyTooLarge, one for which there is no room an errNoBodyRoom.
func (g *Gateway) readBody(r *http.Request, limit int) (body []byte, release func(), err error) {
	none := func() {}
	if r.ContentLength > int64(limit) {
		return nil, none, conns.ErrBodyTooLarge
	}
	start, err := conns.ReadAll(io.LimitReader(r.Body, SmallBodyBytes), limit)
	if err != nil || len(start) < SmallBodyBytes {
		return start, none, err
	}
	n := r.ContentLength
	if n < 0 {
		// Its length is not known before it was read.
		n = int64(limit)
	}
	if !g.bodyRoom.take(n, g.requestMemory()) {
		g.Meter.AddCounter("pass.refused_body_room", 1)
		return nil, none, errNoBodyRoom
	}
	body, err = readRest(r, start, limit)
	if err != nil {
		g.bodyRoom.release(n)
		return nil, none, err
	}
	held := int64(len(body))
	g.bodyRoom.release(n - held)
	return body, func() { g.bodyRoom.release(held) }, nil
}

// readRest reads the rest of a body of at most limit bytes, and returns it after its start. If the length is known, it takes
// no more memory than that.
func readRest(r *http.Request, start []byte, limit int) ([]byte, error) {
	if r.ContentLength < 0 {
		return conns.ReadAll(io.MultiReader(bytes.NewReader(start), r.Body), limit)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body[copy(body, start):]); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// requestMemory returns how many bytes long bodies may take together, 0 if there is no bound.
func (g *Gateway) requestMemory() int64 {
	if g.RequestMemory == nil {
		return 0
	}
	return g.RequestMemory()
}
