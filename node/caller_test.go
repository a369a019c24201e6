package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// Guards against refusing a request, with a status after which callers do not come back, whose headers are as long as
// the operators' configuration allows.
func TestLongHeadersReachHandler(t *testing.T) {
	for name, server := range map[string]func(http.Handler) *http.Server{"of a caller": newCallerServer, "of another VM": newPeerServer} {
		for _, kilobytes := range []int{16, 60, 100, 512} {
			t.Run(fmt.Sprint(name, ", ", kilobytes, " KB"), func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				s := server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
				go func() { _ = s.Serve(l) }()
				defer func() { _ = s.Close() }()
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				go func() {
					_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", kilobytes<<10)+"\r\n\r\n")
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNoContent, resp.StatusCode)
			})
		}
	}
}

// Guards against limits of the configuration that no VM keeps, and of which nobody is told.
func TestLimitsAboveThoseOfVM(t *testing.T) {
	for name, tc := range map[string]struct {
		limits routes.Limits
		told   bool
	}{
		"none":           {routes.Limits{}, false},
		"usual":          {routes.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}, false},
		"long headers":   {routes.Limits{MaxHeaderBytes: 2 << 20}, true},
		"slow headers":   {routes.Limits{HeaderTimeout: time.Minute}, true},
		"long idle time": {routes.Limits{IdleTimeout: time.Hour}, true},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newControllerNode(t)
			var log bytes.Buffer
			n.log = zerolog.New(&log)
			n.showConfig(routes.NewTable(1, nil, nil, tc.limits), inForce{version: 1, storeVersion: 1, number: 1})
			require.Equal(t, tc.told, strings.Contains(log.String(), "allows callers more"), log.String())
		})
	}
}
