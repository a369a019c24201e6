package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

func newPlatform(t *testing.T) (*stand.Platform, *store.Client) {
	t.Helper()
	p := &stand.Platform{}
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)
	c := store.New(s.URL, "", "vm-1")
	c.Timeout = 300 * time.Millisecond
	return p, c
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestConditionalUpdate(t *testing.T) {
	_, c := newPlatform(t)
	ctx := timeoutContext(t, 5*time.Second)
	_, err := c.Get(ctx, "things", "a")
	require.True(t, trace.IsNotFound(err), "%v", err)
	v1, err := c.Put(ctx, "things", "a", 0, 1)
	require.NoError(t, err)
	_, err = c.Put(ctx, "things", "a", 0, 2)
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, v1, conflict.Current)
	v2, err := c.Put(ctx, "things", "a", v1, 3)
	require.NoError(t, err)
	require.Greater(t, v2, v1)
	require.True(t, store.IsConflict(c.Delete(ctx, "things", "a", v1)))
	require.NoError(t, c.Delete(ctx, "things", "a", v2))
}

// The platform applies a write and its response is lost. The client must report
// that the change may have taken effect, and must not send the write again, as
// it would be applied twice.
func TestLostResponseIsNotRetried(t *testing.T) {
	p, c := newPlatform(t)
	p.SetFaults(stand.PlatformFaults{LostResponseShare: 1})
	_, err := c.Put(timeoutContext(t, 5*time.Second), "things", "a", 0, 1)
	require.True(t, store.IsResponseLost(err), "%v", err)
	require.Equal(t, int64(1), p.Counts().Writes)
	_, exists := p.Get("things", "a")
	require.True(t, exists)
}

// The platform is unavailable, unreachable, or stops responding shortly before
// the deadline of the call. The client retries until the deadline. It may report
// that nothing took effect only when no attempt is without a response: a write
// that the platform may have read can have taken effect. The test runs on the
// synctest clock, so that an attempt is in flight at the deadline only in the
// case that says so.
func TestUnavailable(t *testing.T) {
	outage := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for name, tc := range map[string]struct {
		platform http.HandlerFunc
		dial     func(context.Context, string, string) (net.Conn, error)
		matches  func(error) bool
	}{
		"outage": {platform: outage, matches: store.IsUnavailable},
		"unreachable": {
			dial: func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			},
			matches: store.IsUnavailable,
		},
		"no response at the deadline": {
			platform: hangFromCall(3, outage),
			matches:  store.IsResponseLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				c := store.New("http://platform", "", "vm-1")
				dial := tc.dial
				if dial == nil {
					dial = pipeDialer(t, tc.platform, &calls)
				}
				c.HTTP.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if tc.dial != nil {
						calls.Add(1)
					}
					return dial(ctx, network, address)
				}
				defer c.HTTP.CloseIdle()
				start := time.Now()
				_, err := c.Put(timeoutContext(t, 200*time.Millisecond), "things", "a", 0, 1)
				require.True(t, tc.matches(err), "%v", err)
				require.Equal(t, 200*time.Millisecond, time.Since(start))
				require.GreaterOrEqual(t, calls.Load(), int64(3))
			})
		})
	}
}

// hangFromCall serves calls before the n-th with earlier. The n-th and later
// calls return only when their client has disconnected.
func hangFromCall(n int64, earlier http.HandlerFunc) http.HandlerFunc {
	var calls atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) < n {
			earlier(w, r)
			return
		}
		// The server detects a disconnected client only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
}

// pipeDialer returns a dial function whose connections h serves over in-memory
// pipes, as synctest cannot detect that a goroutine is blocked on a socket. It
// counts the calls.
func pipeDialer(t *testing.T, h http.HandlerFunc, calls *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	t.Helper()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.dial
}

// pipeListener accepts the server ends of dialled pipes.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// The platform's rate limit admits one write and rejects the next until the
// deadline of the call. The client must report the rate limit and not a lost
// response. The test runs on the synctest clock, like TestUnavailable.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stand.Platform{WritesPerSecond: 0.001}
		var calls atomic.Int64
		c := store.New("http://platform", "", "vm-1")
		c.HTTP.Dial = pipeDialer(t, p.Handler().ServeHTTP, &calls)
		defer c.HTTP.CloseIdle()
		_, err := c.Put(timeoutContext(t, time.Second), "things", "a", 0, 1)
		require.NoError(t, err)
		_, err = c.Put(timeoutContext(t, 200*time.Millisecond), "things", "b", 0, 1)
		require.True(t, store.IsRateLimited(err), "%v", err)
	})
}

// The client has the wrong key, then sends a value beyond the platform's size
// limit. Each must be reported as its own error. The deadlines are long because
// the two megabytes take over a second to encode and send on a busy machine.
func TestCallerErrors(t *testing.T) {
	p, c := newPlatform(t)
	p.APIKey = "right"
	c.Timeout = time.Minute
	_, err := c.Get(timeoutContext(t, time.Minute), "things", "a")
	require.True(t, trace.IsAccessDenied(err), "%v", err)
	c.Key = "right"
	_, err = c.Put(timeoutContext(t, time.Minute), "things", "a", 0, make([]int, 1<<20))
	require.True(t, trace.IsBadParameter(err), "%v", err)
}

