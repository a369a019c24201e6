package pass

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// noticeServer is a server that says something about itself in the head of each response.
type noticeServer struct {
	address string
	// respond writes the head of a response; nil responds with 200.
	respond func(w http.ResponseWriter)
	arrived atomic.Int64
}

func startNoticeServer(t *testing.T, respond func(w http.ResponseWriter)) *noticeServer {
	t.Helper()
	s := &noticeServer{respond: respond}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "server")
		if s.respond != nil {
			s.respond(w)
		}
	}))
	t.Cleanup(h.Close)
	s.address = strings.TrimPrefix(h.URL, "http://")
	return s
}

func sayLeaving(w http.ResponseWriter) { w.Header().Set("Leaving", "1") }

// askRest returns a response that refuses a request with a Retry-After value.
func askRest(retryAfter string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Del("Stamp")
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against sending requests to a server after it has said in a response that it leaves: its answer
// would be cut off when it exits.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	leaving, other := startNoticeServer(t, sayLeaving), startNoticeServer(t, nil)
	g := testGateway(server("a", "d", leaving.address))
	offset := time.Duration(0)
	g.Now = func() time.Time { return clock.Now().Add(offset) }
	require.Equal(t, http.StatusOK, sendRequest(g).Code)
	g.Servers.Put(g.Now(), server("b", "d", other.address))
	g.Servers.Put(g.Now(), server("a", "d", leaving.address))
	for range 20 {
		offset += time.Second
		require.Equal(t, http.StatusOK, sendRequest(g).Code)
	}
	require.EqualValues(t, 1, leaving.arrived.Load())
}

// Guards against sending requests to a server in the time for which it has asked for rest, whether as a
// first send or as a repeat.
func TestRestingServerGetsNoRequests(t *testing.T) {
	resting, other := startNoticeServer(t, askRest("3")), startNoticeServer(t, nil)
	g := testGateway(server("a", "d", resting.address))
	offset := time.Duration(0)
	g.Now = func() time.Time { return clock.Now().Add(offset) }
	require.Equal(t, http.StatusServiceUnavailable, sendRequest(g).Code)
	g.Servers.Put(g.Now(), server("b", "d", other.address))
	for range 20 {
		offset += 100 * time.Millisecond
		require.Equal(t, http.StatusOK, sendRequest(g).Code)
	}
	require.EqualValues(t, 1, resting.arrived.Load())
}
