package pass

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// streamAnswer returns a whole stream of three events that name their request.
func streamAnswer(id, framing string) string {
	var body strings.Builder
	for n := 1; n <= 3; n++ {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", n, id)
	}
	head := "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nStamp: s\r\nContent-Type: " + typeEvents + "\r\n"
	if framing == "chunked" {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, body.Len(), &body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, body.Len(), &body)
}

// startSecondStreams starts a server that gives each stream a second time, in two parts with a pause between them: when
// the next request has arrived on the connection, or at once.
func startSecondStreams(t *testing.T, framing string, part func(whole int) int, pause time.Duration, late bool, requests *atomic.Int64) string {
	t.Helper()
	return startServer(t, func(c net.Conn) {
		defer c.Close()
		again := func(second string) {
			_, _ = fmt.Fprint(c, second[:part(len(second))])
			time.Sleep(pause)
			_, _ = fmt.Fprint(c, second[part(len(second)):])
		}
		second := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			if second != "" {
				again(second)
			}
			answer := streamAnswer(req.Header.Get("Attempt"), framing)
			_, _ = fmt.Fprint(c, answer)
			if second = answer; !late {
				again(answer)
				second = ""
			}
		}
	})
}

// Guards against a stream that is given a second time, as a whole and with a silence inside, and whose events reach the
// caller of the next request on the connection.
func TestSecondCopyOfStreamReachesNoCaller(t *testing.T) {
	parts := map[string]func(int) int{
		"in one piece": func(whole int) int { return whole }, "inside the head": func(int) int { return 30 }, "inside the last event": func(whole int) int { return whole - 12 },
	}
	for partName, part := range parts {
		for _, framing := range []string{"chunked", "length"} {
			for when, late := range map[string]bool{"as the next request arrives": true, "at once": false} {
				for _, resumable := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, %s, %s, resumable %t", partName, framing, when, resumable), func(t *testing.T) {
						t.Parallel()
						var requests atomic.Int64
						g := testGateway(server("a", "d", startSecondStreams(t, framing, part, 150*time.Millisecond, late, &requests)))
						route := silentRoute(routes.Stream)
						route.Resumable = resumable
						g.Table = func() *routes.Table { return hedgeTable(route) }
						for n := range 4 {
							id := fmt.Sprintf("a%d", n)
							w := httptest.NewRecorder()
							r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
							r.Header.Set("Attempt", id)
							r.Header.Set("Model", "m")
							sendAborted(g, w, r)
							require.Equal(t, http.StatusOK, w.Code)
							require.Equal(t, fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\nid: 3\ndata: %s\n\n", id, id, id), w.Body.String())
							if !late {
								time.Sleep(5 * time.Millisecond)
							}
						}
						require.EqualValues(t, 4, requests.Load())
					})
				}
			}
		}
	}
}
