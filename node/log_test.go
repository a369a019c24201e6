package node_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/node"
)

// stuck is a writer that waits until it is let go.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// What reads the log has stopped reading. Requests must go on: lines beyond the
// queue are dropped, and the end of the log says how many.
func TestLogNeverBlocks(t *testing.T) {
	s := &stuck{}
	s.mu.Lock()
	w := node.NewLogWriter(s)
	for range 10_000 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NotZero(t, w.Dropped())
	s.mu.Unlock()
	require.NoError(t, w.Close())
	_, err := w.Write([]byte("after the end\n"))
	require.NoError(t, err, "a goroutine that outlives the daemon must not panic")
	lines := strings.Split(strings.TrimSpace(s.out.String()), "\n")
	require.Contains(t, lines[len(lines)-1], "log lines dropped")
	require.Equal(t, 10_000, int(w.Dropped())+len(lines)-1)
}
