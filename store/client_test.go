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

func platform(t *testing.T) (*stand.Platform, *store.Client) {
	t.Helper()
	p := &stand.Platform{}
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)
	c := store.New(s.URL, "", "vm-1")
	c.Timeout = 300 * time.Millisecond
	return p, c
}

func brief(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestConditionalUpdate(t *testing.T) {
	_, c := platform(t)
	ctx := brief(t, 5*time.Second)
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

// The platform carries out a write and its answer is lost on the way back. The
// caller must learn that the change may have taken effect, and must not find
// it done twice: the client does not send it again.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	p, c := platform(t)
	p.SetFaults(stand.PlatformFaults{LostReplyShare: 1})
	_, err := c.Put(brief(t, 5*time.Second), "things", "a", 0, 1)
	require.True(t, store.IsLost(err), "%v", err)
	require.Equal(t, int64(1), p.Counts().Writes)
	_, exists := p.Get("things", "a")
	require.True(t, exists)
}

// The platform is out, or can not be reached, or stops answering just before the
// caller's time is over. The client tries again until then. It says that nothing
// took effect only when no try was still unanswered: a write that the platform may
// have read can have taken effect. The clock is the bubble's, so that no try is in
// flight at the end but where the case says so.
func TestAway(t *testing.T) {
	outage := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for name, tc := range map[string]struct {
		platform http.HandlerFunc
		dial     func(context.Context, string, string) (net.Conn, error)
		is       func(error) bool
	}{
		"outage": {platform: outage, is: store.IsAway},
		"unreachable": {
			dial: func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			},
			is: store.IsAway,
		},
		"silent at the end": {
			platform: silentFrom(3, outage),
			is:       store.IsLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var tries atomic.Int64
				c := store.New("http://platform", "", "vm-1")
				dial := tc.dial
				if dial == nil {
					dial = pipeTo(t, tc.platform, &tries)
				}
				c.HTTP.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if tc.dial != nil {
						tries.Add(1)
					}
					return dial(ctx, network, address)
				}
				defer c.HTTP.CloseIdle()
				start := time.Now()
				_, err := c.Put(brief(t, 200*time.Millisecond), "things", "a", 0, 1)
				require.True(t, tc.is(err), "%v", err)
				require.Equal(t, 200*time.Millisecond, time.Since(start))
				require.GreaterOrEqual(t, tries.Load(), int64(3))
			})
		})
	}
}

// silentFrom answers with first until the n-th call, and that and later ones only
// when their caller has gone.
func silentFrom(n int64, first http.HandlerFunc) http.HandlerFunc {
	var calls atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) < n {
			first(w, r)
			return
		}
		// The body is read first: the server sees that its caller has gone only then.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
}

// pipeTo returns a dial function whose connections h serves in memory, so that a
// test's bubble sees when all of it waits. It counts the calls.
func pipeTo(t *testing.T, h http.HandlerFunc, calls *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
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

// pipeListener hands the other ends of dialled pipes to a server.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
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

// The platform's rate limit lets one write through and refuses the next until the
// caller's time is over: the caller learns of the limit, not of a lost answer. The
// clock is the bubble's, as in TestAway.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stand.Platform{WritesPerSecond: 0.001}
		var calls atomic.Int64
		c := store.New("http://platform", "", "vm-1")
		c.HTTP.Dial = pipeTo(t, p.Handler().ServeHTTP, &calls)
		defer c.HTTP.CloseIdle()
		_, err := c.Put(brief(t, time.Second), "things", "a", 0, 1)
		require.NoError(t, err)
		_, err = c.Put(brief(t, 200*time.Millisecond), "things", "b", 0, 1)
		require.True(t, store.IsLimited(err), "%v", err)
	})
}

// The caller has the wrong key, then sends a value beyond the platform's limit:
// each is told as what it is. The time for the calls is ample, as the two
// megabytes take over a second to encode and send on a busy machine.
func TestErrorsOfTheCaller(t *testing.T) {
	p, c := platform(t)
	p.APIKey = "right"
	c.Timeout = time.Minute
	_, err := c.Get(brief(t, time.Minute), "things", "a")
	require.True(t, trace.IsAccessDenied(err), "%v", err)
	c.Key = "right"
	_, err = c.Put(brief(t, time.Minute), "things", "a", 0, make([]int, 1<<20))
	require.True(t, trace.IsBadParameter(err), "%v", err)
}

// A watch breaks, objects change and one is deleted meanwhile, and the platform
// forgets the history of the gap. The follower must end with what there is.
func TestFollowAcrossGap(t *testing.T) {
	p, c := platform(t)
	put := func(name string, ifVersion, value int) int {
		v, ok := p.Put("things", name, ifVersion, json.RawMessage([]byte{byte('0' + value)}))
		require.True(t, ok)
		return v
	}
	a := put("a", 0, 1)
	b := put("b", 0, 1)

	var mu sync.Mutex
	seen := make(map[string]string)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Follow(ctx, "things", func(l store.Listing) {
			mu.Lock()
			defer mu.Unlock()
			clear(seen)
			for _, o := range l.Items {
				seen[o.Name] = string(o.Value)
			}
		}, func(e store.Event) {
			mu.Lock()
			defer mu.Unlock()
			if e.Type == store.EventDelete {
				delete(seen, e.Name)
				return
			}
			seen[e.Name] = string(e.Value)
		})
	}()
	eventually := func(want map[string]string) {
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			if len(seen) != len(want) {
				return false
			}
			for k, v := range want {
				if seen[k] != v {
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

// What counts as an answer decides whether the store was away: a refusal for the state of the
// objects is one, a call that failed is none.
func TestAnswersAreNoted(t *testing.T) {
	for name, tc := range map[string]struct {
		err   error
		noted int
	}{
		"done":        {nil, 4},
		"not found":   {trace.NotFound("no object"), 4},
		"conflict":    {&store.ConflictError{}, 4},
		"gone":        {&store.GoneError{}, 4},
		"away":        {&store.AwayError{Err: errors.New("no answer")}, 0},
		"answer lost": {&store.LostError{Err: errors.New("no answer")}, 0},
		"limited":     {&store.LimitedError{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			noted := 0
			o := store.Objects{
				List: func(context.Context, string) (store.Listing, error) { return store.Listing{}, tc.err },
				Get:  func(context.Context, string, string) (store.Object, error) { return store.Object{}, tc.err },
				Put:  func(context.Context, string, string, int, any) (int, error) { return 3, tc.err },
				Watch: func(context.Context, string, int, time.Duration) ([]store.Change, int, error) {
					return nil, 7, tc.err
				},
			}.Noting(func() { noted++ })
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
			require.Nil(t, o.Recall)
			require.Equal(t, tc.noted, noted)
		})
	}
}
