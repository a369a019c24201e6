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
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// End is the result of a request as the caller observed it.
type End int

const (
	// EndWhole means that the response was complete and correct.
	EndWhole End = iota
	// EndWrong means that the response was not the expected one.
	EndWrong
	// EndLost means that a response started but was incomplete or malformed, and
	// no failure was reported.
	EndLost
	// EndFailed means that a failure with an outcome was reported.
	EndFailed
	// EndBroken means that the connection broke before a response.
	EndBroken
	// EndNotReached means that no VM was reachable.
	EndNotReached
)

// Result is the result of one request.
type Result struct {
	Arrival Arrival
	// Target is the address of the VM the request was sent to.
	Target string
	End    End
	Status int
	// Outcome and Code are those of a reported failure.
	Outcome hibiscuscart.Outcome
	Code    string
	Detail  string
	Began   time.Time
	Took    time.Duration
	// FirstToken is the time to the first token of a stream, Gaps are the times
	// between its tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	Tokens     int
}

// newRequest builds the HTTP request of an arrival.
func newRequest(ctx context.Context, class Class, a Arrival, target string) (*http.Request, error) {
	path, body := "/v1/chat/completions", ""
	switch class.Kind {
	case KindStream:
		body = jsonBody(map[string]any{
			"model": modelName(class, a), "stream": true, "max_tokens": a.Tokens,
			"messages": []hibiscuscart.Message{{Role: "user", Content: a.Prompt}},
		})
	case KindWhole:
		path = "/v1/completions"
		body = jsonBody(map[string]any{"model": modelName(class, a), "max_tokens": a.Tokens, "prompt": a.Prompt})
	case KindService:
		path = "/services/" + class.Profile.Name + "/entries"
		body = jsonBody(map[string]any{"entry": a.Prompt})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if class.Caller != "" {
		req.Header.Set("Authorization", "Bearer "+class.Caller)
	}
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
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

// Answer returns the tokens that the fake engine generates for an arrival.
func Answer(class Class, a Arrival) []string {
	prompt := a.Prompt
	if class.Kind == KindStream {
		prompt = stand.ChatPrompt([]hibiscuscart.Message{{Role: "user", Content: a.Prompt}})
	}
	return stand.Answer(a.Model, a.Adapter, prompt, a.Tokens)
}

func expectedText(class Class, a Arrival) string { return strings.Join(Answer(class, a), "") }

func readResponse(resp *http.Response, class Class, res *Result) {
	if isErrorStatus(resp) {
		readProblem(resp, res)
		return
	}
	switch class.Kind {
	case KindStream:
		readStream(resp, class, res)
	case KindWhole:
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
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		res.End, res.Detail = EndLost, "error response without a problem document"
		return
	}
	res.setProblem(body)
}

func (r *Result) setProblem(body problemBody) {
	outcome, err := hibiscuscart.ParseOutcome(body.Outcome)
	if err != nil {
		r.End, r.Detail = EndLost, err.Error()
		return
	}
	r.End, r.Outcome, r.Code, r.Detail = EndFailed, outcome, body.Title, body.Detail
}

func (r *Result) compare(got, want string) {
	r.End = EndWhole
	if got != want {
		r.End, r.Detail = EndWrong, fmt.Sprintf("got %.60q, want %.60q", got, want)
	}
}

func readCompletion(resp *http.Response, class Class, res *Result) {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || len(body.Choices) != 1 {
		res.End, res.Detail = EndLost, fmt.Sprintf("incomplete response: %v", err)
		return
	}
	res.compare(body.Choices[0].Text, expectedText(class, res.Arrival))
}

func readService(resp *http.Response, res *Result) {
	var body stand.ServiceAnswer
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		res.End, res.Detail = EndLost, fmt.Sprintf("incomplete response: %v", err)
		return
	}
	sent := jsonBody(map[string]any{"entry": res.Arrival.Prompt})
	res.compare(body.Digest, stand.DigestOf([]byte(sent)))
}

func readStream(resp *http.Response, class Class, res *Result) {
	var text strings.Builder
	previousToken := res.Began
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
			res.FirstToken = now.Sub(res.Began)
		} else {
			res.Gaps = append(res.Gaps, now.Sub(previousToken))
		}
		previousToken = now
		res.Tokens++
		text.WriteString(fragment)
	}
	res.End, res.Detail = EndLost, fmt.Sprintf("stream ended without the end event: %v", lines.Err())
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