// A watch breaks, objects change and one is deleted meanwhile, and the platform
// discards the history of the gap. The client must end with the current objects.
func TestListAndWatchAcrossGap(t *testing.T) {
	p, c := newPlatform(t)
	put := func(name string, ifVersion, value int) int {
		v, ok := p.Put("things", name, ifVersion, json.RawMessage([]byte{byte('0' + value)}))
		require.True(t, ok)
		return v
	}
	a := put("a", 0, 1)
	b := put("b", 0, 1)

	var mu sync.Mutex
	observed := make(map[string]string)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.ListAndWatch(ctx, "things", func(l store.Listing) {
			mu.Lock()
			defer mu.Unlock()
			clear(observed)
			for _, o := range l.Items {
				observed[o.Name] = string(o.Value)
			}
		}, func(e store.Event) {
			mu.Lock()
			defer mu.Unlock()
			if e.Type == store.EventDelete {
				delete(observed, e.Name)
				return
			}
			observed[e.Name] = string(e.Value)
		})
	}()
	eventually := func(want map[string]string) {
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			if len(observed) != len(want) {
				return false
			}
			for k, v := range want {
				if observed[k] != v {
					return false
				}
			}
			return true
		}, 10*time.Second, 5*time.Millisecond)
	}
	eventually(map[string]string{"a": "1", "b": "1"})
	a = put("a", a, 2)
	eventually(map[string]string{"a": "2", "b": "1"})

	p.SetFaults(stand.PlatformFaults{Outage: true})
	put("a", a, 3)
	_, ok := p.Delete("things", "b", b)
	require.True(t, ok)
	put("c", 0, 1)
	p.Compact()
	p.SetFaults(stand.PlatformFaults{})
	eventually(map[string]string{"a": "3", "c": "1"})
	cancel()
	<-done
}

// The observer decides whether the platform was available. An error about the
// state of an object is a response, a failed call is not.
func TestResponseObserver(t *testing.T) {
	for name, tc := range map[string]struct {
		err       error
		responses int
	}{
		"success":       {nil, 4},
		"not found":     {trace.NotFound("no object"), 4},
		"conflict":      {&store.ConflictError{}, 4},
		"gone":          {&store.GoneError{}, 4},
		"unavailable":   {&store.UnavailableError{Err: errors.New("no response")}, 0},
		"response lost": {&store.ResponseLostError{Err: errors.New("no response")}, 0},
		"rate limited":  {&store.RateLimitedError{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			responses := 0
			o := store.Objects{
				List: func(context.Context, string) (store.Listing, error) { return store.Listing{}, tc.err },
				Get:  func(context.Context, string, string) (store.Object, error) { return store.Object{}, tc.err },
				Put:  func(context.Context, string, string, int, any) (int, error) { return 3, tc.err },
				Watch: func(context.Context, string, int, time.Duration) ([]store.Change, int, error) {
					return nil, 7, tc.err
				},
			}.WithResponseObserver(func() { responses++ })
			_, err := o.List(t.Context(), "k")
			require.Equal(t, tc.err, err)
			_, err = o.Get(t.Context(), "k", "n")
			require.Equal(t, tc.err, err)
			version, err := o.Put(t.Context(), "k", "n", 1, nil)
			require.Equal(t, tc.err, err)
			require.Equal(t, 3, version)
			_, next, err := o.Watch(t.Context(), "k", 1, time.Second)
			require.Equal(t, tc.err, err)
			require.Equal(t, 7, next)
			require.Nil(t, o.GetCached)
			require.Equal(t, tc.responses, responses)
		})
	}
}

// The platform refuses a call and says when it takes calls again. The client must not call it before that, nor
// keep a caller waiting whose time ends sooner. The test runs on the synctest clock.
func TestRetryAfterOfPlatform(t *testing.T) {
	tests := map[string]struct {
		retryAfter string
		calls      int64
		minWait    time.Duration
	}{
		"beyond the caller's time": {"3600", 1, 0},
		"soon":                     {"1.5", 2, 1500 * time.Millisecond},
		"none":                     {"", 2, 0},
		"garbage":                  {"soon", 2, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var calls, served atomic.Int64
				c := store.New("http://platform", "", "vm-1")
				c.HTTP.Dial = pipeDialer(t, func(w http.ResponseWriter, _ *http.Request) {
					if served.Add(1) > 1 {
						_, _ = io.WriteString(w, `{"version":1}`)
						return
					}
					w.Header().Set("Retry-After", tc.retryAfter)
					w.WriteHeader(http.StatusTooManyRequests)
				}, &calls)
				defer c.HTTP.CloseIdle()
				_, err := c.Put(timeoutContext(t, 5*time.Second), "things", "a", 0, 1)
				require.Equal(t, tc.calls == 1, store.IsRateLimited(err), "%v", err)
				require.Equal(t, tc.calls, served.Load())
				waited := time.Since(start)
				require.GreaterOrEqual(t, waited, tc.minWait)
				require.Less(t, waited, tc.minWait+time.Second, "the caller waits no longer than needed")
			})
		})
	}
}
