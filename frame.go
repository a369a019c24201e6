package hibiscuscart

// Frame is one part of a response that is streamed from a backend server to the
// caller.
type Frame struct {
	// Attempt identifies the attempt that produced the frame.
	Attempt string
	// Sequence numbers the frames of an attempt, starting at 1.
	Sequence int
	// Text is the generated text.
	Text string
	// FinishReason is the reason why generation stopped; set on the last text frame.
	FinishReason string
	// End marks the last frame of a complete response.
	End bool
}
