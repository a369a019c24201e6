package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/fleet"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// shortSilence is that of a sound server, and longer than the shortest stall limit.
const shortSilence = minStallTimeout + 300*time.Millisecond

const silentRunText = "abcdef"

// silentServer is a server that sends a response byte by byte and is silent before one byte. It has the protocol of an
// engine and of a service. resume responds to a request for the rest of a stream.
type silentServer struct {
	silentBefore int
	// silentFor is how long it is silent, 0 for shortSilence.
	silentFor time.Duration
	resume    http.HandlerFunc
	runs      atomic.Int32
}

// ServeHTTP implements http.Handler. A run ends with its connection.
func (e *silentServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		e.resume(w, r)
		return
	case http.MethodDelete:
		return
	}
	e.runs.Add(1)
	controller := http.NewResponseController(w)
	for i := range silentRunText {
		if i == e.silentBefore {
			select {
			case <-time.After(cmp.Or(e.silentFor, shortSilence)):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		text := silentRunText[i : i+1]
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			text = fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":%q}]}\n\n", i+1, r.Header.Get(engine.HeaderAttemptID), text)
		}
		_, _ = w.Write([]byte(text))
		_ = controller.Flush()
	}
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", len(silentRunText)+1)
	}
}

// A sound server is silent for a moment. Guards against a run that is left for it, while its rest can not be had in
// another way: the answer, which would have come, is cut, or the request runs again.
func TestSilentRunIsKept(t *testing.T) {
	resumes := map[string]http.HandlerFunc{
		"refused": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such stream", http.StatusNotFound) },
		"refused, as the server wants rest": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "60")
			http.Error(w, "rest", http.StatusServiceUnavailable)
		},
		"broken": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for position, before := range map[string]int{"before its answer": 0, "inside its answer": 3} {
		for runsName, runsAllowed := range map[string]int{"may run once": 1, "may run again": 3} {
			for name, resume := range resumes {
				t.Run(fmt.Sprintf("silent %s, %s, resume is %s", position, runsName, name), func(t *testing.T) {
					t.Parallel()
					server := &silentServer{silentBefore: before, resume: resume}
					x := silentExchange(wire.Profile{Pool: "p", Backend: wire.ProfileBackendEngine, FirstTokenMs: 200, BetweenTokensMs: 20, RunsAllowed: runsAllowed})
					x.modelName, x.request.Prompt = "m", "p"
					require.NoError(t, newSilentStage(t, server).run(t.Context(), x, nil))
					require.Equal(t, silentRunText, x.response.Text)
					require.EqualValues(t, 1, server.runs.Load())
				})
			}
		}
	}
}

// A sound server is silent while a connection to it is opened. Guards against a run that counts as sent, so that it is
// left as lost.
func TestSilentDialIsKept(t *testing.T) {
	for runsName, runsAllowed := range map[string]int{"may run once": 1, "may run again": 3} {
		t.Run(runsName, func(t *testing.T) {
			t.Parallel()
			server := &silentServer{silentBefore: -1, resume: func(w http.ResponseWriter, _ *http.Request) { http.NotFound(w, nil) }}
			x := silentExchange(wire.Profile{Pool: "p", Backend: wire.ProfileBackendEngine, FirstTokenMs: 200, BetweenTokensMs: 20, RunsAllowed: runsAllowed})
			x.modelName, x.request.Prompt = "m", "p"
			s := newSilentStage(t, server)
			s.engines.HTTP.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				pause.For(ctx, shortSilence)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			require.NoError(t, s.run(t.Context(), x, nil))
			require.Equal(t, silentRunText, x.response.Text)
			require.EqualValues(t, 1, server.runs.Load())
		})
	}
}

// An engine falls silent for good inside an answer. Guards against a request that could run again elsewhere and waits
// for it, and against one that waits to its deadline for an engine that can not be reached any more.
func TestGoneEngineIsLeft(t *testing.T) {
	tests := map[string]struct {
		runsAllowed int
		unreachable bool
	}{
		"may run again, engine hangs":   {3, false},
		"may run once, engine is gone":  {1, true},
		"may run again, engine is gone": {3, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			server := &silentServer{silentBefore: 3, silentFor: time.Hour, resume: hang}
			x := silentExchange(wire.Profile{Pool: "p", Backend: wire.ProfileBackendEngine, FirstTokenMs: 200, BetweenTokensMs: 20, RunsAllowed: tc.runsAllowed})
			x.modelName, x.request.Prompt = "m", "p"
			s := newSilentStage(t, server)
			s.engines.HTTP.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if tc.unreachable && server.runs.Load() > 0 {
					return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			err := s.run(t.Context(), x, nil)
			// The other server refuses what it gets, and nobody knows whether the first run ended.
			require.Equal(t, hibiscuscart.OutcomeUnknown, hibiscuscart.AsFailure(err).Outcome())
			require.NotEqual(t, hibiscuscart.CauseTimeoutAfterSend, hibiscuscart.AsFailure(err).Cause())
			require.EqualValues(t, 1, server.runs.Load())
		})
	}
}

// A sound service is silent for a moment. Guards against a limit that ends its call.
func TestSilentServiceCallIsKept(t *testing.T) {
	for position, before := range map[string]int{"before its answer": 0, "inside its answer": 3} {
		for runsName, runsAllowed := range map[string]int{"may run once": 1, "may run again": 3} {
			t.Run(fmt.Sprintf("silent %s, %s", position, runsName), func(t *testing.T) {
				t.Parallel()
				server := &silentServer{silentBefore: before}
				x := silentExchange(wire.Profile{Pool: "p", Backend: wire.ProfileBackendService, RunsAllowed: runsAllowed})
				x.request.Method, x.request.Path = http.MethodPost, "/"
				require.NoError(t, newSilentStage(t, server).run(t.Context(), x, nil))
				require.Equal(t, silentRunText, string(x.response.Body))
				require.EqualValues(t, 1, server.runs.Load())
			})
		}
	}
}

func silentExchange(profile wire.Profile) *Exchange {
	profile.WholeAnswerMs = 60_000
	now := time.Now()
	return &Exchange{
		request: &hibiscuscart.Request{ID: "r", ArrivedAt: now}, profile: hibiscuscart.NewProfile(1, profile), deadline: now.Add(time.Minute),
		sink: Sink{WriteResponse: func(hibiscuscart.Response) error { return nil }},
	}
}

// newSilentStage returns a stage that relays a request to a server. Each of the others refuses it.
func newSilentStage(t *testing.T, server http.Handler) *relayStage {
	t.Helper()
	first := httptest.NewServer(server)
	t.Cleanup(first.Close)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q}}`, engine.RefusedOverloaded)
	}))
	t.Cleanup(other.Close)
	view := &fleet.View{}
	client := &httpx.Client{Rests: &httpx.Rests{}}
	return &relayStage{
		fleet: view, maxResumes: maxResumesPerRun, budget: &retry.Budget{Reserve: 5}, engines: &engine.Client{HTTP: client}, plain: &plain.Client{HTTP: client},
		now: time.Now, meter: meter.New(), offeredLoads: &offeredLoads{}, rng: rand.New(rand.NewPCG(1, 1)),
		selectCandidate: func(_ []fleet.Candidate, _ uint64, tried []string) (fleet.Candidate, bool) {
			if len(tried) == 0 {
				return fleet.Candidate{Name: "first", Address: first.Listener.Addr().String()}, true
			}
			return fleet.Candidate{Name: "other", Address: other.Listener.Addr().String()}, true
		},
	}
}
