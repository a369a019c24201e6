// Package httpx makes HTTP calls and reports whether any byte of a request may
// have reached the server, which determines whether a failed call can have had
// an effect.
package httpx

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Defaults of the HTTP transport.
const (
	DialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
)

var defaultDialer = &net.Dialer{Timeout: DialTimeout, KeepAlive: 15 * time.Second}

// Client sends requests and tracks the bytes written to their connections. The
// zero value dials with the defaults.
type Client struct {
	// Dial opens a connection; nil uses TCP with DialTimeout. Tests and
	// experiments replace it to inject network failures.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Rests, when set, keeps for how long servers want no requests; the client sends none to these.
	Rests *Rests
	// Now returns the current time; nil uses time.Now.
	Now func() time.Time

	initOnce   sync.Once
	httpClient *http.Client
}

// HTTPClient returns the underlying *http.Client, whose connections count the
// bytes written to them.
func (c *Client) HTTPClient() *http.Client {
	c.initOnce.Do(c.init)
	return c.httpClient
}

func (c *Client) init() {
	dial := c.Dial
	if dial == nil {
		dial = defaultDialer.DialContext
	}
	transport := NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			// The server may have asked for rest while the connection was opened.
			if err := c.checkRest(address); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	c.httpClient = &http.Client{
		Transport: transport,
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.HTTPClient().CloseIdleConnections() }

// Do sends req. On an error, written reports whether a byte of the request may
// have been written; if it is false, the server cannot have received the request.
//
// The transport retries a request by itself if a keep-alive connection breaks and
// it considers the request idempotent: a GET, or a request with an
// Idempotency-Key header. Callers that must not repeat a request use another
// method and another header name; the transport then retries only requests of
// which nothing was written.
func (c *Client) Do(req *http.Request) (resp *http.Response, written bool, err error) {
	if err := c.checkRest(req.URL.Host); err != nil {
		return nil, false, err
	}
	var tracker writeTracker
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: tracker.gotConn})
	resp, err = c.HTTPClient().Do(req.WithContext(ctx))
	if err == nil && c.Rests != nil {
		c.Rests.Apply(c.now(), req.URL.Host, resp)
	}
	return resp, tracker.written(), err
}

// checkRest returns a RestingError while the server at an address wants no requests.
func (c *Client) checkRest(address string) error {
	if c.Rests == nil {
		return nil
	}
	if rest := c.Rests.Remaining(c.now(), address); rest > 0 {
		return &RestingError{Address: address, Remaining: rest}
	}
	return nil
}

func (c *Client) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// writeTracker determines whether a request may have been written to any of the
// connections that it used. It compares the byte count of a connection with the
// count from before the request.
type writeTracker struct {
	mu         sync.Mutex
	conn       *trackedConn
	sentBefore int64
	anyWritten bool
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkConn()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		// Bytes on an uncounted connection are unknown, so the request may have been
		// written.
		w.anyWritten = true
		return
	}
	w.conn = conn
	w.sentBefore = conn.sentBytes.Load()
}

func (w *writeTracker) checkConn() {
	if w.conn != nil && w.conn.sentBytes.Load() != w.sentBefore {
		w.anyWritten = true
	}
}

func (w *writeTracker) written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkConn()
	return w.anyWritten
}
