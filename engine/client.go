// Package engine provides a client for model engines: streams of generated text
// that can be resumed and canceled, load reports, cache events, orders with a
// fencing token, and the export and import of the KV cache of a run.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/dghubble/sling"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Headers of the engine's protocol.
const (
	HeaderAttemptID     = "Attempt-Id"
	HeaderFencingNumber = "Fencing-Number"
	HeaderLastEventID   = "Last-Event-ID"
)

const (
	maxErrorBody = 4 << 10
	// maxResponseBytes bounds the response to a control call. The longest are the cache events since the last call.
	maxResponseBytes = 16 << 20
)

// Error codes of an engine that rejects a request without starting it.
const (
	RefusedNotLoaded  = "model_not_loaded"
	RefusedDraining   = "draining"
	RefusedOverloaded = "overloaded"
)

// Client calls engines by address. The zero value is ready for use.
type Client struct {
	// HTTP sends the calls; nil creates a client at the first call.
	HTTP *httpx.Client
}

// New returns a Client with its own connection pool.
func New() *Client { return &Client{HTTP: &httpx.Client{}} }

func (c *Client) httpClient() *httpx.Client {
	if c.HTTP == nil {
		c.HTTP = &httpx.Client{}
	}
	return c.HTTP
}

// GenerateRequest is a request to generate text.
type GenerateRequest struct {
	Model     string                 `json:"model"`
	Adapter   string                 `json:"adapter,omitempty"`
	Prompt    string                 `json:"prompt,omitempty"`
	Messages  []hibiscuscart.Message `json:"messages,omitempty"`
	MaxTokens int                    `json:"max_tokens"`
	Priority  int                    `json:"priority"`
	Stream    bool                   `json:"stream"`
}

func requestTo(address string) *sling.Sling { return sling.New().Base("http://" + address) }

// Generate starts a run and calls onFrame for each frame until the end frame. Its
// errors are Failures; the cause states whether the run may have started.
func (c *Client) Generate(ctx context.Context, address, attempt string, g GenerateRequest, onFrame func(hibiscuscart.Frame) error) error {
	g.Stream = true
	path := "/v1/completions"
	if len(g.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	s := requestTo(address).Post(path).Set(HeaderAttemptID, attempt).BodyJSON(g)
	return c.stream(ctx, s, onFrame)
}

// Resume continues a stream after the frame with the given sequence number.
func (c *Client) Resume(ctx context.Context, address, attempt string, after int, onFrame func(hibiscuscart.Frame) error) error {
	s := requestTo(address).Get("/v1/streams/"+attempt).Set(HeaderLastEventID, strconv.Itoa(after))
	return c.stream(ctx, s, onFrame)
}

func (c *Client) stream(ctx context.Context, s *sling.Sling, onFrame func(hibiscuscart.Frame) error) error {
	resp, err := c.openStream(ctx, s)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := readFrames(resp.Body, onFrame); err != nil {
		return streamError(ctx, err)
	}
	return nil
}

// openStream sends a request and returns the response if the engine accepted it.
func (c *Client) openStream(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("build stream request: %w", err)
	}
	req = req.WithContext(ctx)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, written, err := c.httpClient().Do(req)
	if err != nil {
		return nil, httpx.SendFailure(ctx, written, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, responseError(ctx, resp)
	}
	return resp, nil
}

// responseError returns the Failure for the error object of an engine. The cause is
// CauseRefused only for the codes of requests that the engine did not start, in a response that is whole.
func responseError(ctx context.Context, resp *http.Response) error {
	text, err := conns.ReadAll(resp.Body, maxErrorBody)
	if err != nil && !errors.Is(err, conns.ErrBodyTooLarge) {
		return httpx.SendFailure(ctx, true, err)
	}
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(text, &body)
	switch body.Error.Code {
	case RefusedNotLoaded, RefusedDraining, RefusedOverloaded:
		return hibiscuscart.Fail(hibiscuscart.CauseRefused, "%s", body.Error.Code)
	}
	return hibiscuscart.Fail(hibiscuscart.CauseBackendError, "the engine answered %d", resp.StatusCode)
}

func streamError(ctx context.Context, err error) error {
	var f *hibiscuscart.Failure
	if errors.As(err, &f) {
		return f
	}
	if cause, ended := httpx.ContextCause(ctx, true); ended {
		return hibiscuscart.Fail(cause, "while streaming").WithError(err)
	}
	return hibiscuscart.Fail(hibiscuscart.CauseLostInStream, "the stream broke").WithError(err)
}

// callJSON makes a control call and decodes its JSON response into v.
func (c *Client) callJSON(ctx context.Context, s *sling.Sling, v any) error {
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build engine request: %w", err)
	}
	resp, _, err := c.httpClient().Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("call engine: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusPreconditionFailed {
		return &StaleFencingTokenError{}
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return fmt.Errorf("engine responded with status %d: %s", resp.StatusCode, text)
	}
	if err := conns.DecodeJSON(resp.Body, maxResponseBytes, v); err != nil {
		return fmt.Errorf("read engine response: %w", err)
	}
	return nil
}

