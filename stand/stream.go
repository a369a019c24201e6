package stand

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

// Errors of calls that an engine rejects. The texts are the error codes of the
// engine's protocol.
var (
	errNotLoaded  = errors.New("model_not_loaded")
	errDraining   = errors.New("draining")
	errOverloaded = errors.New("overloaded")
	errDuplicate  = errors.New("duplicate_attempt")
	errNoStream   = errors.New("no_such_stream")
)

// generateRequest is a request to generate text.
type generateRequest struct {
	Attempt   string                 `json:"attempt"`
	Model     string                 `json:"model"`
	Adapter   string                 `json:"adapter"`
	Prompt    string                 `json:"prompt"`
	MaxTokens int                    `json:"max_tokens"`
	Priority  int                    `json:"priority"`
	Chat      bool                   `json:"chat"`
	messages  []hibiscuscart.Message // not exported with the KV cache
}

// ChatPrompt returns the prompt for the messages of a chat.
func ChatPrompt(messages []hibiscuscart.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// stream is one run of a generation request.
type stream struct {
	request generateRequest
	tokens  []string
	cancel  context.CancelFunc

	mu               sync.Mutex
	produced         int
	done             bool
	canceled         bool
	readers          int
	lastReaderChange time.Time
	changed          chan struct{}
}

func (s *stream) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.done && !s.canceled
}

// progress returns the number of generated tokens, whether the stream is complete
// or canceled, and a channel that is closed at the next change.
func (s *stream) progress() (produced int, done, canceled bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.produced, s.done, s.canceled, s.changed
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) addReaders(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += delta
	s.lastReaderChange = time.Now()
}

// abandoned reports whether the stream has had no reader for longer than window.
func (s *stream) abandoned(now time.Time, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.lastReaderChange) > window
}

// startRun starts a run, or returns an error if the engine rejects it.
func (e *Engine) startRun(request generateRequest) (*stream, error) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Draining {
		return nil, errDraining
	}
	if e.streams[request.Attempt] != nil {
		return nil, errDuplicate
	}
	residents, err := e.requiredResidentsLocked(request)
	if err != nil {
		return nil, err
	}
	if e.QueueLimit > 0 && e.slots.queueLength() >= e.QueueLimit {
		return nil, errOverloaded
	}
	return e.startRunLocked(request, residents, 0), nil
}

// requiredResidentsLocked returns the model and the adapter that a run uses.
func (e *Engine) requiredResidentsLocked(request generateRequest) ([]residentKey, error) {
	key, base := e.newestLoadedLocked(request.Model, "")
	if base == nil {
		return nil, errNotLoaded
	}
	required := []residentKey{key}
	if request.Adapter == "" {
		return required, nil
	}
	key, adapter := e.newestLoadedLocked(request.Model, request.Adapter)
	if adapter == nil {
		return nil, errNotLoaded
	}
	return append(required, key), nil
}

func (e *Engine) startRunLocked(request generateRequest, residents []residentKey, produced int) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{
		request: request, cancel: cancel, produced: produced, lastReaderChange: time.Now(), changed: make(chan struct{}),
		tokens: CompletionTokens(request.Model, request.Adapter, request.Prompt, request.MaxTokens),
	}
	e.streams[request.Attempt] = s
	for _, k := range residents {
		e.residents[k].activeRuns++
	}
	e.counts.started.Add(1)
	e.lastRunStart = time.Now()
	if e.Runs != nil && produced == 0 {
		e.Runs.Add(markedRequestID(request.Prompt))
	}
	go e.generate(ctx, s, residents)
	return s
}

func (e *Engine) generate(ctx context.Context, s *stream, residents []residentKey) {
	defer e.releaseRun(s, residents)
	if err := e.slots.acquire(ctx, s.request.Priority); err != nil {
		s.update(func() { s.canceled = true })
		return
	}
	defer e.slots.release()
	wait := e.FirstTokenDelay
	if e.cache.add(prefixHash(s.request)) {
		wait /= 2
	}
	for {
		if !pause.For(ctx, wait) || s.abandoned(time.Now(), e.ResumeWindow) {
			e.counts.canceled.Add(1)
			s.update(func() { s.canceled = true })
			return
		}
		e.counts.tokens.Add(1)
		finished := false
		s.update(func() {
			s.produced++
			s.done = s.produced >= len(s.tokens)
			finished = s.done
		})
		if finished {
			e.counts.finished.Add(1)
			return
		}
		wait = e.TokenInterval
	}
}

func prefixHash(request generateRequest) uint64 {
	r := hibiscuscart.Request{Model: request.Model, Prompt: request.Prompt, Messages: request.messages}
	return r.PrefixHash()
}

// releaseRun releases the model and adapter of a run, and discards its stream
// after the resume window.
func (e *Engine) releaseRun(s *stream, residents []residentKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range residents {
		r := e.residents[k]
		if r == nil {
			continue
		}
		r.activeRuns--
		e.unloadIfUnusedLocked(k, r)
	}
	time.AfterFunc(e.ResumeWindow, func() { e.removeStream(s) })
}

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, s.request.Attempt)
}

func (e *Engine) findStream(attempt string) (*stream, error) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[attempt]
	if s == nil {
		return nil, errNoStream
	}
	return s, nil
}

// Cancel stops a run.
func (e *Engine) Cancel(attempt string) error {
	s, err := e.findStream(attempt)
	if err != nil {
		return err
	}
	s.cancel()
	return nil
}

// kvState is an exported KV cache: the request and the number of tokens generated.
type kvState struct {
	Generation generateRequest `json:"generation"`
	Produced   int             `json:"produced"`
	Bytes      int             `json:"bytes"`
}

const kvBytesPerToken = 128 << 10

// exportKV stops a run and returns its KV cache.
func (e *Engine) exportKV(attempt string) (kvState, error) {
	s, err := e.findStream(attempt)
	if err != nil {
		return kvState{}, err
	}
	s.cancel()
	produced, _, _, _ := s.progress()
	tokens := produced + len(s.request.Prompt)/4
	return kvState{Generation: s.request, Produced: produced, Bytes: tokens * kvBytesPerToken}, nil
}

// importKV continues a run that another engine exported. It is the same
// execution, so it is not counted again.
func (e *Engine) importKV(state kvState) error {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[state.Generation.Attempt] != nil {
		return errDuplicate
	}
	residents, err := e.requiredResidentsLocked(state.Generation)
	if err != nil {
		return err
	}
	e.startRunLocked(state.Generation, residents, state.Produced)
	return nil
}
