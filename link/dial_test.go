package link_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Guards against a connection, at both ends, for each link that was refused while VMs wait for a hub.
func TestRefusedLinksLeaveNoConnections(t *testing.T) {
	for name, status := range map[string]int{"no hub": http.StatusServiceUnavailable, "wrong key": http.StatusUnauthorized} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				switch state {
				case http.StateNew:
					open.Add(1)
				case http.StateClosed:
					open.Add(-1)
				}
			}
			s.Start()
			t.Cleanup(s.Close)
			d := &link.Dialer{Hello: func() wire.Hello { return wire.Hello{} }}
			for range 20 {
				_, err := d.Dial(t.Context(), strings.TrimPrefix(s.URL, "http://"))
				require.Error(t, err)
			}
			require.Eventually(t, func() bool { return open.Load() == 0 }, time.Minute, time.Millisecond)
		})
	}
}
