package stand

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

const defaultCallDuration = 5 * time.Millisecond

// ServiceFaults are the faults that can be injected into a Service.
type ServiceFaults struct {
	// LostResponseShare is the fraction of calls whose connection breaks after
	// execution, DisconnectBeforeRunShare of those whose connection breaks before it.
	LostResponseShare        float64 `json:"lose_answers"`
	DisconnectBeforeRunShare float64 `json:"cut_before"`
	// ByCloseShare is the fraction of calls whose response has neither a length nor chunks, so that it ends
	// with its connection, and CutShortShare of those whose response also ends in the middle.
	ByCloseShare  float64 `json:"no_length"`
	CutShortShare float64 `json:"cut_short"`
	// Hang executes calls and sends no responses.
	Hang     bool `json:"hang"`
	Draining bool `json:"draining"`
	// RetryAfter, when set, is the Retry-After value with which all calls and load reports are
	// refused.
	RetryAfter string `json:"retry_after"`
}

// ServiceResponse is the response of a Service to a call.
type ServiceResponse struct {
	Status string `json:"status"`
	Digest string `json:"digest"`
}

// Service is a stand-in for a plain service, which executes a call each time it is sent.
// The zero value is ready for use.
type Service struct {
	Name string
	// CallDuration is the execution time of a call.
	CallDuration time.Duration
	Runs         *RunCounter
	Random       func() float64

	runningCalls  atomic.Int64
	executedCalls atomic.Int64
	mu            sync.Mutex
	faults        ServiceFaults
	restGate      restGate
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are currently injected.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns how many calls were executed.
func (s *Service) Calls() int64 { return s.executedCalls.Load() }

// RefusedAtRest returns how many requests were refused while the service asked for rest.
func (s *Service) RefusedAtRest() int64 { return s.restGate.refused.Load() }

// BodyDigest returns the digest of a request body that a Service responds with.
func BodyDigest(body []byte) string {
	d := xxhash.New()
	_, _ = d.Write(body)
	return hex.EncodeToString(d.Sum(nil))
}

// Handler returns the handler of the service's calls, its load report and the
// control path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("PUT /control/faults", s.controlFaults)
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeRuns(w, s.Runs) })
	mux.HandleFunc("/", s.handleCall)
	return s.restMiddleware(mux)
}

func (s *Service) restMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.restGate.refuse(w, r, s.Faults().RetryAfter) {
			w.Header().Set("Not-Run", "overloaded")
			writeProblem(w, http.StatusServiceUnavailable, "overloaded")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wire.LoadReport{
		Running: int(s.runningCalls.Load()), Draining: s.Faults().Draining, Residents: []wire.Resident{},
	})
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBody))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	if faults.Draining {
		w.Header().Set("Not-Run", "draining")
		writeProblem(w, http.StatusServiceUnavailable, "draining")
		return
	}
	if s.shouldInject(faults.DisconnectBeforeRunShare) {
		closeConnection(w)
		return
	}
	s.execute(r, body)
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if s.shouldInject(faults.LostResponseShare) {
		closeConnection(w)
		return
	}
	response := ServiceResponse{Status: "recorded", Digest: BodyDigest(body)}
	switch {
	case s.shouldInject(faults.CutShortShare):
		writeByClose(w, response, true)
	case s.shouldInject(faults.ByCloseShare):
		writeByClose(w, response, false)
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

func (s *Service) execute(r *http.Request, body []byte) {
	s.runningCalls.Add(1)
	defer s.runningCalls.Add(-1)
	s.executedCalls.Add(1)
	if s.Runs != nil {
		s.Runs.Add(markedRequestID(string(body) + r.URL.RawQuery))
	}
	time.Sleep(orDefault(s.CallDuration, defaultCallDuration))
}

func (s *Service) shouldInject(share float64) bool {
	return share > 0 && (s.Random == nil || s.Random() < share)
}

func (s *Service) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBody)).Decode(&f); err != nil {
		writeProblem(w, http.StatusBadRequest, strings.TrimSpace(err.Error()))
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
