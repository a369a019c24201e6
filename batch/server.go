// Package batch simulates a backend server with continuous batching: each step generates a token
// for every running request and prefills a chunk of the waiting prompts. It replaces model servers
// in the replay of a load pattern: time is an argument, no call blocks, and the same requests give
// the same results.
package batch

import (
	"cmp"
	"slices"
	"time"
)

// Spec is the capacity and speed of a server. A limit of zero means no limit.
type Spec struct {
	// Slots limits the requests in the batch, MaxWaiting the waiting requests.
	Slots, MaxWaiting int
	// StepTime is the time of one step, and StepTimePerRequest the additional time for each running
	// request.
	StepTime, StepTimePerRequest time.Duration
	// PrefillTokensPerMs is how many prompt tokens are prefilled per millisecond,
	// PrefillChunkTokens the maximum number in one step.
	PrefillTokensPerMs float64
	PrefillChunkTokens int
	// TokensPerEvent is the number of tokens in an event, KVCacheTokens the token capacity of the
	// KV cache for all requests.
	TokensPerEvent, KVCacheTokens int
}

// Request is one request. The request with the lowest Priority value goes first and preempts
// others.
type Request struct {
	PromptTokens, OutputTokens, Priority int
	// TimeFactor is the time of the request's model relative to that of the largest model; 0 counts
	// as 1.
	TimeFactor float64

	// prefillRemaining is the number of tokens still to prefill, generated the number of output
	// tokens so far.
	prefillRemaining, generated int
	arrived                     time.Time
	firstEventAt, lastEventAt   time.Time
	maxEventGap                 time.Duration
	preemptions                 int
}

// FirstEventAt returns the time of the first event, or the zero time if there is none yet.
func (r *Request) FirstEventAt() time.Time { return r.firstEventAt }

// MaxEventGap returns the longest time between two events.
func (r *Request) MaxEventGap() time.Duration { return r.maxEventGap }

// Preemptions returns how often the request was preempted.
func (r *Request) Preemptions() int { return r.preemptions }

func (r *Request) cachedTokens() int { return r.PromptTokens + r.generated }

func (r *Request) timeFactor() float64 { return cmp.Or(r.TimeFactor, 1) }

// Event is the result of a step for one request.
type Event struct {
	Request *Request
	// First is set for the first event of the request, Done for the last one.
	First, Done bool
}

// Server is a simulated server. Spec must be set.
type Server struct {
	Spec Spec

	waiting, running []*Request
	// stepEnd is when the current step ends, or the zero time if the server is idle.
	stepEnd time.Time
	// refusals counts the requests refused at capacity, preemptions the preempted requests.
	refusals, preemptions int
}

// Submit adds a request. It returns false if the server is at capacity.
func (s *Server) Submit(now time.Time, r *Request) bool {
	if s.Spec.MaxWaiting > 0 && len(s.waiting) >= s.Spec.MaxWaiting || s.Spec.KVCacheTokens > 0 && r.PromptTokens+r.OutputTokens > s.Spec.KVCacheTokens {
		s.refusals++
		return false
	}
	r.arrived, r.prefillRemaining = now, r.PromptTokens
	s.waiting = append(s.waiting, r)
	if s.stepEnd.IsZero() {
		s.startStep(now)
	}
	return true
}

// Cancel removes a request whose caller has disconnected.
func (s *Server) Cancel(r *Request) {
	canceled := func(x *Request) bool { return x == r }
	s.waiting = slices.DeleteFunc(s.waiting, canceled)
	s.running = slices.DeleteFunc(s.running, canceled)
}

// Running returns the number of running requests.
func (s *Server) Running() int { return len(s.running) }

// Waiting returns the number of requests that wait for a slot or for their prefill.
func (s *Server) Waiting() int { return len(s.waiting) }

// Refusals returns the total number of refused requests.
func (s *Server) Refusals() int { return s.refusals }

// Preemptions returns the total number of preemptions.
func (s *Server) Preemptions() int { return s.preemptions }

// StepEnd returns when the current step ends, or false if the server is idle.
func (s *Server) StepEnd() (time.Time, bool) { return s.stepEnd, !s.stepEnd.IsZero() }

