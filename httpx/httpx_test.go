package httpx_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/httpx"
)

func post(t *testing.T, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("x"))
	require.NoError(t, err)
	return req
}

// TestWrittenAfterFailure checks whether a failed call reports written bytes: a
// refused connection has none; a connection that breaks before the response does.
func TestWrittenAfterFailure(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		closed  bool
		written bool
		cause   hibiscuscart.Cause
	}{
		"dial refused": {closed: true, written: false, cause: hibiscuscart.CauseDialFailed},
		"connection broken after the request": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			written: true, cause: hibiscuscart.CauseLostBeforeAnswer,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.handler)
			defer s.Close()
			if c.closed {
				s.Close()
			}
			req := post(t, s.URL)
			var client httpx.Client
			resp, written, err := client.Do(req)
			require.Error(t, err)
			require.Nil(t, resp)
			require.Equal(t, c.written, written)
			require.Equal(t, c.cause, httpx.SendFailure(req.Context(), written, err).Cause())
		})
	}
}

// failingWriteConn is a connection on which every write fails.
type failingWriteConn struct{ net.Conn }

// Write implements net.Conn.
func (failingWriteConn) Write([]byte) (int, error) { return 0, errors.New("broken") }

// TestFailedWriteCountsAsWritten guards against a wrong "not run" outcome when a
// connection breaks at the first write. A failed write may have sent part of its
// bytes, so they count as written and the outcome is "unknown".
func TestFailedWriteCountsAsWritten(t *testing.T) {
	client := httpx.Client{Dial: func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		t.Cleanup(func() { _ = b.Close() })
		return failingWriteConn{a}, nil
	}}
	_, written, err := client.Do(post(t, "http://127.0.0.1:1/"))
	require.Error(t, err)
	require.True(t, written)
}

func TestContextCause(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	expired, cancelExpired := context.WithTimeout(context.Background(), 0)
	defer cancelExpired()
	cases := map[string]struct {
		ctx   context.Context
		sent  bool
		ended bool
		cause hibiscuscart.Cause
	}{
		"not ended":         {context.Background(), true, false, hibiscuscart.CauseInternal},
		"canceled, unsent":  {canceled, false, true, hibiscuscart.CauseCanceledBeforeSend},
		"canceled, sent":    {canceled, true, true, hibiscuscart.CauseCanceledAfterSend},
		"timed out, unsent": {expired, false, true, hibiscuscart.CauseWaitTimeout},
		"timed out, sent":   {expired, true, true, hibiscuscart.CauseTimeoutAfterSend},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cause, ended := httpx.ContextCause(c.ctx, c.sent)
			require.Equal(t, c.ended, ended)
			require.Equal(t, c.cause, cause)
		})
	}
}

func TestRedirectNotFollowed(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	var client httpx.Client
	resp, _, err := client.Do(post(t, s.URL))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	require.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
	require.Equal(t, 1, requests)
}
