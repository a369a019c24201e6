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
	// EndsByClose is set if the service ended its response with the connection, without a length. Body
	// may then be cut short, and is passed on without a length.
	EndsByClose bool `json:"ends_by_close,omitempty"`
}
