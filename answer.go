package hibiscuscart

// Answer is a complete response: generated text, or the response of a plain
// HTTP service.
type Answer struct {
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	// Status, ContentType and Body are set for the response of a plain service.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
