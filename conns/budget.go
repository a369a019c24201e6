package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Responses that have to be whole before they are used are buffered, each up to a bound of its own. Many long ones at
// the same time, or a few servers that send bodies without an end, would together take all the memory of a small VM.
// So they share a budget. When it is used up, the body that holds the most gives way to the others: usual responses
// have some kilobytes, and neither wait for a long one nor fail because of it.

const (
	// minBudgetBytes is the smallest budget; the longest body that is allowed has to fit.
	minBudgetBytes = 16 << 20
	// firstChunkBytes and maxChunkBytes are the sizes in which a body takes memory. Each chunk but the first is as long as
	// all before it, up to the second size.
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 256 << 10
	// smallBodyBytes is the size up to which a body may use reserveBytes beyond the budget while responses that were read
	// hold it. Such responses can not give way, and stay until their callers have read them: one of 16 MB to a slow caller
	// held all of the smallest budget, and no other response could be read. With the reserve, the smallest budget is an
	// eighth of 144 MB.
	smallBodyBytes = 64 << 10
	reserveBytes   = 2 << 20
)

// ErrBudgetExceeded is returned for a body that gave way to others, as it held more of the shared budget than any.
var ErrBudgetExceeded = errors.New("no memory left for a body this long beside other responses")

// Budget bounds the memory of all bodies that are buffered at the same time, up to a reserve for small ones. The zero
// value is ready to use, with the smallest budget.
type Budget struct {
	// MemoryLimit returns the memory in bytes that this process may use, 0 if that is not known. The budget is an eighth
	// of it, but not less than the smallest budget. Optional.
	MemoryLimit func() int64

	mu         sync.Mutex
	used, peak int64
	// bodies are those that hold memory, in the order in which they began.
	bodies []*Body
	// waiting counts the bodies that wait for memory.
	waiting int
	// freed is closed when memory was freed or a body has to give way, nil if nobody waits for that.
	freed chan struct{}
}

// Body is a body that was read whole.
type Body struct {
	budget *Budget
	chunks [][]byte
	length int
	// held is how much of the budget the body has. It can give way while it is read.
	held             int64
	reading, givesUp bool
	abort            func()
}

// limit returns the size of the budget.
func (b *Budget) limit() int64 {
	if b.MemoryLimit == nil {
		return minBudgetBytes
	}
	return max(minBudgetBytes, b.MemoryLimit()/8)
}

// Peak returns the most that was used at the same time.
func (b *Budget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Used returns how much of the budget is in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Awaited reports whether a body waits for memory.
func (b *Budget) Awaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting > 0
}

// Read reads a body of at most limit bytes, which may not be more than 16 MB. A longer body is an ErrBodyTooLarge. A
// body that has to give way to others is aborted by a call of abort, which ends a read of r that is in progress, and is
// an ErrBudgetExceeded. ctx bounds the wait for other bodies. The memory belongs to the budget again after Release.
func (b *Budget) Read(ctx context.Context, r io.Reader, limit int, abort func()) (*Body, error) {
	body := &Body{budget: b, reading: true, abort: abort}
	err := body.read(ctx, r, limit)
	if err == nil && b.endReading(body) {
		return body, nil
	}
	gaveUp := body.gaveUp()
	body.Release()
	if gaveUp {
		return nil, ErrBudgetExceeded
	}
	return nil, err
}

func (body *Body) read(ctx context.Context, r io.Reader, limit int) error {
	for size := firstChunkBytes; ; size = min(body.length, maxChunkBytes) {
		size = min(size, limit-body.length)
		if size == 0 {
			return expectEnd(r)
		}
		if err := body.budget.take(ctx, body, int64(size)); err != nil {
			return err
		}
		chunk, err := fill(r, make([]byte, size))
		body.chunks, body.length = append(body.chunks, chunk), body.length+len(chunk)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// fill reads until a chunk is full, and returns what was read. Unlike io.ReadFull it tells the end of a body, io.EOF,
// from a body that was cut short.
func fill(r io.Reader, chunk []byte) ([]byte, error) {
	for n := 0; ; {
		read, err := r.Read(chunk[n:])
		if n += read; err != nil || n == len(chunk) {
			return chunk[:n], err
		}
	}
}

// expectEnd returns an error unless a body ends here.
func expectEnd(r io.Reader) error {
	var next [1]byte
	switch rest, err := fill(r, next[:]); {
	case len(rest) > 0:
		return ErrBodyTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return fmt.Errorf("read body: %w", err)
	}
}

// take adds n bytes to what a body holds. If there are not as many left, the body that holds the most gives way; if it
// is this one, it waits for the others.
func (b *Budget) take(ctx context.Context, body *Body, n int64) error {
	for {
		freed, err := b.tryTake(body, n)
		if freed == nil {
			return err
		}
		b.wait(1)
		select {
		case <-freed:
			b.wait(-1)
		case <-ctx.Done():
			b.wait(-1)
			return fmt.Errorf("wait for memory for a body: %w", ctx.Err())
		}
	}
}

func (b *Budget) wait(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += n
}

// tryTake returns a channel to wait for, or nil if the memory was taken or is not to be had.
func (b *Budget) tryTake(body *Body, n int64) (freed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.givesUp {
		return nil, ErrBudgetExceeded
	}
	largest := b.largest()
	// The reserve is for bodies that no long one can give way to.
	mayUseReserve := body.held+n <= smallBodyBytes && (largest == nil || largest == body || largest.held <= smallBodyBytes)
	if free := b.limit() - b.used; n <= free || mayUseReserve && n <= free+reserveBytes {
		b.grant(body, n)
		return nil, nil
	}
	if largest != nil && largest != body && !largest.givesUp {
		largest.givesUp = true
		largest.abort()
		b.signal()
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, nil
}

// grant records that a body takes n bytes. b.mu is held.
func (b *Budget) grant(body *Body, n int64) {
	if body.held == 0 {
		b.bodies = append(b.bodies, body)
	}
	body.held += n
	b.used += n
	b.peak = max(b.peak, b.used)
}

// largest returns the body that holds the most of those that can give way, the last one to begin if there are several,
// nil for none. The order is strict, so that two bodies never wait for each other. b.mu is held.
func (b *Budget) largest() *Body {
	var largest *Body
	for _, body := range b.bodies {
		if body.reading && (largest == nil || body.held >= largest.held) {
			largest = body
		}
	}
	return largest
}

// signal wakes those that wait. b.mu is held.
func (b *Budget) signal() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// endReading ends the time in which a body can give way, and reports false if it has to.
func (b *Budget) endReading(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	body.reading = false
	return !body.givesUp
}

func (body *Body) gaveUp() bool {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	return body.givesUp
}

// Release gives the memory of a body back to the budget. It may be called more than once.
func (body *Body) Release() {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.held == 0 {
		return
	}
	b.used -= body.held
	body.held = 0
	for i, other := range b.bodies {
		if other == body {
			b.bodies = append(b.bodies[:i], b.bodies[i+1:]...)
			break
		}
	}
	b.signal()
}

// Len returns the length of the body.
func (body *Body) Len() int { return body.length }

// Bytes returns a copy of the body.
func (body *Body) Bytes() []byte {
	data := make([]byte, 0, body.length)
	for _, chunk := range body.chunks {
		data = append(data, chunk...)
	}
	return data
}

// WriteTo writes the body to w. It implements io.WriterTo.
func (body *Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, chunk := range body.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write body: %w", err)
		}
	}
	return written, nil
}
