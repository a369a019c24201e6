package pass

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

func TestEventOrder(t *testing.T) {
	type send struct {
		after string
		ids   []int64
	}
	tests := map[string]struct {
		sends  []send
		want   eventOrder
		broken bool
	}{
		"one send":                    {sends: []send{{ids: []int64{1, 2, 3}}}, want: eventOrder{steps: 2}},
		"resumed":                     {sends: []send{{ids: []int64{1, 2}}, {"2", []int64{3, 4}}}, want: eventOrder{steps: 3}},
		"taken up by its caller":      {sends: []send{{"7", []int64{8, 9}}}, want: eventOrder{steps: 2}},
		"taken up too early":          {sends: []send{{"7", []int64{6, 7, 8}}}, want: eventOrder{steps: 2, reversals: 1}, broken: true},
		"taken up at the last event":  {sends: []send{{"7", []int64{7, 8}}}, want: eventOrder{steps: 1, repeats: 1}, broken: true},
		"an event is missing":         {sends: []send{{ids: []int64{1, 2, 4}}}, want: eventOrder{steps: 1, gaps: 1}},
		"an event comes twice":        {sends: []send{{ids: []int64{1, 2, 2}}}, want: eventOrder{steps: 1, repeats: 1}, broken: true},
		"resumed after a gap":         {sends: []send{{ids: []int64{1, 2}}, {"2", []int64{4}}}, want: eventOrder{steps: 1, resumeGaps: 1}, broken: true},
		"IDs that are milliseconds":   {sends: []send{{ids: []int64{100, 250}}, {"250", []int64{410}}}, want: eventOrder{gaps: 1, resumeGaps: 1}},
		"IDs that are no numbers":     {sends: []send{{after: "x", ids: []int64{4}}}, want: eventOrder{}},
		"nothing came after the last": {sends: []send{{ids: []int64{1, 2}}, {after: "2"}}, want: eventOrder{steps: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var o eventOrder
			for _, s := range tc.sends {
				o.beginSend(s.after)
				for _, id := range s.ids {
					o.add(id)
				}
			}
			require.Equal(t, tc.broken, o.broken())
			o.last, o.known, o.resumed = 0, false, false
			require.Equal(t, tc.want, o)
		})
	}
}

// Guards against a stream of two servers whose log does not say which events came from which of them, and against one
// whose events do not follow each other and that nothing tells.
func TestEventsOfEachSendAreLogged(t *testing.T) {
	tests := map[string]struct {
		resumed string
		want    []string
		counter string
	}{
		"goes on at the next event": {resumed: events(2, 4), want: []string{
			`"server":"first","send":0,"first_id":1,"last_id":1,"count":1,"dropped":0`, `"server":"second","send":1,"first_id":2,"last_id":4,"count":3,"dropped":0`,
		}},
		"begins anew": {resumed: events(1, 4), want: []string{`"server":"second","send":1,"first_id":2,"last_id":4,"count":3,"dropped":1`}},
		"leaves out an event": {resumed: events(3, 4), counter: "pass.resumed_after_gap", want: []string{
			`"server":"second","send":1,"first_id":3,"last_id":4,"count":2,"dropped":0`, `"resumed_after_gap":1,"message":"events out of order"`,
		}},
		"gives an event twice": {resumed: event(2) + events(2, 4), counter: "pass.event_repeats", want: []string{`"event_repeats":1`, `"message":"events out of order"`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			answer := func(stream string, whole bool) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Attempt", r.Header.Get("Attempt"))
					w.Header().Set("Stamp", "s")
					w.Header().Set("Content-Type", typeEvents)
					_, _ = fmt.Fprint(w, stream)
					w.(http.Flusher).Flush()
					if !whole {
						panic(http.ErrAbortHandler)
					}
				}
			}
			g := hedgedGateway(t, silentRoute(routes.Stream), 10, answer(event(1), false), answer(tc.resumed, true))
			var log bytes.Buffer
			g.Log = zerolog.New(&log).With().Str("vm", "v").Logger()
			w := sendRequest(g)
			require.Equal(t, http.StatusOK, w.Code)
			for _, want := range tc.want {
				require.Contains(t, log.String(), want)
			}
			if tc.counter != "" {
				require.EqualValues(t, 1, g.Meter.CounterValue(tc.counter))
			} else {
				require.NotContains(t, log.String(), "out of order")
			}
		})
	}
}
