package pass

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a server whose lines end with CR LF: its whole stream was held until its end, and its caller got 502.
func TestStreamWithOtherLineEnds(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	tests := map[string]struct{ begun, rest, want string }{
		"broken off and resumed":            {begun: crlf(event(1)), rest: crlf(events(2, 3)), want: crlf(events(1, 3))},
		"broken off inside an event":        {begun: crlf(event(1)) + "id: 2\r\ndata", rest: crlf(events(2, 3)), want: crlf(events(1, 3))},
		"broken off before the empty line":  {begun: crlf(event(1)) + "id: 2\r\ndata: x\r\n", rest: crlf(events(2, 3)), want: crlf(events(1, 3))},
		"broken off inside the last CR LF":  {begun: crlf(event(1)) + "id: 2\r\ndata: x\r\n\r", rest: crlf(events(2, 3)), want: crlf(events(1, 3))},
		"resumed with other line ends":      {begun: crlf(event(1)), rest: events(1, 3), want: crlf(event(1)) + events(2, 3)},
		"resumed with CR LF":                {begun: event(1), rest: crlf(events(1, 3)), want: event(1) + crlf(events(2, 3))},
		"only the empty line ends in CR LF": {begun: "id: 1\ndata: a\n\r\n", rest: event(2), want: "id: 1\ndata: a\n\r\n" + event(2)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Model", "m")
			sendAborted(brokenThenWhole(t, tc.begun, tc.rest, tc.rest), w, r)
			require.Equal(t, http.StatusOK, w.Code)
			require.Equal(t, tc.want, w.Body.String())
		})
	}
}

// Guards against an event that is cut differently if a read ends inside its line end.
func TestLineEndsAcrossReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"\n", "\r\n", "\r", "data: a", "id: 1"}), 1, 20).Draw(t, "text"), "")
		whole := &eventSplitter{}
		want := string(whole.add([]byte(text)))
		got, _ := feed(t, text, -1)
		require.Equal(t, want, got)
	})
}