// StaleFencingTokenError reports that the engine has received a higher fencing token. The
// order had no effect, and its sender is no longer the controller.
type StaleFencingTokenError struct{}

// Error implements error.
func (e *StaleFencingTokenError) Error() string { return "engine has received a higher fencing token" }

// Cancel stops a run.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	var ignored struct{}
	if err := c.callJSON(ctx, requestTo(address).Delete("/v1/streams/"+attempt), &ignored); err != nil {
		return fmt.Errorf("cancel run %s: %w", attempt, err)
	}
	return nil
}

// LoadReport returns the engine's load report.
func (c *Client) LoadReport(ctx context.Context, address string) (wire.LoadReport, error) {
	var report wire.LoadReport
	if err := c.callJSON(ctx, requestTo(address).Get("/load"), &report); err != nil {
		return wire.LoadReport{}, fmt.Errorf("get load report: %w", err)
	}
	return report, nil
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int) ([]wire.CacheEvent, error) {
	var events []wire.CacheEvent
	s := requestTo(address).Get("/events").Set(HeaderLastEventID, strconv.Itoa(after))
	if err := c.callJSON(ctx, s, &events); err != nil {
		return nil, fmt.Errorf("get cache events: %w", err)
	}
	return events, nil
}

// Order sends an order with a fencing token. A repeated order has no effect.
func (c *Client) Order(ctx context.Context, address string, order wire.Order, fencingToken int) error {
	var ignored struct{}
	s := requestTo(address).Post("/orders").Set(HeaderFencingNumber, strconv.Itoa(fencingToken)).BodyJSON(order)
	if err := c.callJSON(ctx, s, &ignored); err != nil {
		return fmt.Errorf("send order %s: %w", order.Order, err)
	}
	return nil
}

// RaiseFencingToken makes the engine reject orders with a lower fencing token.
func (c *Client) RaiseFencingToken(ctx context.Context, address string, fencingToken int) error {
	var ignored struct{}
	s := requestTo(address).Put("/fence").Set(HeaderFencingNumber, strconv.Itoa(fencingToken))
	if err := c.callJSON(ctx, s, &ignored); err != nil {
		return fmt.Errorf("raise fencing token to %d: %w", fencingToken, err)
	}
	return nil
}

// Export stops a run and returns its state for Import on another engine.
func (c *Client) Export(ctx context.Context, address, attempt string) (json.RawMessage, error) {
	var state json.RawMessage
	if err := c.callJSON(ctx, requestTo(address).Post("/v1/streams/"+attempt+"/export"), &state); err != nil {
		return nil, fmt.Errorf("export run %s: %w", attempt, err)
	}
	return state, nil
}

// Import continues an exported run; Resume reads its frames.
func (c *Client) Import(ctx context.Context, address string, state json.RawMessage) error {
	var ignored struct{}
	if err := c.callJSON(ctx, requestTo(address).Post("/v1/streams/import").BodyJSON(state), &ignored); err != nil {
		return fmt.Errorf("import run: %w", err)
	}
	return nil
}
