package httpx

import "net/http"

// Framing is how a response marks the end of its body (RFC 9112, section 6.3).
type Framing int

// Values of Framing.
const (
	// FramingUnknown is the zero value: there is no response.
	FramingUnknown Framing = iota
	// FramedByLength means that the length is known in advance; a response without a body has length 0.
	FramedByLength
	// FramedByChunks means that the last chunk marks the end.
	FramedByChunks
	// FramedByClose means that the body ends when the connection is closed. A sender that stops early and
	// closes its connection leaves the same bytes as one that has sent everything.
	FramedByClose
)

// FramingOf returns the framing of a response that net/http has parsed.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength < 0 && resp.Body != http.NoBody:
		return FramedByClose
	}
	return FramedByLength
}

// String returns the name of the framing in logs.
func (f Framing) String() string {
	return [...]string{"", "length", "chunked", "close"}[f]
}
