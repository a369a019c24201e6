package pass

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Guards against logs that do not tell whether a refusal can only belong to the send that it was taken for.
func TestLogOfAttribution(t *testing.T) {
	tests := map[string]struct {
		names bool
		count int64
	}{
		"named": {true, 0}, "without an attempt": {false, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			g := truncationGateway(routes.Route{Kind: routes.AtMostOnce}, hedgeServer(t, func(w http.ResponseWriter, r *http.Request) {
				if tc.names {
					w.Header().Set("Attempt", r.Header.Get("Attempt"))
				}
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			g.Log = zerolog.New(&log)
			require.Equal(t, http.StatusServiceUnavailable, sendRequest(g).Code)
			var first struct {
				Message     string `json:"message"`
				ConnNew     bool   `json:"conn_new"`
				Carried     *bool  `json:"conn_carried"`
				AnswerNamed *bool  `json:"answer_named"`
			}
			require.NoError(t, json.NewDecoder(&log).Decode(&first))
			require.Equal(t, "try failed", first.Message)
			require.True(t, first.ConnNew)
			require.NotNil(t, first.Carried)
			require.False(t, *first.Carried)
			require.NotNil(t, first.AnswerNamed)
			require.Equal(t, tc.names, *first.AnswerNamed)
			require.GreaterOrEqual(t, g.Meter.CounterValue("pass.unnamed_answers"), tc.count)
		})
	}
}
