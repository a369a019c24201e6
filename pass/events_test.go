package pass

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// A server fails in the middle of an event, and another one resumes after the last complete event
// or a little earlier. The caller must receive each event exactly once, complete and in order,
// regardless of how reads split the stream.
func TestEventSplitterResumedStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(2, 20).Draw(t, "total")
		delivered := rapid.IntRange(1, total-1).Draw(t, "delivered")
		overlap := rapid.IntRange(0, delivered).Draw(t, "overlap")
		first := events(1, delivered) + event(delivered + 1)[:rapid.IntRange(0, 6).Draw(t, "part")]
		out, last := feed(t, first, 0)
		require.Equal(t, fmt.Sprint(delivered), last)
		rest, last := feed(t, events(delivered-overlap+1, total), int64(delivered))
		require.Equal(t, events(1, total), out+rest)
		require.Equal(t, fmt.Sprint(total), last)
	})
}

// feed adds a text in pieces of random sizes.
func feed(t *rapid.T, text string, skipThrough int64) (complete, last string) {
	s := &eventSplitter{skipBelow: skipThrough + 1}
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		complete += string(s.add([]byte(text[:n])))
		text = text[n:]
	}
	return complete, s.lastID
}

func TestEventSplitterPartialEvent(t *testing.T) {
	s := &eventSplitter{}
	require.Empty(t, s.add([]byte("id: 1\ndata: x")))
	require.Equal(t, "id: 1\ndata: x\n\n", string(s.add([]byte("\n\nid: 2"))))
	require.Equal(t, "id: 2", string(s.partial))
	require.Equal(t, "1", s.lastID)
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(events(1, 3)), 4)
	f.Add([]byte("\n\n\n\nid:x\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		single := &eventSplitter{}
		want := string(single.add(data))
		split := &eventSplitter{}
		if cut < 0 || cut > len(data) {
			cut = len(data)
		}
		got := string(split.add(data[:cut])) + string(split.add(data[cut:]))
		require.Equal(t, want, got)
		require.Equal(t, string(single.partial), string(split.partial))
	})
}