// startStep starts the next step: it admits requests by priority, preempts others for them, and
// prefills chunks of their prompts.
func (s *Server) startStep(now time.Time) {
	s.stepEnd = time.Time{}
	s.admit()
	prefilling := s.prefilling()
	if len(prefilling) == 0 && len(s.running) == 0 {
		return
	}
	duration := s.Spec.StepTime + time.Duration(len(s.running))*s.Spec.StepTimePerRequest
	if factor := s.maxTimeFactor(); factor > 0 {
		duration = time.Duration(float64(duration) * factor)
	}
	chunkRemaining := cmp.Or(s.Spec.PrefillChunkTokens, 1<<30)
	for _, r := range prefilling {
		tokens := min(chunkRemaining, r.prefillRemaining)
		r.prefillRemaining -= tokens
		chunkRemaining -= tokens
		duration += time.Duration(float64(tokens) / s.Spec.PrefillTokensPerMs * r.timeFactor() * float64(time.Millisecond))
	}
	s.stepEnd = now.Add(duration)
}

// maxTimeFactor returns the time factor of the slowest model in the batch.
func (s *Server) maxTimeFactor() float64 {
	factor := 0.0
	for _, r := range s.running {
		factor = max(factor, r.timeFactor())
	}
	return factor
}

// admit sorts the waiting requests by priority, and preempts running requests of lower priority
// while a request of higher priority has no slot.
func (s *Server) admit() {
	slices.SortStableFunc(s.waiting, func(a, b *Request) int { return cmp.Compare(a.Priority, b.Priority) })
	if s.Spec.Slots == 0 {
		return
	}
	for i := 0; i < len(s.waiting) && i < s.Spec.Slots; i++ {
		if len(s.running)+i < s.Spec.Slots {
			continue
		}
		victim := s.victim(s.waiting[i].Priority + 1)
		if victim == nil {
			return
		}
		s.preempt(victim)
	}
}

// prefilling returns the waiting requests that have a slot.
func (s *Server) prefilling() []*Request {
	if s.Spec.Slots == 0 {
		return s.waiting
	}
	return s.waiting[:min(len(s.waiting), max(s.Spec.Slots-len(s.running), 0))]
}

// victim returns the latest arrival among the running requests with the highest Priority value, or
// nil if no value is minPriority or more.
func (s *Server) victim(minPriority int) *Request {
	var v *Request
	for _, r := range s.running {
		if r.Priority >= minPriority && (v == nil || r.Priority > v.Priority || r.Priority == v.Priority && !r.arrived.Before(v.arrived)) {
			v = r
		}
	}
	return v
}

// preempt moves a running request to the waiting ones. Its prompt and its output so far are
// prefilled again.
func (s *Server) preempt(r *Request) {
	s.running = slices.DeleteFunc(s.running, func(x *Request) bool { return x == r })
	r.prefillRemaining = r.cachedTokens()
	r.preemptions++
	s.preemptions++
	s.waiting = append(s.waiting, r)
}

// FinishStep finishes the current step, starts the next one and returns the resulting events.
func (s *Server) FinishStep() []Event {
	now := s.stepEnd
	var events []Event
	var prefilled []*Request
	for _, r := range s.waiting {
		if r.prefillRemaining == 0 {
			prefilled = append(prefilled, r)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(r *Request) bool { return r.prefillRemaining == 0 })
	unfinished := s.running[:0]
	for _, r := range append(s.running, prefilled...) {
		e := r.generateToken(now, cmp.Or(s.Spec.TokensPerEvent, 1))
		if e.First || e.Done {
			events = append(events, e)
		}
		if !e.Done {
			unfinished = append(unfinished, r)
		}
	}
	s.running = unfinished
	s.preemptForMemory()
	s.startStep(now)
	return events
}

// generateToken generates the next token of a request.
func (r *Request) generateToken(now time.Time, tokensPerEvent int) Event {
	r.generated++
	e := Event{Request: r, Done: r.generated >= r.OutputTokens}
	if r.generated%tokensPerEvent != 0 && !e.Done && r.generated != 1 {
		return e
	}
	if e.First = r.firstEventAt.IsZero(); e.First {
		r.firstEventAt = now
	} else {
		r.maxEventGap = max(r.maxEventGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	return e
}

// preemptForMemory preempts requests until the others fit into the KV cache.
func (s *Server) preemptForMemory() {
	for s.Spec.KVCacheTokens > 0 && len(s.running) > 1 {
		used := 0
		for _, r := range s.running {
			used += r.cachedTokens()
		}
		if used <= s.Spec.KVCacheTokens {
			return
		}
		s.preempt(s.victim(0))
	}
}
