package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
)

const endMarker = "[DONE]"

// completion is the answer object of both completion interfaces, whole or as
// a chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int                   `json:"index"`
	Text    *string               `json:"text,omitempty"`
	Message *hibiscuscart.Message `json:"message,omitempty"`
	Delta   *delta                `json:"delta,omitempty"`
	Finish  *string               `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// writer answers one request over HTTP.
type writer struct {
	http    http.ResponseWriter
	flush   *http.ResponseController
	request *hibiscuscart.Request
	timeout time.Duration
	started bool
}

func newWriter(w http.ResponseWriter, req *hibiscuscart.Request, timeout time.Duration) *writer {
	return &writer{http: w, flush: http.NewResponseController(w), request: req, timeout: timeout}
}

// sink returns the Sink for the form of answer that the request asks for.
func (w *writer) sink() Sink {
	switch {
	case w.request.Kind == hibiscuscart.KindPassThrough:
		return Sink{Whole: w.passWhole}
	case w.request.Stream:
		return Sink{Text: w.streamText, Whole: w.streamWhole}
	}
	return Sink{Whole: w.jsonWhole}
}

// extendDeadline gives the caller time to take in the next piece. A caller
// that does not is cut off, so that it does not hold a server's slot.
func (w *writer) extendDeadline() {
	_ = w.flush.SetWriteDeadline(time.Now().Add(w.timeout))
}

func (w *writer) begin(contentType string, status int) {
	w.started = true
	h := w.http.Header()
	h.Set("Content-Type", contentType)
	h.Set(HeaderRequest, w.request.ID)
	w.http.WriteHeader(status)
}

func (w *writer) passWhole(a hibiscuscart.Answer) error {
	w.extendDeadline()
	w.http.Header().Set(hibiscuscart.OutcomeHeader, hibiscuscart.OutcomeDone.String())
	w.begin(a.ContentType, a.Status)
	if _, err := w.http.Write(a.Body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

func (w *writer) jsonWhole(a hibiscuscart.Answer) error {
	w.extendDeadline()
	w.http.Header().Set(hibiscuscart.OutcomeHeader, hibiscuscart.OutcomeDone.String())
	w.begin("application/json", http.StatusOK)
	body := w.object(choice{Finish: &a.FinishReason})
	if w.request.Kind == hibiscuscart.KindChat {
		body.Choices[0].Message = &hibiscuscart.Message{Role: "assistant", Content: a.Text}
	} else {
		body.Choices[0].Text = &a.Text
	}
	body.Usage = &usage{CompletionTokens: a.Tokens, TotalTokens: a.Tokens}
	if err := json.NewEncoder(w.http).Encode(body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

func (w *writer) object(c choice) completion {
	object := "text_completion"
	if w.request.Kind == hibiscuscart.KindChat {
		object = "chat.completion"
		if w.request.Stream {
			object = "chat.completion.chunk"
		}
	}
	return completion{
		ID: w.request.ID, Object: object, Created: w.request.ArrivedAt.Unix(),
		Model: w.request.Profile + "/" + w.request.Model, Choices: []choice{c},
	}
}

func (w *writer) streamText(text string) error {
	c := choice{}
	if w.request.Kind == hibiscuscart.KindChat {
		c.Delta = &delta{Content: text}
		if !w.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return w.event(w.object(c))
}

func (w *writer) streamWhole(a hibiscuscart.Answer) error {
	last := choice{Finish: &a.FinishReason}
	if w.request.Kind == hibiscuscart.KindChat {
		last.Delta = &delta{}
	} else {
		empty := ""
		last.Text = &empty
	}
	if err := w.event(w.object(last)); err != nil {
		return err
	}
	return w.raw(endMarker)
}

func (w *writer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return w.raw(string(data))
}

func (w *writer) raw(data string) error {
	w.extendDeadline()
	if !w.started {
		w.begin("text/event-stream", http.StatusOK)
	}
	if _, err := fmt.Fprintf(w.http, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.flush.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// fail tells the caller of a failure: as the answer, or as the last event of a
// stream that has begun. Such a stream has no end marker.
func (w *writer) fail(f *hibiscuscart.Failure) {
	w.extendDeadline()
	if !w.started {
		writeFailure(w.http, f, w.request.ID)
		return
	}
	if w.request.Stream {
		_ = w.event(newProblem(f, w.request.ID))
	}
}
