package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// endlessFrames is how many frames an endless engine writes at most, so that a failing test does not use up the memory of the
// machine.
const endlessFrames = 64

// An engine writes text without an end. Guards against a VM that keeps it until its memory is used up, resumes the run, or
// calls it not run.
func TestEndlessRun(t *testing.T) {
	server := &silentServer{resume: func(w http.ResponseWriter, _ *http.Request) { http.NotFound(w, nil) }}
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			server.ServeHTTP(w, r)
			return
		}
		server.runs.Add(1)
		text := strings.Repeat("x", 512<<10)
		for i := 1; i <= endlessFrames && r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":%q}]}\n\n", i, r.Header.Get(engine.HeaderAttemptID), text)
		}
	})
	x := silentExchange(wire.Profile{Pool: "p", Backend: wire.ProfileBackendEngine, FirstTokenMs: 2000, BetweenTokensMs: 2000, RunsAllowed: 1})
	x.modelName, x.request.Prompt = "m", "p"
	err := newSilentStage(t, endless).run(t.Context(), x, nil)
	require.Equal(t, hibiscuscart.CauseBackendError, hibiscuscart.AsFailure(err).Cause())
	require.Equal(t, hibiscuscart.OutcomeUnknown, hibiscuscart.AsFailure(err).Outcome())
	require.EqualValues(t, 1, server.runs.Load())
}
