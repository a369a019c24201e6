package conns

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// writeAside is the size from which a body is written beside the reading of
// the answer: a server may answer before it has read a long body, and a write
// that waits for it would keep the answer from being read.
const writeAside = 8 << 10

// Exchange is one request over a connection.
type Exchange struct {
	conn    *Conn
	method  string
	written chan error
}

// Send writes a request: its head, which ends with an empty line, and its body.
// An error tells that it was not written whole; the server may have seen a part.
func (c *Conn) Send(method string, head, body []byte) (*Exchange, error) {
	x := &Exchange{conn: c, method: method}
	if len(body) < writeAside {
		if _, err := c.net.Write(append(head, body...)); err != nil {
			return nil, fmt.Errorf("write request: %w", err)
		}
		return x, nil
	}
	if _, err := c.net.Write(head); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := c.net.Write(body)
		x.written <- err
	}()
	return x, nil
}

// Answer reads the head of the answer. Interim answers are passed over.
func (x *Exchange) Answer() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// Pending reports how many bytes of the answer can be read without waiting.
func (x *Exchange) Pending() int { return x.conn.reader.Buffered() }

// Finish hands the connection back when the answer was read to its end and the
// body was taken, and closes it otherwise.
func (x *Exchange) Finish(now time.Time, p *Pool, resp *http.Response, whole bool) {
	if !whole || resp == nil || resp.Close || !x.sent() {
		p.Discard(x.conn)
		return
	}
	p.Keep(now, x.conn, idleTime(resp.Header))
}

// sent reports whether the whole request has been written.
func (x *Exchange) sent() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// idleTime returns the time that a Keep-Alive header names, 0 for none.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// ConnectionLost reports whether an error from Send, Answer or reading an answer means that the
// connection was closed or reset by the server or timed out, rather than closed by this VM.
func ConnectionLost(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// ErrTooLong says that a body is longer than allowed.
var ErrTooLong = errors.New("body is longer than allowed")

// ReadAll reads a body of at most limit bytes.
func ReadAll(r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return data, fmt.Errorf("read body: %w", err)
	}
	if len(data) > limit {
		return nil, ErrTooLong
	}
	return data, nil
}
