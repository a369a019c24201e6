package stand

import "sync"

// BackendFaults are the faults that can be injected into a Backend. Each field
// is a number of requests, streams or orders.
type BackendFaults struct {
	// ErrorResponses is how many requests get an error response after execution.
	ErrorResponses int
	// LostResponses is how many requests have their connection closed after execution.
	LostResponses int
	// BrokenStreams is how many streams break in the middle of an event.
	BrokenStreams int
	// DuplicateResponses is how many requests get two responses.
	DuplicateResponses int
	// Rejections is how many requests are rejected without execution.
	Rejections int
	// LostOrderResponses is how many orders are executed without a response.
	LostOrderResponses int
	// ForgedResponses is how many requests get a response without the proof that it comes
	// from this server.
	ForgedResponses int
	// ByCloseResponses is how many requests get a response without a length or chunks, so that it ends with
	// its connection. CutShortResponses is how many get half of such a response: a stream is closed inside
	// an event, and another response is reset.
	ByCloseResponses, CutShortResponses int
	// EndlessResponses is how many requests get a response without an end, in turn each of those that the service can
	// send.
	EndlessResponses int
	// BrokenHeads is how many requests get a response with a head that is none, in turn each of BrokenStatusLines and
	// BrokenFields.
	BrokenHeads int
}

// PendingFaults holds faults that are still to be injected. Several backends may share
// it; each fault is injected into one of them. A nil value injects no faults.
type PendingFaults struct {
	mu        sync.Mutex
	remaining BackendFaults
}

// NewPendingFaults returns PendingFaults with the faults f.
func NewPendingFaults(f BackendFaults) *PendingFaults { return &PendingFaults{remaining: f} }

func (s *PendingFaults) consume(counter func(*BackendFaults) *int) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.remaining)
	if *n == 0 {
		return false
	}
	*n--
	return true
}
