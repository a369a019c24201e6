package httpx_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

func TestFramingOf(t *testing.T) {
	cases := map[string]struct {
		method, response string
		want             httpx.Framing
	}{
		"length":              {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", httpx.FramedByLength},
		"empty":               {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", httpx.FramedByLength},
		"chunks":              {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", httpx.FramedByChunks},
		"close":               {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nab", httpx.FramedByClose},
		"close, HTTP/1.0":     {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nab", httpx.FramedByClose},
		"close, no body yet":  {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", httpx.FramedByClose},
		"no content":          {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", httpx.FramedByLength},
		"not modified":        {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", httpx.FramedByLength},
		"HEAD without length": {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", httpx.FramedByLength},
		"HEAD with length":    {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", httpx.FramedByLength},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: c.method})
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, c.want, httpx.FramingOf(resp), c.want.String())
		})
	}
}
