package plain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/plain"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// A service reads a call on a kept-alive connection and crashes before it responds.
// net/http would retry a GET, or a call with an Idempotency-Key. The service must
// get the call once, and the outcome must be OutcomeUnknown.
func TestBrokenCallNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var hits atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/break" {
					hits.Add(1)
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write([]byte("ok"))
			}))
			defer s.Close()
			c := plain.New()
			address := s.Listener.Addr().String()
			_, err := c.Do(context.Background(), address, "a1", plain.Call{Method: method, Path: "/warm"})
			require.NoError(t, err)
			_, err = c.Do(context.Background(), address, "a2", plain.Call{Method: method, Path: "/break"})
			require.Equal(t, hibiscuscart.OutcomeUnknown, hibiscuscart.AsFailure(err).Outcome())
			require.Equal(t, int32(1), hits.Load())
		})
	}
}

func TestCallOutcomes(t *testing.T) {
	cases := map[string]struct {
		faults stand.ServiceFaults
		limit  int64
		cause  hibiscuscart.Cause
		ran    int64
	}{
		"success":                     {cause: hibiscuscart.CauseDone, ran: 1},
		"service draining":            {faults: stand.ServiceFaults{Draining: true}, cause: hibiscuscart.CauseRefused},
		"disconnect before execution": {faults: stand.ServiceFaults{DisconnectBeforeRunShare: 1}, cause: hibiscuscart.CauseLostBeforeAnswer},
		"disconnect after execution":  {faults: stand.ServiceFaults{LostResponseShare: 1}, cause: hibiscuscart.CauseLostBeforeAnswer, ran: 1},
		"response too large":          {limit: 10, cause: hibiscuscart.CauseBackendError, ran: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			service := &stand.Service{}
			service.SetFaults(tc.faults)
			s := httptest.NewServer(service.Handler())
			defer s.Close()
			c := plain.New()
			c.MaxResponseBytes = tc.limit
			response, err := c.Do(context.Background(), s.Listener.Addr().String(), "a", plain.Call{Method: http.MethodPost, Path: "/x", Body: []byte("b")})
			require.Equal(t, tc.ran, service.Calls())
			if tc.cause == hibiscuscart.CauseDone {
				require.NoError(t, err)
				require.Contains(t, string(response.Body), stand.BodyDigest([]byte("b")))
				return
			}
			require.Equal(t, tc.cause, hibiscuscart.AsFailure(err).Cause())
		})
	}
}
