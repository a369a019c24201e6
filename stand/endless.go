package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// EndlessResponse is a response of a faulty server that sends bytes until its connection is closed.
type EndlessResponse struct {
	// Begin is sent once, and Repeat over and over after it.
	Begin, Repeat string
}

// Names of the endless responses. The first ones never get past the head.
const (
	EndlessStatusLine  = "status line"
	EndlessHeaderLine  = "header line"
	EndlessHeaderLines = "header lines"
	EndlessInterim     = "interim responses"
	EndlessNotHTTP     = "not HTTP"
	EndlessEvent       = "event"
	EndlessEventLines  = "event lines"
	EndlessBody        = "body"
	EndlessJSON        = "JSON text"
)

// EndlessHeads, EndlessEvents and EndlessBodies list the names of the responses without an end to their head, to an event
// of their stream, or to their plain body.
var (
	EndlessHeads  = []string{EndlessStatusLine, EndlessHeaderLine, EndlessHeaderLines, EndlessInterim, EndlessNotHTTP}
	EndlessEvents = []string{EndlessEvent, EndlessEventLines}
	EndlessBodies = []string{EndlessBody}
	// EndlessCalls lists those that a call with a JSON response may get.
	EndlessCalls = slices.Concat(EndlessHeads, EndlessBodies, []string{EndlessJSON})
)

// endlessPieceBytes is the size of a repeated piece without a structure of its own.
const endlessPieceBytes = 1 << 10

// NewEndlessResponse returns the endless response with a name. header is the part of its head that a server sends with
// each response, each line ended by CR LF, and events are those of its stream that are whole.
func NewEndlessResponse(name, header, events string) EndlessResponse {
	const status = "HTTP/1.1 200 OK"
	piece := strings.Repeat("x", endlessPieceBytes)
	stream := status + "\r\n" + header + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	switch name {
	case EndlessStatusLine:
		return EndlessResponse{status + " ", piece}
	case EndlessHeaderLine:
		return EndlessResponse{status + "\r\n" + header + "Long: ", piece}
	case EndlessHeaderLines:
		return EndlessResponse{status + "\r\n" + header, "Long: " + piece[:endlessPieceBytes/10] + "\r\n"}
	case EndlessInterim:
		return EndlessResponse{"", "HTTP/1.1 103 Early Hints\r\n\r\n"}
	case EndlessNotHTTP:
		return EndlessResponse{"", piece}
	case EndlessEvent:
		return EndlessResponse{stream + endlessChunk(events+"data: "), endlessChunk(piece)}
	case EndlessEventLines:
		return EndlessResponse{stream + endlessChunk(events+"data: line\n"), endlessChunk("data: line\n")}
	}
	begin := status + "\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n"
	if name == EndlessJSON {
		begin += endlessChunk(`"`)
	}
	return EndlessResponse{begin, endlessChunk(piece)}
}

func endlessChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// endlessBlockBytes is about how much an endless response writes at once.
const endlessBlockBytes = 64 << 10

// WriteTo writes the response as fast as w takes it, until w fails. It implements io.WriterTo.
func (e EndlessResponse) WriteTo(w io.Writer) (int64, error) {
	return e.WriteUpTo(w, -1)
}

// WriteUpTo is WriteTo that ends without an error after limit bytes; a negative limit is none.
func (e EndlessResponse) WriteUpTo(w io.Writer, limit int64) (written int64, err error) {
	block := strings.Repeat(e.Repeat, endlessBlockBytes/len(e.Repeat)+1)
	for text := e.Begin + block; limit < 0 || written < limit; text = block {
		n, err := io.WriteString(w, text)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write endless response: %w", err)
		}
	}
	return written, nil
}

// StartEndless answers each request on a free loopback port with the endless response that respond returns for it, until
// stop is called.
func StartEndless(respond func(*http.Request) EndlessResponse) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	go acceptAll(l, func(conn net.Conn, r *http.Request) {
		// It ends with an error as soon as the client closes the connection.
		_, _ = respond(r).WriteTo(conn)
	})
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// ReadCounter counts the bytes that a client reads from its connections. What a server has written says less, since the
// kernel buffers some megabytes of it. The zero value is ready to use.
type ReadCounter struct {
	bytes atomic.Int64
	// onRead is called with the number of bytes after each read. Optional.
	onRead func(total int64)
}

// Bytes returns how many bytes have been read.
func (c *ReadCounter) Bytes() int64 { return c.bytes.Load() }

// Dial returns a function that opens TCP connections with dial, whose reads are counted.
func (c *ReadCounter) Dial(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			return &countedReads{TCPConn: tcp, counter: c}, err
		}
		return conn, err
	}
}

// ReadEndless makes a call to a server whose responses are the endless one with a name, and returns how many bytes the call has
// read, and its error. A call without a bound of its own is ended by its context after limit bytes, so that it does not use up the
// memory of the machine.
func ReadEndless(ctx context.Context, name string, limit int64, call func(ctx context.Context, dial Dial, address string) error) (read int64, err error) {
	address, stop, err := StartEndless(func(*http.Request) EndlessResponse { return NewEndlessResponse(name, "", "") })
	if err != nil {
		return 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	counter := &ReadCounter{onRead: func(total int64) {
		if total >= limit {
			cancel()
		}
	}}
	err = call(ctx, counter.Dial(conns.Dial), address)
	return counter.Bytes(), err
}

// Dial opens a TCP connection to an address.
type Dial = func(ctx context.Context, address string) (net.Conn, error)

type countedReads struct {
	*net.TCPConn
	counter *ReadCounter
}

// Read implements net.Conn.
func (c *countedReads) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	total := c.counter.bytes.Add(int64(n))
	if c.counter.onRead != nil {
		c.counter.onRead(total)
	}
	return n, err
}

// WriteTo hides the method of the TCP connection, which would read past the counter.
func (c *countedReads) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// endlessFaults are the responses without an end that a Backend has sent.
type endlessFaults struct{ sent, overread int }

// maxEndlessBytes is how much a Backend sends of a response without an end. It is far beyond every bound of a VM, with what
// the kernel buffers on the way.
const maxEndlessBytes = 64 << 20

// SendEndless sends a response without an end to w until that fails. header is the part of its head that the server sends
// with each response, each line ended by CR LF, and events are those of its stream that are whole.
func (b *Backend) SendEndless(w io.Writer, header, events string) {
	names := slices.Concat(EndlessHeads, EndlessBodies)
	if b.StreamEvents > 0 {
		names = slices.Concat(EndlessHeads, EndlessEvents)
	}
	b.mu.Lock()
	name := names[b.endless.sent%len(names)]
	b.endless.sent++
	b.mu.Unlock()
	if _, err := NewEndlessResponse(name, header, events).WriteUpTo(w, maxEndlessBytes); err != nil {
		return // The client closed the connection.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endless.overread++
}

// Endless returns how many responses without an end the server has sent, and how many of them were read far beyond every
// bound.
func (b *Backend) Endless() (sent, overread int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endless.sent, b.endless.overread
}
