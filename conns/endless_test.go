package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// maxHeadRead is how much of a head without an end may be read: less than its bound and a small part of 1 MB.
const maxHeadRead = conns.MaxHeadBytes + 64<<10

// readLimit bounds a reader that has no bound of its own, so that a failing test does not use up the memory of the
// machine.
const readLimit = 32 << 20

// readHead reads the head of the response of a server and returns how many bytes were read for it.
func readHead(t *testing.T, address string) (resp *http.Response, read int64, err error) {
	t.Helper()
	var counter stand.ReadCounter
	p := conns.Pool{DialFunc: counter.Dial(conns.Dial)}
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	defer p.Discard(c)
	x, err := c.Send(http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
	require.NoError(t, err)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for counter.Bytes() < readLimit {
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
			}
		}
		c.Close()
	}()
	resp, err = x.ReadResponse()
	return resp, counter.Bytes(), err
}

// A server writes as fast as it can what never becomes a whole head. Guards against a VM that reads it until its memory
// is used up: 447 to 983 MB in three seconds were seen in one that may have 144 MB.
func TestEndlessHead(t *testing.T) {
	for _, name := range stand.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.NewEndlessResponse(name, "", "") })
			require.NoError(t, err)
			defer stop()
			_, read, err := readHead(t, address)
			require.ErrorIs(t, err, conns.ErrEndless)
			require.False(t, conns.ConnectionLost(err), "the server has not closed the connection: %v", err)
			require.LessOrEqual(t, read, int64(maxHeadRead))
		})
	}
}

// Guards against bounds that reject a response within them, accept one beyond them, or count a body as a part of its
// head.
func TestHeadBounds(t *testing.T) {
	const status, interim, end = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", "Content-Length: 200000\r\n\r\n"
	header := func(total int, others string) string {
		return "Long: " + strings.Repeat("x", total-len("Long: \r\n")-len(others)) + "\r\n"
	}
	many := strings.Repeat(interim, conns.MaxInterimResponses)
	tests := map[string]struct {
		head    string
		endless bool
	}{
		"as long as allowed":                      {status + header(conns.MaxHeadBytes, status+end) + end, false},
		"a byte too long":                         {status + header(conns.MaxHeadBytes+1, status+end) + end, true},
		"as many interim responses as allowed":    {many + status + end, false},
		"one interim response too many":           {many + interim + status + end, true},
		"together as long as allowed":             {many + status + header(conns.MaxHeadBytes, many+status+end) + end, false},
		"a byte too long with interim responses":  {many + status + header(conns.MaxHeadBytes+1, many+status+end) + end, true},
		"no HTTP, which ends":                     {"x\r\n\r\n", false},
		"bare CR where the bound cuts off a line": {status + header(conns.MaxHeadBytes-1, status) + "\r" + strings.Repeat("x", 10) + "\r\n" + end, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			go func() {
				if c := <-accepted; c != nil {
					_, _ = fmt.Fprint(c, tc.head+strings.Repeat("b", 200000))
				}
			}()
			resp, _, err := readHead(t, address)
			if tc.endless {
				require.ErrorIs(t, err, conns.ErrEndless)
				return
			}
			require.NotErrorIs(t, err, conns.ErrEndless)
			if strings.HasPrefix(tc.head, "HTTP") {
				require.NoError(t, err)
				require.EqualValues(t, 200000, resp.ContentLength)
			}
		})
	}
}

// The bytes of a long body are no part of any head, and each response has the whole bound for itself. Guards against a
// bound that counts over all responses of a kept connection.
func TestHeadBoundOfEachResponse(t *testing.T) {
	address, accepted := listen(t)
	const responses = 4
	body := strings.Repeat("b", conns.MaxHeadBytes)
	read := make(chan struct{})
	served := make(chan error, 1)
	go func() {
		c := <-accepted
		if c == nil {
			served <- errors.New("no connection")
			return
		}
		// An unreferenced connection is closed by the garbage collector, and one that is closed with the request unread
		// is reset before its bytes are read.
		defer c.Close()
		_, err := http.ReadRequest(bufio.NewReader(c))
		for range responses {
			if err == nil {
				_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nLong: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", conns.MaxHeadBytes/2), len(body), body)
			}
		}
		served <- err
		<-read
	}()
	defer close(read)
	var p conns.Pool
	c, err := p.Dial(context.Background(), "k", address)
	require.NoError(t, err)
	defer p.Discard(c)
	x, err := c.Send(http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
	require.NoError(t, err)
	for range responses {
		resp, err := x.ReadResponse()
		require.NoError(t, err)
		got, err := conns.ReadAll(resp.Body, len(body))
		require.NoError(t, err)
		require.Len(t, got, len(body))
	}
	require.NoError(t, <-served)
}

const (
	waitTime = 10 * time.Second
	tick     = time.Millisecond
)
