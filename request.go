package hibiscuscart

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestKind is the API through which a request arrived.
type RequestKind int

const (
	// KindCompletion is a text completion.
	KindCompletion RequestKind = iota
	// KindChat is a chat completion.
	KindChat
	// KindPassThrough is a call that is passed through to a plain HTTP service.
	KindPassThrough
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a parsed request of a caller. It is immutable; the processing
// stages keep their state elsewhere.
type Request struct {
	ID       string
	Kind     RequestKind
	Caller   string
	Profile  string
	Model    string
	Adapter  string
	Prompt   string
	Messages []Message
	// MaxTokens is the maximum number of tokens to generate; 0 selects the
	// profile's maximum.
	MaxTokens int
	Stream    bool
	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Method, Path, ContentType and Body are those of a call to a plain service.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	ArrivedAt   time.Time
}

// BodyHash returns a digest of the content of the request. Requests with the
// same idempotency key must have the same digest.
func (r *Request) BodyHash() string {
	d := xxhash.New()
	for _, part := range []string{r.Profile, r.Model, r.Adapter, r.Method, r.Path, r.Prompt, strconv.Itoa(r.MaxTokens)} {
		writePart(d, part)
	}
	for _, m := range r.Messages {
		writePart(d, m.Role)
		writePart(d, m.Content)
	}
	writePart(d, string(r.Body))
	return hex.EncodeToString(d.Sum(nil))
}

// writePart writes s and a separator, so that moving text from one part to the
// next changes the digest.
func writePart(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.Write([]byte{0})
}

// PrefixHash returns a digest of the start of the prompt. It identifies servers
// that have the prefix in their cache.
func (r *Request) PrefixHash() uint64 {
	const prefixBytes = 256
	text := r.Prompt
	if len(r.Messages) > 0 {
		text = r.Messages[0].Content
	}
	if len(text) > prefixBytes {
		text = text[:prefixBytes]
	}
	return xxhash.Sum64String(r.Model + "\x00" + text)
}
