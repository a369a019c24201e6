package hibiscuscart

// Response is the complete response to a request: generated text, or what a
// plain HTTP service returned.
type Response struct {
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	// Status, ContentType and Body are set for the response of a plain service.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
