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

// A server breaks off in the middle of an event and another one goes on behind
// the last whole one, perhaps from a little before. The caller must see each
// event once, whole and in order, however the bytes are cut.
func TestSplitterJoinsTwoRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(2, 20).Draw(t, "total")
		broken := rapid.IntRange(1, total-1).Draw(t, "broken")
		again := rapid.IntRange(0, broken).Draw(t, "again")
		first := events(1, broken) + event(broken + 1)[:rapid.IntRange(0, 6).Draw(t, "part")]
		out, last := feed(t, first, 0)
		require.Equal(t, fmt.Sprint(broken), last)
		rest, last := feed(t, events(broken-again+1, total), int64(broken))
		require.Equal(t, events(1, total), out+rest)
		require.Equal(t, fmt.Sprint(total), last)
	})
}

// feed takes a text in pieces of any size.
func feed(t *rapid.T, text string, after int64) (out, last string) {
	s := &splitter{after: after}
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		out += string(s.take([]byte(text[:n])))
		text = text[n:]
	}
	return out, s.last
}

func TestSplitterKeepsWhatIsNotWhole(t *testing.T) {
	s := &splitter{}
	require.Empty(t, s.take([]byte("id: 1\ndata: x")))
	require.Equal(t, "id: 1\ndata: x\n\n", string(s.take([]byte("\n\nid: 2"))))
	require.Equal(t, "id: 2", string(s.rest))
	require.Equal(t, "1", s.last)
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(events(1, 3)), 4)
	f.Add([]byte("\n\n\n\nid:x\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole := &splitter{}
		want := string(whole.take(data))
		s := &splitter{}
		if cut < 0 || cut > len(data) {
			cut = len(data)
		}
		got := string(s.take(data[:cut])) + string(s.take(data[cut:]))
		require.Equal(t, want, got)
		require.Equal(t, string(whole.rest), string(s.rest))
	})
}
