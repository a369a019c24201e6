package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
				defer s.Close()
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
