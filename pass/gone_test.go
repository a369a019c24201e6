package pass

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
)

// Guards against an empty success in place of an answer for a caller that has closed its side of the connection, and
// reads on: what nobody answered must look unanswered.
func TestNoAnswerMadeUpForGoneCaller(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, reached func()) *Gateway{
		"waits for a server": func(_ *testing.T, reached func()) *Gateway {
			g := testGateway()
			g.FindServer = func(ctx context.Context, _ backs.Need) (string, error) {
				reached()
				<-ctx.Done()
				return "", ctx.Err()
			}
			return g
		},
		"sent": func(t *testing.T, reached func()) *Gateway {
			silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				reached()
				<-r.Context().Done()
			}))
			t.Cleanup(silent.Close)
			return testGateway(server("a", "d", strings.TrimPrefix(silent.URL, "http://")))
		},
		"waits for its team's quota": func(t *testing.T, reached func()) *Gateway {
			g, _ := quotaGateway(t, "dead:1")
			g.TakeQuota = func(ctx context.Context, _ limit.QuotaRequest) (time.Duration, bool) {
				reached()
				<-ctx.Done()
				return 0, false
			}
			return g
		},
	} {
		t.Run(name, func(t *testing.T) {
			reached := make(chan struct{}, 1)
			s := serveGateway(t, prepare(t, func() {
				select {
				case reached <- struct{}{}:
				default:
				}
			}))
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nKey: "+testKey+"\r\n\r\n")
			require.NoError(t, err)
			<-reached
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			got, err := io.ReadAll(conn)
			if err == nil {
				require.Empty(t, string(got))
			}
		})
	}
}
