package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Headers of the engine's protocol.
const (
	headerAttemptID     = "Attempt-Id"
	headerFencingNumber = "Fencing-Number"
	headerLastEventID   = "Last-Event-ID"
)

// Handler returns the handler of the engine's protocol and its control path.
func (e *Engine) Handler() http.Handler {
	e.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{attempt}", e.resumeStream)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", e.cancelStream)
	mux.HandleFunc("POST /v1/streams/{attempt}/export", e.exportStream)
	mux.HandleFunc("POST /v1/streams/import", e.importStream)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Report()) })
	mux.HandleFunc("GET /events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("PUT /fence", e.raiseFencingToken)
	mux.HandleFunc("PUT /control/faults", e.controlFaults)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Counts()) })
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeRuns(w, e.Runs) })
	return e.hangMiddleware(e.restMiddleware(mux))
}

func (e *Engine) restMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.restGate.refuse(w, r, e.Faults().RetryAfter) {
			writeEngineError(w, errOverloaded)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeRuns(w http.ResponseWriter, r *RunCounter) {
	if r == nil {
		r = &RunCounter{}
	}
	writeJSON(w, http.StatusOK, r.Counts())
}

// hangMiddleware sends no response, except on the control path, while the Hang
// fault is set.
func (e *Engine) hangMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults().Hang && !strings.HasPrefix(r.URL.Path, "/control/") {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// completionRequest is the request body of both completion paths.
type completionRequest struct {
	Model     string                 `json:"model"`
	Adapter   string                 `json:"adapter"`
	Prompt    string                 `json:"prompt"`
	Messages  []hibiscuscart.Message `json:"messages"`
	MaxTokens int                    `json:"max_tokens"`
	Priority  int                    `json:"priority"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !readJSON(w, r, &body) {
		return
	}
	request := generateRequest{
		Attempt: r.Header.Get(headerAttemptID), Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Priority: body.Priority, messages: body.Messages,
	}
	if len(body.Messages) > 0 {
		request.Chat = true
		request.Prompt = ChatPrompt(body.Messages)
	}
	s, err := e.startRun(request)
	if err != nil {
		writeEngineError(w, err)
		return
	}
	e.sendEvents(w, r, s, 0)
}

func writeEngineError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errNotLoaded), errors.Is(err, errNoStream):
		status = http.StatusNotFound
	case errors.Is(err, errDuplicate):
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": err.Error(), "type": "engine_error", "code": err.Error()}})
}

// chunk is the data of one event of a stream.
type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

// sendEvents writes the events after a sequence number to the connection.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, sequence int) {
	s.addReaders(1)
	defer s.addReaders(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		produced, done, canceled, changed := s.progress()
		for sequence < produced {
			sequence++
			if e.shouldDisconnect(s.request.Attempt, sequence) {
				e.counts.disconnects.Add(1)
				panic(http.ErrAbortHandler)
			}
			e.sendToken(w, s, sequence)
		}
		if done {
			if e.shouldDisconnect(s.request.Attempt, sequence+1) {
				e.counts.disconnects.Add(1)
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", sequence+1)
			return
		}
		_ = controller.Flush()
		if canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (e *Engine) shouldDisconnect(attempt string, sequence int) bool {
	if e.DisconnectBefore != nil {
		return e.DisconnectBefore(attempt, sequence)
	}
	return e.shouldInject(e.Faults().DisconnectShare)
}

func (e *Engine) sendToken(w http.ResponseWriter, s *stream, sequence int) {
	faults := e.Faults()
	if e.shouldInject(faults.ForeignFrameShare) {
		writeChunk(w, sequence, chunk{ID: "crossed-" + s.request.Attempt, Choices: []chunkChoice{{Text: "crossed "}}})
	}
	c := chunk{ID: s.request.Attempt, Choices: []chunkChoice{{Text: s.tokens[sequence-1]}}}
	if sequence == len(s.tokens) {
		c.Choices[0].Finish = "stop"
	}
	writeChunk(w, sequence, c)
	if e.shouldInject(faults.DuplicateShare) {
		writeChunk(w, sequence, c)
	}
}

func writeChunk(w http.ResponseWriter, sequence int, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sequence, data)
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.Header.Get(headerLastEventID))
	if err != nil || from < 0 {
		writeProblem(w, http.StatusBadRequest, "Last-Event-ID is not a number")
		return
	}
	s, err := e.findStream(r.PathValue("attempt"))
	if err != nil {
		writeEngineError(w, err)
		return
	}
	e.sendEvents(w, r, s, from)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	if err := e.Cancel(r.PathValue("attempt")); err != nil {
		writeEngineError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) exportStream(w http.ResponseWriter, r *http.Request) {
	state, err := e.exportKV(r.PathValue("attempt"))
	if err != nil {
		writeEngineError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) importStream(w http.ResponseWriter, r *http.Request) {
	var state kvState
	if !readJSON(w, r, &state) {
		return
	}
	if err := e.importKV(state); err != nil {
		writeEngineError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.Header.Get(headerLastEventID))
	if err != nil {
		from = 0
	}
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(from))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if !readJSON(w, r, &order) {
		return
	}
	fencingToken, err := strconv.Atoi(r.Header.Get(headerFencingNumber))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "Fencing-Number is not a number")
		return
	}
	if e.injectOrderFault(order, fencingToken) {
		closeConnection(w)
		return
	}
	if err := e.Apply(order, fencingToken); err != nil {
		writeProblem(w, http.StatusPreconditionFailed, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) raiseFencingToken(w http.ResponseWriter, r *http.Request) {
	fencingToken, err := strconv.Atoi(r.Header.Get(headerFencingNumber))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "Fencing-Number is not a number")
		return
	}
	if err := e.RaiseFencingToken(fencingToken); err != nil {
		writeProblem(w, http.StatusPreconditionFailed, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
