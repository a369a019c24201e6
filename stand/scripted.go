package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// ConnEnd is how a server ends the connection of a response.
type ConnEnd int

// Values of ConnEnd.
const (
	EndClosed ConnEnd = iota
	EndReset
	// EndSilent keeps the connection open and sends nothing more.
	EndSilent
)

// ConnEnds lists all values of ConnEnd by name, and ResponseFramings all ways in which a response can mark
// its end.
var (
	ConnEnds         = map[string]ConnEnd{"closed": EndClosed, "reset": EndReset, "silent": EndSilent}
	ResponseFramings = []httpx.Framing{httpx.FramedByLength, httpx.FramedByChunks, httpx.FramedByClose}
)

// ScriptedResponse is a response with status 200, or the beginning of one, byte by byte as it is sent.
type ScriptedResponse struct {
	// Header is the head without the status line and the framing, each line ended by CR LF.
	Header  string
	Framing httpx.Framing
	Body    string
	// Sent is how many bytes of Body are sent. If that is all, the response ends as Framing requires.
	Sent int
	End  ConnEnd
	// HeadSent is how many bytes of the head are sent if the response breaks off inside it, 0 if it does not.
	HeadSent int
	// SilentUntil, if not nil, is when the silence ends that follows what is sent. Resumes is set if the rest of a response
	// that broke off inside its head comes then.
	SilentUntil <-chan struct{}
	Resumes     bool
	// OneWrite sends the head together with the body.
	OneWrite bool
}

// Truncations returns a response for each way to break off a response: with each framing, inside the head, after it, in the
// middle of the body and before its last byte, and with each end of the connection. The keys describe them.
func Truncations(body string) map[string]ScriptedResponse {
	all := make(map[string]ScriptedResponse)
	for _, framing := range ResponseFramings {
		for end, connEnd := range ConnEnds {
			for point, sent := range map[string]int{"after the head": 0, "in the middle": len(body) / 2, "before the last byte": len(body) - 1} {
				all[fmt.Sprintf("%s, %s %s", framing, end, point)] = ScriptedResponse{Framing: framing, Body: body, Sent: sent, End: connEnd}
			}
			for i, cut := range (ScriptedResponse{Framing: framing, Body: body, End: connEnd}).HeadCuts() {
				if connEnd == EndSilent && i%8 != 0 {
					// Each takes the timeout of its caller.
					continue
				}
				all[fmt.Sprintf("%s, %s after %d bytes of the head", framing, end, cut.HeadSent)] = cut
			}
		}
	}
	return all
}

// StartScripted serves a response to every request on a free loopback port until stop is called.
func StartScripted(respond func(*http.Request) ScriptedResponse) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	go serveScripted(l, respond)
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// resetDelay is the time for the receiver to read what was sent, which a reset discards.
const resetDelay = 20 * time.Millisecond

// serveScripted answers one request on each connection to l with what respond returns. It returns when l is
// closed, and then closes the silent connections.
func serveScripted(l net.Listener, respond func(*http.Request) ScriptedResponse) {
	ended := make(chan struct{})
	defer close(ended)
	acceptAll(l, func(conn net.Conn, r *http.Request) { respond(r).send(conn, ended) })
}

func (s ScriptedResponse) send(conn net.Conn, ended <-chan struct{}) {
	w := bufio.NewWriter(conn)
	s.write(w)
	_ = w.Flush()
	if s.SilentUntil != nil {
		select {
		case <-s.SilentUntil:
		case <-ended:
		}
	}
	if s.Resumes {
		_, _ = w.WriteString(s.head()[s.HeadSent:])
		s.writeBody(w)
		_ = w.Flush()
	}
	switch s.End {
	case EndReset:
		time.Sleep(resetDelay)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case EndSilent:
		<-ended
	}
}

// write writes what is sent of the response.
func (s ScriptedResponse) write(w *bufio.Writer) {
	if s.HeadSent > 0 {
		_, _ = w.WriteString(s.head()[:s.HeadSent])
		return
	}
	_, _ = w.WriteString(s.head())
	if !s.OneWrite {
		_ = w.Flush()
	}
	s.writeBody(w)
}

func (s ScriptedResponse) writeBody(w *bufio.Writer) {
	if s.Framing == httpx.FramedByChunks {
		s.writeChunks(w)
		return
	}
	_, _ = w.WriteString(s.Body[:s.Sent])
}

// HeadCuts returns the response broken off after each byte of its head but the last one.
func (s ScriptedResponse) HeadCuts() []ScriptedResponse {
	var cuts []ScriptedResponse
	for s.HeadSent = 1; s.HeadSent < len(s.head()); s.HeadSent++ {
		cuts = append(cuts, s)
	}
	return cuts
}

func (s ScriptedResponse) head() string {
	head := "HTTP/1.1 200 OK\r\n" + s.Header
	switch s.Framing {
	case httpx.FramedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(s.Body))
	case httpx.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n"
}

// writeChunks writes a chunk for each part of the body that ends with an empty line. Only a whole body gets
// its last chunk.
func (s ScriptedResponse) writeChunks(w io.Writer) {
	remaining := s.Sent
	for _, chunk := range strings.SplitAfter(s.Body, "\n\n") {
		if chunk != "" && remaining == 0 {
			return
		}
		part := chunk[:min(remaining, len(chunk))]
		_, _ = fmt.Fprintf(w, "%x\r\n%s", len(chunk), part)
		if len(part) < len(chunk) {
			return
		}
		_, _ = io.WriteString(w, "\r\n")
		remaining -= len(part)
	}
	if s.Body != "" && !strings.HasSuffix(s.Body, "\n\n") {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}
