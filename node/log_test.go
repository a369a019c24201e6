package node_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/node"
)

// blockedWriter is a writer that blocks while mu is locked.
type blockedWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// The reader of the log stalls. Requests must not block: lines that do not fit in the queue are
// dropped, and the last line of the log reports how many.
func TestFullLogQueueDropsLines(t *testing.T) {
	s := &blockedWriter{}
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
