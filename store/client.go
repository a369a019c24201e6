// Package store is the client of the platform's object API: versioned objects,
// conditional updates, lists and watches, and the list of entry VMs. Its errors
// distinguish a call that failed without effect from one whose response was
// lost.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Headers of the object API.
const (
	// HeaderIfVersion is the version that an update expects; 0 means that the
	// object must not exist.
	HeaderIfVersion = "If-Version"
	// HeaderCallingVM is the name of the calling VM.
	HeaderCallingVM = "Calling-Node"
)

// Timeout, retry intervals and limits of a Client.
const (
	DefaultTimeout       = 2 * time.Second
	initialRetryInterval = 20 * time.Millisecond
	maxRetryInterval     = 2 * time.Second
	maxErrorBodyBytes    = 4 << 10
	// maxBodyBytes bounds a response. A list has all objects of a kind.
	maxBodyBytes = 64 << 20
)

// Object is one stored value with its version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int             `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Listing is the list of objects of a kind and the version of the list.
type Listing struct {
	Version int      `json:"version"`
	Items   []Object `json:"items"`
}

// Client calls the platform's object API. BaseURL is the platform's URL, Key the
// bearer token and VMName the name of this VM. Fields other than BaseURL may be
// zero.
type Client struct {
	BaseURL string
	Key     string
	VMName  string
	// Timeout limits each attempt; 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP sends the requests; nil uses a new httpx.Client.
	HTTP *httpx.Client
	// DisableRetries makes a single attempt for each call, for a user that
	// batches writes and retries them itself.
	DisableRetries bool
}

// New returns a client of the platform at baseURL.
func New(baseURL, key, vmName string) *Client {
	return &Client{BaseURL: baseURL, Key: key, VMName: vmName, HTTP: &httpx.Client{}}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) request() *sling.Sling {
	s := sling.New().Base(c.BaseURL).Set(HeaderCallingVM, c.VMName)
	if c.Key != "" {
		s = s.Set("Authorization", "Bearer "+c.Key)
	}
	return s
}

func objectPath(kind, name string) string { return "/objects/" + kind + "/" + name }

// Get returns an object. The error is a trace.NotFound when it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var obj Object
	err := c.read(ctx, objectPath(kind, name), &obj)
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w", kind, name, err)
	}
	return obj, nil
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (Listing, error) {
	var list Listing
	err := c.read(ctx, "/objects/"+kind, &list)
	if err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", kind, err)
	}
	return list, nil
}

// VMs returns the platform's list of entry VMs. The list is eventually
// consistent.
func (c *Client) VMs(ctx context.Context) ([]wire.VM, error) {
	var vms []wire.VM
	err := c.read(ctx, "/vms", &vms)
	if err != nil {
		return nil, fmt.Errorf("list vms: %w", err)
	}
	return vms, nil
}

// read sends a GET request, retried with back-off until ctx ends.
func (c *Client) read(ctx context.Context, path string, out any) error {
	return c.retry(ctx, func() error { return c.callOnce(ctx, c.request().Get(path), out) })
}

// Put writes value when the object has version ifVersion (0: does not exist)
// and returns the new version. It retries calls that had no effect until ctx
// ends. A lost response is returned as a ResponseLostError and never retried.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	version, err := c.write(ctx, func() *sling.Sling {
		return c.request().Put(objectPath(kind, name)).
			Set("Content-Type", "application/json").
			Set(HeaderIfVersion, strconv.Itoa(ifVersion)).
			Body(bytes.NewReader(body))
	})
	if err != nil {
		return 0, fmt.Errorf("put %s/%s: %w", kind, name, err)
	}
	return version, nil
}

// Delete removes the object when it has version ifVersion. It retries like Put.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion int) error {
	_, err := c.write(ctx, func() *sling.Sling {
		return c.request().Delete(objectPath(kind, name)).Set(HeaderIfVersion, strconv.Itoa(ifVersion))
	})
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, build func() *sling.Sling) (int, error) {
	var response struct {
		Version int `json:"version"`
	}
	err := c.retry(ctx, func() error { return c.callOnce(ctx, build(), &response) })
	return response.Version, err
}

// retry repeats call until it succeeds, fails permanently or ctx ends. It
// returns the last error of call and not that of ctx, which would hide whether
// the call may have had an effect.
func (c *Client) retry(ctx context.Context, call func() error) error {
	if c.DisableRetries {
		return call()
	}
	var lastErr error
	op := func() (struct{}, error) {
		lastErr = call()
		return struct{}{}, retryError(ctx, time.Now(), lastErr)
	}
	_, _ = backoff.Retry(ctx, op, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	return lastErr
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryInterval
	b.MaxInterval = maxRetryInterval
	return b
}

// retryError returns the error that makes backoff.Retry repeat a call or not. Only calls without effect are
// repeated, and not before the platform takes calls again, if it says when.
func retryError(ctx context.Context, now time.Time, err error) error {
	if err == nil || IsUnavailable(err) {
		return err
	}
	var limited *RateLimitedError
	if !errors.As(err, &limited) {
		return backoff.Permanent(err)
	}
	if limited.RetryAfter == 0 {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) <= limited.RetryAfter {
		return backoff.Permanent(err)
	}
	return &backoff.RetryAfterError{Duration: limited.RetryAfter}
}

// callOnce sends one request and decodes the response into out.
func (c *Client) callOnce(ctx context.Context, s *sling.Sling, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, written, err := c.http().Do(req.WithContext(ctx))
	if err != nil {
		return classifyCallError(req.Method, written, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return statusError(req.Method, resp)
	}
	data, err := conns.ReadAll(resp.Body, maxBodyBytes)
	if err == nil {
		err = decodeResponse(data, out)
	}
	if err != nil {
		return classifyCallError(req.Method, true, fmt.Errorf("read response: %w", err))
	}
	return nil
}

func (c *Client) http() *httpx.Client {
	if c.HTTP == nil {
		c.HTTP = &httpx.Client{}
	}
	return c.HTTP
}

// classifyCallError returns an UnavailableError for a failed call without
// effect, which is a read or a write of which no byte was sent, and a
// ResponseLostError otherwise.
func classifyCallError(method string, written bool, err error) error {
	if method == http.MethodGet || !written {
		return &UnavailableError{Err: err}
	}
	return &ResponseLostError{Err: err}
}

// statusError returns the error of a response with the status of one, if it is whole.
func statusError(method string, resp *http.Response) error {
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return classifyCallError(method, true, fmt.Errorf("read response with status %d: %w", resp.StatusCode, err))
	}
	statusErr := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(respBody))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return trace.NotFound("object does not exist")
	case http.StatusConflict:
		var body struct {
			Version int `json:"version"`
		}
		_ = json.Unmarshal(respBody, &body)
		return &ConflictError{Current: body.Version}
	case http.StatusTooManyRequests:
		return rateLimited(resp.Header)
	case http.StatusGone:
		return &GoneError{}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Err: statusErr}
	case http.StatusUnauthorized, http.StatusForbidden:
		return trace.AccessDenied("%s", statusErr)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return trace.BadParameter("%s", statusErr)
	}
	return classifyCallError(method, true, statusErr)
}

// rateLimited returns the error of a refusal by the platform's rate limit. An invalid Retry-After counts as none.
func rateLimited(h http.Header) *RateLimitedError {
	retryAfter, err := httpx.ParseRetryAfter(time.Now(), h)
	if err != nil {
		return &RateLimitedError{}
	}
	return &RateLimitedError{RetryAfter: retryAfter}
}
