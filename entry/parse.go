package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscart/hibiscuscart"
)

// Request and response headers of the caller interfaces.
const (
	// HeaderIdempotencyKey holds the idempotency key of a request that may run
	// only once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderProfile selects the profile when the model name does not include
	// it.
	HeaderProfile = "Hibiscuscart-Profile"
	// HeaderRequestID holds the request ID in responses.
	HeaderRequestID = "X-Request-Id"
)

const (
	maxIdempotencyKeyBytes = 255
	maxMessages            = 1024
)

// Limits bounds the size and the transfer time of requests and responses, and the memory and the descriptors of the
// process; 0 for those of the machine.
type Limits struct {
	MemoryMB      int
	Descriptors   int
	HeaderBytes   int
	BodyBytes     int64
	PromptBytes   int
	ResponseBytes int64
	ReadTimeout   time.Duration
	WriteTimeout  time.Duration
}

// completionBody is the JSON body of both completion interfaces. Unknown
// members are ignored, as client libraries send many.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func badInput(field, format string, args ...any) error {
	return hibiscuscart.Fail(hibiscuscart.CauseBadInput, format, args...).WithField(field)
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, hibiscuscart.Fail(hibiscuscart.CauseTooLarge, "the body is larger than %d bytes", limit).WithField("body")
	}
	if err != nil {
		return nil, hibiscuscart.Fail(hibiscuscart.CauseBadInput, "the body could not be read").WithField("body").WithError(err)
	}
	return body, nil
}

// parseCompletion parses a request of either completion interface.
func parseCompletion(body []byte, h http.Header, kind hibiscuscart.RequestKind, limits Limits) (*hibiscuscart.Request, error) {
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, jsonError(err)
	}
	req := &hibiscuscart.Request{ID: uuid.NewString(), Kind: kind, Stream: c.Stream}
	if err := parseModel(req, c.Model, h.Get(HeaderProfile)); err != nil {
		return nil, err
	}
	if err := parsePrompt(req, &c); err != nil {
		return nil, err
	}
	if err := parseOptions(req, &c); err != nil {
		return nil, err
	}
	if n := promptBytes(req); n > limits.PromptBytes {
		return nil, hibiscuscart.Fail(hibiscuscart.CauseTooLarge, "the prompt has %d bytes, more than %d", n, limits.PromptBytes).WithField("prompt")
	}
	if err := parseKey(req, h); err != nil {
		return nil, err
	}
	return req, nil
}

func jsonError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badInput(wrongType.Field, "a %s can not stand here", wrongType.Value)
	}
	return hibiscuscart.Fail(hibiscuscart.CauseBadInput, "the body is not JSON: %v", err).WithField("body")
}

// parseModel splits a model name, "PROFILE/MODEL:ADAPTER". The profile may be
// given in a header instead, and the adapter is optional.
func parseModel(req *hibiscuscart.Request, name, headerProfile string) error {
	if name == "" {
		return badInput("model", "a model must be named, as PROFILE/MODEL or PROFILE/MODEL:ADAPTER")
	}
	req.Profile = headerProfile
	if headerProfile == "" {
		profile, model, found := strings.Cut(name, "/")
		req.Profile = profile
		name = model
		if !found {
			name = ""
		}
	}
	req.Model, req.Adapter, _ = strings.Cut(name, ":")
	return nil
}

func parsePrompt(req *hibiscuscart.Request, c *completionBody) error {
	if req.Kind == hibiscuscart.KindChat {
		return parseMessages(req, c.Messages)
	}
	if len(c.Prompt) == 0 {
		return badInput("prompt", "a prompt must be given")
	}
	if json.Unmarshal(c.Prompt, &req.Prompt) == nil {
		return nil
	}
	var prompts []string
	if json.Unmarshal(c.Prompt, &prompts) != nil || len(prompts) != 1 {
		return badInput("prompt", "the prompt must be a string or a list of one string")
	}
	req.Prompt = prompts[0]
	return nil
}

func parseMessages(req *hibiscuscart.Request, messages []chatMessage) error {
	if len(messages) == 0 {
		return badInput("messages", "at least one message must be given")
	}
	if len(messages) > maxMessages {
		return badInput("messages", "at most %d messages may be given", maxMessages)
	}
	for i, m := range messages {
		field := fmt.Sprintf("messages[%d]", i)
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return badInput(field+".role", "the role %q is not one of system, developer, user, assistant, tool", m.Role)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return badInput(field+".content", "%v", err)
		}
		req.Messages = append(req.Messages, hibiscuscart.Message{Role: m.Role, Content: text})
	}
	return nil
}

var errContent = errors.New("the content must be a string or a list of text parts")

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || string(raw) == "null" {
		return "", errContent
	}
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", errContent
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content parts of type %q are not served", p.Type)
		}
		text += p.Text
	}
	return text, nil
}

func parseOptions(req *hibiscuscart.Request, c *completionBody) error {
	if c.N != nil && *c.N != 1 {
		return badInput("n", "only one answer is given for a request")
	}
	field, value := "max_tokens", c.MaxTokens
	if c.MaxCompletionTokens != nil {
		field, value = "max_completion_tokens", c.MaxCompletionTokens
	}
	if value == nil {
		return nil
	}
	if *value < 1 {
		return badInput(field, "%d is not a whole number from 1", *value)
	}
	req.MaxTokens = *value
	return nil
}

func promptBytes(req *hibiscuscart.Request) int {
	n := len(req.Prompt)
	for _, m := range req.Messages {
		n += len(m.Content)
	}
	return n
}

func parseKey(req *hibiscuscart.Request, h http.Header) error {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return badInput(HeaderIdempotencyKey, "the header stands more than once")
	}
	req.IdempotencyKey = h.Get(HeaderIdempotencyKey)
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return badInput(HeaderIdempotencyKey, "the key has more than %d bytes", maxIdempotencyKeyBytes)
	}
	return nil
}

// parseServiceCall parses a call to a plain service, /services/PROFILE/PATH.
func parseServiceCall(r *http.Request, body []byte) (*hibiscuscart.Request, error) {
	req := &hibiscuscart.Request{
		ID: uuid.NewString(), Kind: hibiscuscart.KindPassThrough, Profile: r.PathValue("profile"),
		Method: r.Method, Path: "/" + r.PathValue("path"), ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if err := parseKey(req, r.Header); err != nil {
		return nil, err
	}
	return req, nil
}
