package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Verdict is the result of a request as the caller observed it.
type Verdict int

const (
	// VerdictCorrect means that the response was complete and correct.
	VerdictCorrect Verdict = iota
	// VerdictWrong means that the response was not the expected one.
	VerdictWrong
	// VerdictIncomplete means that a response started but was incomplete or malformed, and
	// no failure was reported.
	VerdictIncomplete
	// VerdictFailed means that a failure with an outcome was reported.
	VerdictFailed
	// VerdictDisconnected means that the connection broke before a response.
	VerdictDisconnected
	// VerdictUnreachable means that no VM was reachable.
	VerdictUnreachable
)

// Result is the result of one request.
type Result struct {
	Arrival Arrival
	// Target is the address of the VM the request was sent to.
	Target  string
	Verdict Verdict
	Status  int
	// Outcome and Code are those of a reported failure.
	Outcome   hibiscuscart.Outcome
	Code      string
	Detail    string
	StartedAt time.Time
	Duration  time.Duration
	// TimeToFirstToken is the time from the start to the first token of a stream,
	// TokenIntervals are the times between its tokens.
	TimeToFirstToken time.Duration
	TokenIntervals   []time.Duration
	Tokens           int
}

// newRequest builds the HTTP request of an arrival.
func newRequest(ctx context.Context, class Class, a Arrival, target string) (*http.Request, error) {
	path, body := "/v1/chat/completions", ""
	switch class.Kind {
	case KindStream:
		body = jsonBody(map[string]any{
			"model": modelName(class, a), "stream": true, "max_tokens": a.MaxTokens,
			"messages": []hibiscuscart.Message{{Role: "user", Content: a.Prompt}},
		})
	case KindCompletion:
		path = "/v1/completions"
		body = jsonBody(map[string]any{"model": modelName(class, a), "max_tokens": a.MaxTokens, "prompt": a.Prompt})
	case KindService:
		path = "/services/" + class.Profile.Name + "/entries"
		body = jsonBody(map[string]any{"entry": a.Prompt})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if class.CallerKey != "" {
		req.Header.Set("Authorization", "Bearer "+class.CallerKey)
	}
	if a.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", a.IdempotencyKey)
	}
	return req, nil
}

func jsonBody(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}

func modelName(class Class, a Arrival) string {
	name := class.Profile.Name + "/" + a.Model
	if a.Adapter != "" {
		name += ":" + a.Adapter
	}
	return name
}

// ExpectedTokens returns the tokens that the engine stand-in generates for an arrival.
func ExpectedTokens(class Class, a Arrival) []string {
	prompt := a.Prompt
	if class.Kind == KindStream {
		prompt = stand.ChatPrompt([]hibiscuscart.Message{{Role: "user", Content: a.Prompt}})
	}
	return stand.CompletionTokens(a.Model, a.Adapter, prompt, a.MaxTokens)
}

func expectedText(class Class, a Arrival) string { return strings.Join(ExpectedTokens(class, a), "") }

// maxResponseBytes bounds a response of a VM.
const maxResponseBytes = 16 << 20

func readResponse(resp *http.Response, class Class, res *Result) {
	if isErrorStatus(resp) {
		readProblem(resp, res)
		return
	}
	switch class.Kind {
	case KindStream:
		readStream(resp, class, res)
	case KindCompletion:
		readCompletion(resp, class, res)
	case KindService:
		readService(resp, res)
	}
}

type problemBody struct {
	Outcome string `json:"outcome"`
	Title   string `json:"title"`
	Detail  string `json:"detail"`
}

func readProblem(resp *http.Response, res *Result) {
	var body problemBody
	if err := conns.DecodeJSON(resp.Body, maxResponseBytes, &body); err != nil {
		res.Verdict, res.Detail = VerdictIncomplete, "error response without a problem document"
		return
	}
	res.setProblem(body)
}

func (r *Result) setProblem(body problemBody) {
	outcome, err := hibiscuscart.ParseOutcome(body.Outcome)
	if err != nil {
		r.Verdict, r.Detail = VerdictIncomplete, err.Error()
		return
	}
	r.Verdict, r.Outcome, r.Code, r.Detail = VerdictFailed, outcome, body.Title, body.Detail
}

func (r *Result) compare(got, want string) {
	r.Verdict = VerdictCorrect
	if got != want {
		r.Verdict, r.Detail = VerdictWrong, fmt.Sprintf("got %.60q, want %.60q", got, want)
	}
}

func readCompletion(resp *http.Response, class Class, res *Result) {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := conns.DecodeJSON(resp.Body, maxResponseBytes, &body); err != nil || len(body.Choices) != 1 {
		res.Verdict, res.Detail = VerdictIncomplete, fmt.Sprintf("incomplete response: %v", err)
		return
	}
	res.compare(body.Choices[0].Text, expectedText(class, res.Arrival))
}

func readService(resp *http.Response, res *Result) {
	var body stand.ServiceResponse
	if err := conns.DecodeJSON(resp.Body, maxResponseBytes, &body); err != nil {
		res.Verdict, res.Detail = VerdictIncomplete, fmt.Sprintf("incomplete response: %v", err)
		return
	}
	sent := jsonBody(map[string]any{"entry": res.Arrival.Prompt})
	res.compare(body.Digest, stand.BodyDigest([]byte(sent)))
}

func readStream(resp *http.Response, class Class, res *Result) {
	var text strings.Builder
	previousToken := res.StartedAt
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4<<10), 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			res.compare(text.String(), expectedText(class, res.Arrival))
			return
		}
		fragment, problem := readEvent(data)
		if problem != nil {
			res.setProblem(*problem)
			return
		}
		if fragment == "" {
			continue
		}
		now := clock.Now()
		if res.Tokens == 0 {
			res.TimeToFirstToken = now.Sub(res.StartedAt)
		} else {
			res.TokenIntervals = append(res.TokenIntervals, now.Sub(previousToken))
		}
		previousToken = now
		res.Tokens++
		text.WriteString(fragment)
	}
	res.Verdict, res.Detail = VerdictIncomplete, fmt.Sprintf("stream ended without the end event: %v", lines.Err())
}

func readEvent(data []byte) (string, *problemBody) {
	var body struct {
		problemBody
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return "", &problemBody{Outcome: "malformed event"}
	}
	if body.Outcome != "" {
		return "", &body.problemBody
	}
	if len(body.Choices) == 0 {
		return "", nil
	}
	return body.Choices[0].Delta.Content, nil
}
