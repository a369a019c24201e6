package conns

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// asyncWriteBytes is the body size from which a separate goroutine writes the
// body. A server may respond before it has read a long body, and a blocking
// write would delay reading that response.
const asyncWriteBytes = 8 << 10

// Exchange is one request and its response on a connection.
type Exchange struct {
	conn   *Conn
	method string
}

// bodyWrite is the write of a body by a goroutine of its own. A nil one has succeeded.
type bodyWrite struct {
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

// succeeded reports whether the body was written whole.
func (w *bodyWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Send writes a request: its head, which ends with an empty line, and its body.
// After an error the request was not written completely; the server may have
// received a part of it.
func (c *Conn) Send(method string, head, body []byte) (*Exchange, error) {
	x := &Exchange{conn: c, method: method}
	c.bodyWrite = nil
	if len(body) < asyncWriteBytes {
		if _, err := c.net.Write(append(head, body...)); err != nil {
			return nil, fmt.Errorf("write request: %w", err)
		}
		return x, nil
	}
	if _, err := c.net.Write(head); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	w := &bodyWrite{done: make(chan struct{})}
	c.bodyWrite = w
	go func() {
		defer close(w.done)
		_, w.err = c.net.Write(body)
	}()
	return x, nil
}

// ReadResponse reads the head of the response. It skips interim (1xx) responses. A head beyond MaxHeadBytes or
// MaxInterimResponses is an ErrEndless, one that is none by RFC 9112 an httpx.ErrMalformed.
func (x *Exchange) ReadResponse() (*http.Response, error) {
	c := x.conn
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		err = c.head.begin(buffered)
	}
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	resp, err := x.readFinal()
	// The beginning of a line, or of a head, may look like another error, or like a whole line.
	switch {
	case c.head.end():
		return nil, fmt.Errorf("read response: %w", errHeadTooLong)
	case err != nil && errors.Is(c.readErr, io.EOF):
		return nil, fmt.Errorf("read response: %w", io.ErrUnexpectedEOF)
	case err != nil && c.readErr != nil:
		return nil, fmt.Errorf("read response: %w", c.readErr)
	}
	if err == nil {
		httpx.CheckTrailer(resp)
	}
	return resp, err
}

func (x *Exchange) readFinal() (*http.Response, error) {
	for range MaxInterimResponses + 1 {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		x.conn.proven = true
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("read response: %w", httpx.ErrNotUpgraded)
		}
	}
	return nil, fmt.Errorf("read response: %w", errInterimTooOften)
}

// Buffered returns how many bytes of the response can be read without blocking.
func (x *Exchange) Buffered() int { return x.conn.reader.Buffered() }

// Finish returns the connection to the pool when the request was written and
// the response was read completely, and closes it otherwise.
func (x *Exchange) Finish(now time.Time, pool *Pool, resp *http.Response, complete bool) {
	if !complete || resp == nil || resp.Close || !x.conn.bodyWrite.succeeded() {
		pool.Discard(x.conn)
		return
	}
	pool.Put(now, x.conn, keepAliveTimeout(resp.Header))
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, 0 for none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if s > 0 && (err == nil || errors.Is(err, strconv.ErrRange)) {
			return clock.Duration(float64(s), time.Second)
		}
	}
	return 0
}

// ConnectionLost reports whether an error from Send, ReadResponse or reading a
// response body means that the connection was closed or reset by the server or
// timed out, rather than closed by this VM.
func ConnectionLost(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// ErrBodyTooLarge is returned for a body that is longer than allowed.
var ErrBodyTooLarge = errors.New("body is longer than allowed")

// ReadAll reads a body of at most limit bytes. A longer body is an
// ErrBodyTooLarge.
func ReadAll(r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return data, fmt.Errorf("read body: %w", err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, limit)
	}
	return data, nil
}

// DecodeJSON decodes a body of at most limit bytes. A body that is not whole is an error even if the value in it is: a
// decoder of the stream would stop at the end of the value, and keep one without an end.
func DecodeJSON(r io.Reader, limit int, value any) error {
	data, err := ReadAll(r, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

// Drain reads a body of at most limit bytes that is not needed, so that its connection can be used again. A longer body
// is an ErrBodyTooLarge. The body must not be closed after an error, as that would read the rest of it.
func Drain(r io.Reader, limit int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if n > int64(limit) {
		return ErrBodyTooLarge
	}
	return nil
}
