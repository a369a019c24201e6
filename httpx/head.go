package httpx

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes bounds the status line, the header lines and the preceding interim responses together. Sound servers send
// some hundred bytes.
const MaxHeadBytes = 64 << 10

// ErrMalformed is returned for a response whose head, or trailer, does not have the grammar of RFC 9112. The readers of
// net/http take a field name with a blank, and then apply and forward it or not; a status below 100 is an interim one to them.
var ErrMalformed = errors.New("malformed response")

// ErrNotUpgraded is returned for status 101 to a request that does not ask for another protocol.
var ErrNotUpgraded = fmt.Errorf("%w: status 101 was not asked for", ErrMalformed)

// HeadChecker checks the bytes of a response up to the end of its head, with the interim (1xx) responses before it. The zero
// value expects a status line.
type HeadChecker struct {
	// line is the beginning of a line whose end is still to come.
	line []byte
	// inFields is set after a status line, version10 if that says HTTP/1.0, interim if it is one of an interim response.
	inFields, version10, interim bool
	done                         bool
}

// Check checks the bytes that follow those of the calls before. It returns how many of them may be passed on, without the
// end of a malformed line, and ErrMalformed if that is not all. What follows the head is not checked.
func (h *HeadChecker) Check(data []byte) (int, error) {
	checked := 0
	for !h.done {
		end := bytes.IndexByte(data[checked:], '\n')
		if end < 0 {
			h.line = append(h.line, data[checked:]...)
			return len(data), nil
		}
		line := data[checked : checked+end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = line[:0]
		}
		if err := h.checkLine(strings.TrimSuffix(string(line), "\r")); err != nil {
			return checked + end, err
		}
		checked += end + 1
	}
	return len(data), nil
}

func (h *HeadChecker) checkLine(line string) error {
	if !h.inFields {
		h.inFields = true
		return h.checkStatusLine(line)
	}
	if len(line) > 0 {
		return h.checkField(line)
	}
	h.inFields = false
	h.done = !h.interim
	return nil
}

// The parts of a status line before the reason: HTTP/1.1 200.
const (
	versionEnd    = len("HTTP/1.1")
	statusStart   = versionEnd + len(" ")
	statusLineMin = statusStart + len("200")
)

// checkStatusLine checks a status line. Its status lies within the range of RFC 9110, section 15. The blank before an empty
// reason may be missing (RFC 9112, section 4).
func (h *HeadChecker) checkStatusLine(line string) error {
	if len(line) < statusLineMin || !strings.HasPrefix(line, "HTTP/1.") || !isDigit(line[versionEnd-1]) || line[versionEnd] != ' ' {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	status, reason := line[statusStart:statusLineMin], line[statusLineMin:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return fmt.Errorf("%w: status %.40q", ErrMalformed, line[statusStart:])
	}
	if len(reason) > 0 && (reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason)) {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	h.version10 = line[versionEnd-1] == '0'
	h.interim = status[0] == '1' && status != "101"
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkField checks a field line. One that begins with a blank would continue the line before, which senders must not do any
// more (RFC 9112, section 5.2), or has a blank in its name.
func (h *HeadChecker) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: field line %.40q", ErrMalformed, line)
	}
	if h.version10 && strings.EqualFold(name, headerTransferEncoding) {
		// HTTP/1.0 has none, so that net/http ignores it and takes the encoded body for the body itself.
		return fmt.Errorf("%w: transfer encoding of HTTP/1.0", ErrMalformed)
	}
	return nil
}

// CheckTrailer makes the body of a response end with ErrMalformed if a field name of its trailer is invalid.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	}
}

// trailerBody is the body of a response whose trailer is checked.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return n, fmt.Errorf("%w: field %.40q in its trailer", ErrMalformed, name)
		}
	}
	return n, err
}
