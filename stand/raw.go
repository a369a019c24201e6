package stand

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
)

// StartRaw serves on a free loopback port until stop is called. It reads each request whole, sends the text that respond
// returns as it is, and closes the connection.
func StartRaw(respond func(*http.Request) string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	ServeRaw(l, respond)
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// ServeRaw is StartRaw on a listener, until that is closed.
func ServeRaw(l net.Listener, respond func(*http.Request) string) {
	go acceptAll(l, func(conn net.Conn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, respond(r))
	})
}

// lengthOf returns the header line with the length of a body.
func lengthOf(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// inChunks returns a body in one chunk, with the lines of its trailer, each ended by CR LF.
func inChunks(body, trailer string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// BrokenStatusLines returns responses whose status line is none by RFC 9112, or has a status that RFC 9110 does not allow. header
// is what a server sends with each response, each line ended by CR LF, and body their body. The keys describe them.
func BrokenStatusLines(header, body string) map[string]string {
	end := header + lengthOf(body) + "\r\n" + body
	sound := "HTTP/1.1 200 OK\r\n" + end
	all := map[string]string{
		"000 without a length": "HTTP/1.1 000 \r\n" + header + "\r\n" + body,
		"000 before a head":    "HTTP/1.1 000 \r\n\r\n" + sound,
		"042 before a head":    "HTTP/1.1 042 \r\nContent-Length: 0\r\n\r\n" + sound,
		"101":                  "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound,
		"000 after interim":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n" + end,
		"empty line first":     "\r\n" + sound,
	}
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 042 ", "HTTP/1.1 099 ", "HTTP/1.1 600 ", "HTTP/1.1 999 ", "HTTP/1.1 20 ", "HTTP/1.1 2000 ", "HTTP/1.1 +20 ", "HTTP/1.1  200 OK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200\tOK", "HTTP/1.1 200\x00",
	} {
		all[fmt.Sprintf("%q", line)] = line + "\r\n" + end
	}
	return all
}

// BrokenFields returns responses with a line in their head, or in one before or after it, that is no field line by RFC 9112.
func BrokenFields(header, body string) map[string]string {
	const status = "HTTP/1.1 200 OK\r\n"
	all := map[string]string{
		"encoding of HTTP/1.0": "HTTP/1.0 200 OK\r\n" + header + inChunks(body, ""),
	}
	for _, line := range []string{
		"X-A : b", "X A: b", " X-A: b", "\tX-A: b", "X-A\t: b", "X\x01A: b", "X\x00A: b", "X\x7fA: b", "X\x80A: b", "X(A: b", ": b", "X-A", "X-A: a\x01b", "X-A: a\x00b", "X-A: a\rb",
		"Content-Length : 3", " Content-Length: 3", "Transfer-Encoding : chunked", "Attempt : x1", "Connection : close",
	} {
		name := fmt.Sprintf("%q", line)
		all[name] = status + header + line + "\r\n" + lengthOf(body) + "\r\n" + body
		all[name+" first"] = status + line + "\r\n" + header + lengthOf(body) + "\r\n" + body
		all[name+" without a length"] = status + header + line + "\r\n\r\n" + body
		all[name+" interim"] = "HTTP/1.1 103 Early Hints\r\nX-B: c\r\n" + line + "\r\n\r\n" + status + header + lengthOf(body) + "\r\n" + body
		if strings.TrimLeft(line, " \t") != line {
			continue // The line before it goes on, and nothing is passed on of a trailer.
		}
		all[name+trailerSuffix] = status + header + inChunks(body, "X-B: c\r\n"+line+"\r\n")
	}
	return all
}

// BrokenHeads returns those of BrokenStatusLines and BrokenFields that are broken before their body, and not in a trailer.
func BrokenHeads(header, body string) map[string]string {
	heads := BrokenStatusLines(header, body)
	maps.Copy(heads, BrokenFields(header, body))
	maps.DeleteFunc(heads, func(name, _ string) bool { return strings.HasSuffix(name, trailerSuffix) })
	return heads
}

// trailerSuffix ends the names of responses that are broken in their trailer.
const trailerSuffix = " trailer"

// OddHeads returns responses whose heads are unusual, and valid or to be taken by RFC 9112.
func OddHeads(header, body string) map[string]string {
	end := header + lengthOf(body) + "\r\n" + body
	const status = "HTTP/1.1 200 OK\r\n"
	return map[string]string{
		"no reason":          "HTTP/1.1 200 \r\n" + end,
		"no blank before it": "HTTP/1.1 200\r\n" + end,
		"reason in UTF-8":    "HTTP/1.1 200 \u00fc\tx\r\n" + end,
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + end,
		"HTTP/1.7":           "HTTP/1.7 200 OK\r\n" + end,
		"lines end with LF":  "HTTP/1.1 200 OK\nX-B: c\n" + end,
		"all characters":     status + "!#$%&'*+-.^_`|~09azAZ: b\r\n" + end,
		"empty value":        status + "X-A:\r\nX-B: \t \r\n" + end,
		"value in UTF-8":     status + "X-A: \u00fc\tx \r\n" + end,
		"usual":              status + end,
		"interim heads":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + status + end,
		"trailer":            status + header + inChunks(body, "X-T: v\r\nX-U:\r\n"),
		"declared trailer":   status + header + "Trailer: X-T\r\n" + inChunks(body, "X-T: v\r\n"),
		"same length twice":  status + lengthOf(body) + end,
	}
}

// SendFaulty sends a response without an end or with a broken head to w. header is the part of its head that the server sends
// with each response, each line ended by CR LF, and events are those of its stream that are whole.
func (b *Backend) SendFaulty(action Action, w io.Writer, header, events string) {
	if action == ActionEndless {
		b.SendEndless(w, header, events)
		return
	}
	heads := BrokenHeads(header, "broken")
	names := slices.Sorted(maps.Keys(heads))
	b.mu.Lock()
	name := names[b.brokenHeads%len(names)]
	b.brokenHeads++
	b.mu.Unlock()
	_, _ = io.WriteString(w, heads[name])
}

// BrokenHeads returns how many broken heads the server has sent.
func (b *Backend) BrokenHeads() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brokenHeads
}
