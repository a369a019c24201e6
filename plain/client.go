// Package plain provides a client for plain services: forwarded HTTP calls and
// load reports.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// HeaderAttemptID is the header with the attempt ID. The caller's Idempotency-Key
// header is not forwarded: net/http retries a call with that header when its
// connection breaks, so a call that may run at most once would run twice.
const HeaderAttemptID = "Attempt-Id"

// HeaderNotRun is set by a service that rejects a call without executing it.
const HeaderNotRun = "Not-Run"

// Call is one call to a service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Response is the response of a service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Framing is how the service marked the end of Body, which is certainly complete unless it is
	// httpx.FramedByClose.
	Framing httpx.Framing
}

// Client calls services by address. The zero value is ready for use.
type Client struct {
	// HTTP sends the calls; nil creates a client at the first call.
	HTTP *httpx.Client
	// MaxResponseBytes is the maximum size of a response body; 0 is 1 MiB.
	MaxResponseBytes int64
}

// New returns a Client with its own connection pool.
func New() *Client { return &Client{HTTP: &httpx.Client{}} }

const (
	defaultMaxResponseBytes = 1 << 20
	maxLoadReportBytes      = 1 << 20
)

func (c *Client) httpClient() *httpx.Client {
	if c.HTTP == nil {
		c.HTTP = &httpx.Client{}
	}
	return c.HTTP
}

// Do sends a call once and returns the response. Its errors are Failures;
// the cause states whether the call may have been executed.
func (c *Client) Do(ctx context.Context, address, attempt string, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, fmt.Errorf("build call: %w", err)
	}
	// When a kept-alive connection breaks, net/http retries a call that appears
	// idempotent, such as a GET, if it can rewind the body. A body that cannot
	// be rewound prevents the retry.
	req.Body, req.GetBody = io.NopCloser(bytes.NewReader(call.Body)), nil
	req.Header.Set(HeaderAttemptID, attempt)
	req.Header.Set("Content-Type", call.ContentType)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, written, err := c.httpClient().Do(req)
	if err != nil {
		return Response{}, httpx.SendFailure(ctx, written, err)
	}
	defer resp.Body.Close()
	if reason := resp.Header.Get(HeaderNotRun); reason != "" {
		return Response{}, hibiscuscart.Fail(hibiscuscart.CauseRefused, "%s", reason)
	}
	return c.readResponse(ctx, resp)
}

func (c *Client) readResponse(ctx context.Context, resp *http.Response) (Response, error) {
	limit := c.MaxResponseBytes
	if limit == 0 {
		limit = defaultMaxResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Response{}, httpx.SendFailure(ctx, true, err)
	}
	if int64(len(body)) > limit {
		return Response{}, hibiscuscart.Fail(hibiscuscart.CauseBackendError, "the answer is larger than %d bytes", limit)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Framing: httpx.FramingOf(resp)}, nil
}

// LoadReport returns the service's load report.
func (c *Client) LoadReport(ctx context.Context, address string) (wire.LoadReport, error) {
	req, err := sling.New().Base("http://" + address).Get("/load").Request()
	if err != nil {
		return wire.LoadReport{}, fmt.Errorf("build load report request: %w", err)
	}
	resp, _, err := c.httpClient().Do(req.WithContext(ctx))
	if err != nil {
		return wire.LoadReport{}, fmt.Errorf("get load report: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return wire.LoadReport{}, fmt.Errorf("get load report: service responded with status %d", resp.StatusCode)
	}
	var report wire.LoadReport
	if err := conns.DecodeJSON(resp.Body, maxLoadReportBytes, &report); err != nil {
		return wire.LoadReport{}, fmt.Errorf("read load report: %w", err)
	}
	return report, nil
}
