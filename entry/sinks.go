package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

const streamEndMarker = "[DONE]"

// completion is the response object of both completion interfaces, complete or
// as a chunk of a stream.
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

// responseWriter writes the HTTP response to one request.
type responseWriter struct {
	http               http.ResponseWriter
	responseController *http.ResponseController
	// callerContext holds the caller's connection.
	callerContext context.Context
	request       *hibiscuscart.Request
	timeout       time.Duration
	started       bool
}

func newResponseWriter(ctx context.Context, w http.ResponseWriter, req *hibiscuscart.Request, timeout time.Duration) *responseWriter {
	return &responseWriter{http: w, responseController: http.NewResponseController(w), callerContext: ctx, request: req, timeout: timeout}
}

// sink returns the Sink for the response format that the request selects.
func (w *responseWriter) sink() Sink {
	switch {
	case w.request.Kind == hibiscuscart.KindPassThrough:
		return Sink{WriteResponse: w.writeServiceResponse}
	case w.request.Stream:
		return Sink{WriteText: w.writeStreamText, WriteResponse: w.writeStreamEnd}
	}
	return Sink{WriteResponse: w.writeJSONResponse}
}

// extendDeadline gives the caller time to read the next part. A caller that
// does not read it is disconnected, so that it does not occupy a slot of a
// server.
func (w *responseWriter) extendDeadline() {
	_ = w.responseController.SetWriteDeadline(time.Now().Add(w.timeout))
}

func (w *responseWriter) writeHeader(contentType string, status int) {
	w.started = true
	h := w.http.Header()
	h.Set("Content-Type", contentType)
	h.Set(HeaderRequestID, w.request.ID)
	w.http.WriteHeader(status)
}

func (w *responseWriter) writeServiceResponse(r hibiscuscart.Response) error {
	w.extendDeadline()
	w.http.Header().Set(hibiscuscart.OutcomeHeader, hibiscuscart.OutcomeDone.String())
	if r.EndsByClose {
		httpx.BeginByClose(w.callerContext, w.http.Header())
	}
	w.writeHeader(r.ContentType, r.Status)
	if _, err := w.http.Write(r.Body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if !r.EndsByClose {
		return nil
	}
	if err := httpx.CompleteByClose(w.callerContext, w.http); err != nil {
		return fmt.Errorf("write end of response: %w", err)
	}
	return nil
}

func (w *responseWriter) writeJSONResponse(r hibiscuscart.Response) error {
	w.extendDeadline()
	w.http.Header().Set(hibiscuscart.OutcomeHeader, hibiscuscart.OutcomeDone.String())
	w.writeHeader("application/json", http.StatusOK)
	body := w.newCompletion(choice{Finish: &r.FinishReason})
	if w.request.Kind == hibiscuscart.KindChat {
		body.Choices[0].Message = &hibiscuscart.Message{Role: "assistant", Content: r.Text}
	} else {
		body.Choices[0].Text = &r.Text
	}
	body.Usage = &usage{CompletionTokens: r.Tokens, TotalTokens: r.Tokens}
	if err := json.NewEncoder(w.http).Encode(body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

func (w *responseWriter) newCompletion(c choice) completion {
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

func (w *responseWriter) writeStreamText(text string) error {
	c := choice{}
	if w.request.Kind == hibiscuscart.KindChat {
		c.Delta = &delta{Content: text}
		if !w.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return w.writeEvent(w.newCompletion(c))
}

func (w *responseWriter) writeStreamEnd(r hibiscuscart.Response) error {
	last := choice{Finish: &r.FinishReason}
	if w.request.Kind == hibiscuscart.KindChat {
		last.Delta = &delta{}
	} else {
		empty := ""
		last.Text = &empty
	}
	if err := w.writeEvent(w.newCompletion(last)); err != nil {
		return err
	}
	return w.writeEventData(streamEndMarker)
}

func (w *responseWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return w.writeEventData(string(data))
}

func (w *responseWriter) writeEventData(data string) error {
	w.extendDeadline()
	if !w.started {
		w.writeHeader("text/event-stream", http.StatusOK)
	}
	if _, err := fmt.Fprintf(w.http, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.responseController.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// writeFailure reports a failure to the caller, as the response or as the last
// event of a started stream. Such a stream has no end marker.
func (w *responseWriter) writeFailure(f *hibiscuscart.Failure) {
	w.extendDeadline()
	if !w.started {
		writeFailure(w.http, f, w.request.ID)
		return
	}
	if w.request.Stream {
		_ = w.writeEvent(newProblem(f, w.request.ID))
	}
}
