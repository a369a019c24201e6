package guard

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// Guards against responses that nobody reads and that keep their connections for ever, and against the close of one that is
// read slowly.
func TestUnreadResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		reads, awaited bool
		closed         int64
	}{
		"read slowly":                       {true, false, 0},
		"not read":                          {false, false, 1},
		"read slowly, memory is waited for": {true, true, 0},
		"not read, memory is waited for":    {false, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const maxUnread = 10 * time.Second
			wait := maxUnread
			if tc.awaited {
				wait = maxAwaitedUnread
			}
			s := newTestServer(t, &Guard{MaxUnread: maxUnread, Awaited: func() bool { return tc.awaited }}, Port{})
			c := s.open(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
			require.Equal(t, "/long", <-s.ran)
			s.awaitStalled(t)
			now := clock.Now()
			s.guard.Sweep(now)
			s.guard.Sweep(now)
			if tc.reads {
				// Less than a client takes at once, so that the same write goes on.
				_, err := io.CopyN(io.Discard, c, 1<<20)
				require.NoError(t, err)
			}
			s.guard.Sweep(now.Add(wait - time.Millisecond))
			require.Zero(t, s.guard.Meter.CounterValue("guard.closed.test.response_unread"))
			s.guard.Sweep(now.Add(wait))
			require.Equal(t, tc.closed, s.guard.Meter.CounterValue("guard.closed.test.response_unread"))
		})
	}
}

// writes returns the count of writes of the only connection.
func (s *testServer) writes() int64 {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	for c := range s.guard.ports[0].conns {
		return c.writes.Load()
	}
	return 0
}

// awaitStalled waits until a write does not go on.
func (s *testServer) awaitStalled(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		before := s.writes()
		time.Sleep(20 * time.Millisecond)
		return before%2 == 1 && before == s.writes()
	}, time.Minute, time.Millisecond)
}

// A client has sent a long body, which the process read at once, and sends on while its next request is in progress. Guards against
// a kernel that keeps megabytes for each such connection.
func TestUnreadBytesOfConnection(t *testing.T) {
	const unread = 16 << 10
	s := newTestServer(t, &Guard{}, Port{UnreadBytes: unread})
	defer close(s.hold)
	const long = 32 << 20
	c := s.open(t, fmt.Sprintf("POST /long-body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", long))
	go func() { _, _ = c.Write(make([]byte, long)) }()
	require.Equal(t, http.StatusOK, status(t, c))
	require.Equal(t, "/long-body", <-s.ran)
	s.send(t, c, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "/held", <-s.ran)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err := c.Write(make([]byte, long))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.LessOrEqual(t, s.unread(t), 2*unread)
}

// unread returns how much the kernel keeps of the only connection that has not been read.
func (s *testServer) unread(t *testing.T) int {
	t.Helper()
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	for c := range s.guard.ports[0].conns {
		raw, err := c.SyscallConn()
		require.NoError(t, err)
		var n int
		require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
		require.NoError(t, err)
		return n
	}
	return 0
}
