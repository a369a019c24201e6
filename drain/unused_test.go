package drain

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
	"github.com/hibiscuscart/hibiscuscart/conns"
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

// The HTTP server of a VM that stops has read the head of a request, and the VM looks for unused connections before it
// knows that. Guards against ending a connection on which the body is on its way.
func TestBodyArrivesWhileUnusedAreClosed(t *testing.T) {
	const body = "body"
	for name, earlier := range map[string]int{"new connection": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			var c Conns
			headRead := make(chan struct{}, earlier+1)
			s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write(got)
			}))
			s.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateActive {
					c.CloseUnused(clock.Now().Add(newConnTime))
				}
				c.Record(clock.Now(), conn, state)
				if state == http.StateActive {
					headRead <- struct{}{}
				}
			}
			server := httptest.NewUnstartedServer(nil)
			server.Config = s
			server.Start()
			t.Cleanup(server.Close)
			caller, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = caller.Close() })
			answers := bufio.NewReader(caller)
			for range earlier + 1 {
				_, err := fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
				require.NoError(t, err)
				<-headRead
				_, err = io.WriteString(caller, body)
				require.NoError(t, err)
				resp, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, body, string(got))
			}
		})
	}
}

// A VM that stops looks for unused connections while a part of the head of a kept connection's next request has been read.
// Guards against a request that is whole and gets "400 Bad Request", or no answer.
func TestPartOfHeadReadWhileUnusedAreClosed(t *testing.T) {
	var c Conns
	idle := make(chan net.Conn, 2)
	s := newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.Record(clock.Now(), conn, state)
		if state == http.StateIdle {
			idle <- conn
		}
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = s
	server.Listener = &Listener{Listener: server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	answers := bufio.NewReader(caller)
	const head, rest = "GET / HTTP/1.1\r\nHo", "st: h\r\n\r\n"
	_, err = io.WriteString(caller, head+rest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	vm := <-idle
	_, err = io.WriteString(caller, head)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !conns.HasUnread(vm) }, time.Minute, 20*time.Millisecond)
	for range 5 {
		c.CloseUnused(clock.Now())
		time.Sleep(checkInterval)
	}
	_, err = io.WriteString(caller, rest)
	require.NoError(t, err)
	resp, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
