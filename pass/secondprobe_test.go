package pass

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A server that is asked which instance it is gives its answer to an earlier request on the connection a second time.
// Guards against taking that for the answer: a sound server counts as another instance, and gets no requests any more.
func TestSecondAnswerToInstanceProbe(t *testing.T) {
	for name, body := range map[string]string{"reads like another start": "7", "reads like none": "text"} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(conn net.Conn) { answerTwice(conn, body) })
			e := instanceEntry("a", "v1", address, 5)
			g := testGateway(e)
			useResumableRoute(g)
			g.InstanceProbe = testProbe
			conn, err := g.Pool.DialWithin(t.Context(), dialTimeout, e.ID, address)
			require.NoError(t, err)
			exchange, err := conn.Send(http.MethodGet, []byte("GET /x HTTP/1.1\r\nHost: h\r\nAttempt: a0\r\n\r\n"), nil)
			require.NoError(t, err)
			resp, err := exchange.ReadResponse()
			require.NoError(t, err)
			require.NoError(t, drainBody(resp))
			exchange.Finish(clock.Now(), g.Pool, resp, true)
			w := httptest.NewRecorder()
			sendAborted(g, w, newStreamRequest())
			require.Equal(t, versionEvents("v1", 1, 3), w.Body.String())
			require.True(t, g.Servers.Usable(clock.Now(), e.ID))
			require.Equal(t, int64(1), g.Meter.CounterValue("pass.instance_probes"))
		})
	}
}

// answerTwice answers the first request on a connection with a body, and once more in front of the answer to the next one,
// which asks when the server started. All others get a stream.
func answerTwice(conn net.Conn, body string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	second := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head, text := "Attempt: "+r.Header.Get("Attempt")+"\r\nStamp: v1\r\n", body
		switch r.URL.Path {
		case testProbe.Path:
			head, text = "", fmt.Sprint(time.Unix(5, 0).Unix())
		case newStreamRequest().URL.Path:
			if r.Header.Get("Attempt") != "a0" {
				head, text = head+"Content-Type: "+typeEvents+"\r\n", versionEvents("v1", 1, 3)
			}
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		if _, err := io.WriteString(conn, second+answer); err != nil {
			return
		}
		if second = answer; r.Header.Get("Attempt") != "a0" {
			second = ""
		}
	}
}

// A server that wanted rest gives that refusal a second time after its rest. Guards against another rest, in which it gets no
// requests although it has asked for none.
func TestSecondAnswerIsNoNotice(t *testing.T) {
	s := &secondAnswers{moment: copyAfterSend, status: http.StatusServiceUnavailable, notice: "Retry-After: 1\r\n"}
	g := direct(t, routes.AtMostOnce, s.start(t))
	vm := serveGateway(t, g)
	require.Equal(t, http.StatusServiceUnavailable, postBytes(t, vm, "a1", 1).status)
	require.NotZero(t, g.Servers.RestRemaining(clock.Now(), "0"))
	time.Sleep(g.Servers.RestRemaining(clock.Now(), "0"))
	require.Equal(t, http.StatusOK, postBytes(t, vm, "a2", 1).status)
	require.Equal(t, int64(1), g.Meter.CounterValue("pass.stray_answers"))
	require.Zero(t, g.Servers.RestRemaining(clock.Now(), "0"))
}
