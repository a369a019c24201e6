package httpx_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// callRaw calls a server that sends a text, and returns the body of the response. written reports whether the request may have
// arrived.
func callRaw(t *testing.T, client *httpx.Client, text string) (body string, written bool, err error) {
	t.Helper()
	address, stop, err := stand.StartRaw(func(*http.Request) string { return text })
	require.NoError(t, err)
	defer stop()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	resp, written, err := client.Do(req)
	if err != nil {
		return "", written, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), written, err
}

// rawBody is the body of the responses.
const rawBody = "whole"

func brokenHeads() map[string]string {
	all := stand.BrokenStatusLines("X-Sound: x\r\n", rawBody)
	maps.Copy(all, stand.BrokenFields("X-Sound: x\r\n", rawBody))
	return all
}

// A server, a service or the store sends a head or a trailer that is none by RFC 9112. Guards against a response that its
// caller takes for one.
func TestBrokenHead(t *testing.T) {
	for name, text := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			_, written, err := callRaw(t, &httpx.Client{}, text)
			require.Error(t, err)
			require.True(t, written)
		})
	}
}

// Guards against refusing the unusual heads of sound servers.
func TestOddHead(t *testing.T) {
	for name, text := range stand.OddHeads("X-Sound: x\r\n", rawBody) {
		t.Run(name, func(t *testing.T) {
			body, _, err := callRaw(t, &httpx.Client{}, text)
			require.NoError(t, err)
			require.Equal(t, rawBody, body)
		})
	}
}

// The bytes of a head arrive in pieces of any length. Guards against a verdict that depends on where they end.
func TestHeadInPieces(t *testing.T) {
	verdict := func(text string, size int) (passed int, err error) {
		var checker httpx.HeadChecker
		for len(text) > 0 && err == nil {
			var n int
			piece := text[:min(size, len(text))]
			n, err = checker.Check([]byte(piece))
			passed, text = passed+n, text[len(piece):]
		}
		return passed, err
	}
	all := brokenHeads()
	maps.Copy(all, stand.OddHeads("X-Sound: x\r\n", rawBody))
	for name, text := range all {
		t.Run(name, func(t *testing.T) {
			wholePassed, wholeErr := verdict(text, len(text))
			for _, size := range []int{1, 2, 3, 7, 64} {
				passed, err := verdict(text, size)
				require.Equal(t, wholePassed, passed, size)
				require.Equal(t, fmt.Sprint(wholeErr), fmt.Sprint(err), size)
			}
			if wholeErr != nil {
				require.ErrorIs(t, wholeErr, httpx.ErrMalformed)
				require.False(t, strings.HasSuffix(text[:wholePassed], "\r\n\r\n"+rawBody), "the end of a malformed head was passed on")
			}
		})
	}
}

// FuzzHead guards against a head that the checker lets through and net/http reads otherwise: with a name that is none, or a
// status out of range.
func FuzzHead(f *testing.F) {
	for _, text := range brokenHeads() {
		f.Add(text)
	}
	for _, text := range stand.OddHeads("X-Sound: x\r\n", rawBody) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var checker httpx.HeadChecker
		if _, err := checker.Check([]byte(text)); err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		require.True(t, resp.StatusCode >= 100 && resp.StatusCode < 600, resp.StatusCode)
		require.Equal(t, 1, resp.ProtoMajor)
		for name := range resp.Header {
			require.NotContains(t, name, " ")
		}
	})
}
