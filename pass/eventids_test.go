package pass

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// brokenThenWhole returns a gateway whose first server breaks a stream off after some events, and whose second one gives
// another text to those who ask for what follows an event, and all of it to others.
func brokenThenWhole(t *testing.T, begun, rest, all string) *Gateway {
	t.Helper()
	answer := func(w http.ResponseWriter, r *http.Request, text string) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "s")
		w.Header().Set("Content-Type", typeEvents)
		_, _ = fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
	}
	return hedgedGateway(t, silentRoute(routes.Stream), 10, func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, begun)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLastEvent) == "" {
			answer(w, r, all)
			return
		}
		answer(w, r, rest)
	})
}

// Guards against events that come twice because another server was asked to go on after an event that has no number as
// its ID: it begins anew, or after the last event that has one.
func TestNoResumptionAfterEventWithoutID(t *testing.T) {
	tests := map[string]struct {
		begun, rest, all string
		// aborted is set if the stream can not go on. The caller has then just what its first server has sent.
		aborted bool
	}{
		"no event has an ID":                 {begun: "data: a\n\n", all: "data: a\n\ndata: b\n\n", aborted: true},
		"IDs that are no numbers":            {begun: "id: x1\ndata: a\n\n", all: "id: x1\ndata: a\n\nid: x2\ndata: b\n\n", aborted: true},
		"the last event has none":            {begun: event(1) + "data: a\n\n", rest: "data: a\n\n" + event(2), aborted: true},
		"an earlier event has none":          {begun: "data: a\n\n" + event(1), rest: event(2)},
		"a comment after the last event":     {begun: event(1) + ": still here\n\n", rest: event(2)},
		"a wait for reconnecting comes last": {begun: event(1) + "retry: 100\n\n", rest: event(2)},
		"the ID of the last event is 0":      {begun: event(0), rest: event(0) + event(1)},
		"some are given again, one without an ID among them": {
			begun: event(1) + "data: a\n\n" + event(2), rest: event(1) + "data: a\n\n" + event(2) + "data: b\n\n" + event(3),
		},
	}
	want := map[string]string{
		"an earlier event has none":                          "data: a\n\n" + events(1, 2),
		"a comment after the last event":                     event(1) + ": still here\n\n" + event(2),
		"a wait for reconnecting comes last":                 event(1) + "retry: 100\n\n" + event(2),
		"the ID of the last event is 0":                      events(0, 1),
		"some are given again, one without an ID among them": event(1) + "data: a\n\n" + event(2) + "data: b\n\n" + event(3),
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
			r.Header.Set("Attempt", "a1")
			r.Header.Set("Model", "m")
			g := brokenThenWhole(t, tc.begun, tc.rest, tc.all)
			sendAborted(g, w, r)
			got := w.Body.String()
			require.Equal(t, tc.aborted, g.Meter.CounterValue("pass.status.200") == 0)
			if tc.aborted {
				require.Equal(t, tc.begun, got)
				return
			}
			require.Equal(t, want[name], got)
		})
	}
}
