package conns

import (
	"errors"
	"fmt"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// Bounds of the head of a response. A faulty server may send bytes that never become a whole head, or interim responses
// without end, and net/http reads them until the memory is used up.
const (
	// MaxHeadBytes bounds the status line, the header lines and the preceding interim responses together.
	MaxHeadBytes = httpx.MaxHeadBytes
	// MaxInterimResponses bounds the interim (1xx) responses before a response.
	MaxInterimResponses = 16
)

// ErrEndless is returned for a response that exceeds a bound which no sound server reaches. The rest of it must not be
// read.
var ErrEndless = errors.New("response without an end")

var (
	errHeadTooLong     = fmt.Errorf("%w: head of more than %d bytes", ErrEndless, MaxHeadBytes)
	errInterimTooOften = fmt.Errorf("%w: more than %d interim responses", ErrEndless, MaxInterimResponses)
)

// headLimit bounds the bytes that are read from a connection for the head of a response, and checks them. Only the reader
// uses it.
type headLimit struct {
	active, exceeded bool
	remaining        int
	checker          httpx.HeadChecker
}

// begin begins a head, of which the buffered bytes have been read from the connection before. It returns an error if they
// are malformed.
func (l *headLimit) begin(buffered []byte) error {
	*l = headLimit{active: true, remaining: MaxHeadBytes - len(buffered)}
	_, err := l.checker.Check(buffered)
	return err
}

// end ends the head and reports whether it was too long.
func (l *headLimit) end() (exceeded bool) {
	l.active = false
	return l.exceeded
}

// allowed returns how many of n bytes may be read now, and false once the head is too long. That stays so until end: the
// readers of net/http take the part of a line before an error for a whole line, and see the error at the next read.
func (l *headLimit) allowed(n int) (int, bool) {
	if !l.active {
		return n, true
	}
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, false
	}
	return min(n, l.remaining), true
}

// add records what was read, and returns how much of it may be passed on, with an error if that is not all.
func (l *headLimit) add(data []byte) (int, error) {
	l.remaining -= len(data)
	if !l.active {
		return len(data), nil
	}
	return l.checker.Check(data)
}
