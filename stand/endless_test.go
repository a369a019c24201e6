package stand_test

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/stand"
)

// boundedReader reads the beginning of a response, and then closes the connection.
type boundedReader struct {
	read  strings.Builder
	limit int
}

func (r *boundedReader) Write(p []byte) (int, error) {
	if r.read.Len() >= r.limit {
		return 0, errors.New("closed")
	}
	return r.read.Write(p)
}

// Guards against a stand-in that plays only some of the responses without an end, ends one of them by itself, or does not
// notice that one was read to the end of what it sends.
func TestBackendSendsEndlessResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		events int
		kinds  []string
	}{
		"plain":  {0, slices.Concat(stand.EndlessHeads, stand.EndlessBodies)},
		"stream": {8, slices.Concat(stand.EndlessHeads, stand.EndlessEvents)},
	} {
		t.Run(name, func(t *testing.T) {
			const bound = 1 << 20
			b := &stand.Backend{ID: "s", StreamEvents: tc.events}
			for _, kind := range slices.Concat(tc.kinds, tc.kinds) {
				r := &boundedReader{limit: bound}
				b.SendEndless(r, "Name: value\r\n", "data: first\n\n")
				require.GreaterOrEqual(t, r.read.Len(), bound)
				want := stand.NewEndlessResponse(kind, "Name: value\r\n", "data: first\n\n")
				require.True(t, strings.HasPrefix(r.read.String(), want.Begin+want.Repeat+want.Repeat), kind)
			}
			sent, overread := b.Endless()
			require.Equal(t, 2*len(tc.kinds), sent)
			require.Zero(t, overread)
			b.SendEndless(io.Discard, "", "")
			_, overread = b.Endless()
			require.Equal(t, 1, overread)
		})
	}
}
