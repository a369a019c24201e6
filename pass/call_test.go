package pass

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

var testHeaderNames = &HeaderNames{
	AttemptID: "Attempt", Resumes: "Begun-As", Deadline: "Deadline", ExpectServer: "Expect-Server", ServerStamp: "Stamp", NotExecuted: "Not-Run", Leaving: "Leaving", RejectLimit: "Reject-Limit",
	Model: "Model", TokenUsage: "Usage", PromptPrefix: "Prefix", Priority: "Priority", Key: "Key", Team: "Team", Reserved: []string{"Pin"},
	ParseModel:      func(s string) (string, string) { m, a, _ := strings.Cut(s, "/"); return m, a },
	ParseTokenUsage: func(string) (int, int) { return 10, 20 },
	ParseRateLimit: func(s string) (float64, bool) {
		rate, err := strconv.ParseFloat(s, 64)
		return rate, err == nil
	},
	ParsePromptPrefix: func(string) []pick.PromptPart { return nil },
}

var now = time.Unix(1000, 0)

func testCall(t *testing.T, raw string, route routes.Route) *call {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	table := routes.NewTable(1, nil, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	route.Targets = []routes.Target{{Service: "s", Weight: 1}}
	return newCall(now, testHeaderNames, r, body, table, route, nil, "")
}

// Guards against request smuggling: a caller sends both Content-Length and chunked encoding, and
// hides a second request behind the first. The server must receive a single request, framed by the
// length of the body that was read.
func TestRequestHeadFraming(t *testing.T) {
	c := testCall(t, "POST /a%2Fb?x=1 HTTP/1.1\r\nHost: h.example\r\nAttempt: 7\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"3\r\nabc\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n", routes.Route{})
	sent := append(c.requestHead(testHeaderNames, "srv", time.Second, ""), c.body...)
	reader := bufio.NewReader(bytes.NewReader(sent))
	r, err := http.ReadRequest(reader)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Equal(t, "abc", string(body))
	require.Equal(t, "/a%2Fb?x=1", r.RequestURI)
	require.Equal(t, "h.example", r.Host)
	require.Zero(t, reader.Buffered(), "bytes after the request")
}

func TestRequestHeadHeaders(t *testing.T) {
	c := testCall(t, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: 7\r\nModel: m/a1\r\nDeadline: 6000\r\nPin: 5\r\nPriority: 0\r\n"+
		"Expect-Server: other\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Own: a\r\nX-Own: b\r\nContent-Length: 1\r\n\r\nz", routes.Route{Priority: 2})
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(c.requestHead(testHeaderNames, "srv", 1500*time.Millisecond, ""), 'z'))))
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, r.Header["X-Own"])
	tests := map[string]string{
		"Attempt": "7", "Model": "m/a1", "Deadline": "1500", "Expect-Server": "srv", "Priority": "5", "Pin": "", "X-Hop": "", "Connection": "",
	}
	for name, want := range tests {
		require.Equal(t, want, r.Header.Get(name), name)
	}
}

func TestRequestTimeout(t *testing.T) {
	tests := map[string]struct {
		header  string
		timeout time.Duration
		want    time.Duration
	}{
		"caller deadline": {"2000", 5 * time.Second, 2 * time.Second},
		"route timeout":   {"9000", 5 * time.Second, 5 * time.Second},
		"no header":       {"", 5 * time.Second, 5 * time.Second},
		"not a number":    {"soon", 5 * time.Second, 5 * time.Second},
		"default":         {"", 0, defaultRequestTimeout},
		"negative":        {"-1", 5 * time.Second, 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCall(t, "GET /x HTTP/1.1\r\nHost: h\r\nDeadline: "+tc.header+"\r\n\r\n", routes.Route{Timeout: tc.timeout})
			require.Equal(t, tc.want, c.remaining(now))
		})
	}
}

// Guards against requests that wait for a server after their callers have given up: callers of
// streams disconnect long before the request deadline if no event arrives.
func TestMaxServerWaitBeforeFirstEvent(t *testing.T) {
	tests := map[string]struct {
		header             string
		eventTimeout, want time.Duration
	}{
		"event timeout first":    {"10000", 2 * time.Second, time.Second},
		"request deadline first": {"1000", 2 * time.Second, 500 * time.Millisecond},
		"no event timeout":       {"10000", 0, 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCall(t, "POST /x HTTP/1.1\r\nHost: h\r\nDeadline: "+tc.header+"\r\n\r\n", routes.Route{EventTimeout: tc.eventTimeout})
			require.Equal(t, tc.want, c.maxServerWait(now))
		})
	}
}

// One server may have executed the request, and the next one refuses it. The refusal proves nothing
// about the first send. A caller told that the request was not executed would repeat it, and it
// would be executed twice.
func TestMayRetryAfterUncertainSend(t *testing.T) {
	tests := map[string]struct {
		kind       routes.Kind
		mayHaveRun bool
		wantRetry  bool
	}{
		"once, refused":            {routes.AtMostOnce, false, true},
		"once, may have run":       {routes.AtMostOnce, true, false},
		"idempotent, may have run": {routes.Idempotent, true, true},
		"stream, may have run":     {routes.Stream, true, false},
		"stream, refused":          {routes.Stream, false, true},
		"idempotent, refused":      {routes.Idempotent, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCall(t, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", routes.Route{Kind: tc.kind, Timeout: time.Second})
			c.mayHaveRun = tc.mayHaveRun
			require.Equal(t, tc.wantRetry, (&Gateway{Poison: &poison.Tracker{}, Now: time.Now}).mayRetry(t.Context(), c))
		})
	}
}

// A stream's server crashes after three seconds, and no other server has the model yet. The caller
// would have disconnected after two seconds without a first event, but it has received most of the
// response. Guards against aborting such a stream because the first event timeout has passed: the
// request deadline applies to it.
func TestMaxServerWaitOfStartedStream(t *testing.T) {
	tests := map[string]struct {
		age      time.Duration
		headSent bool
		want     time.Duration
	}{
		"new":                         {0, false, time.Second},
		"not started":                 {time.Second, false, 500 * time.Millisecond},
		"not started, timeout passed": {3 * time.Second, false, -500 * time.Millisecond},
		"started":                     {3 * time.Second, true, 3500 * time.Millisecond},
		"started, deadline passed":    {10 * time.Second, true, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			arrived := now.Add(-tc.age)
			c := &call{arrived: arrived, firstEventDeadline: arrived.Add(2 * time.Second), deadline: arrived.Add(10 * time.Second), headSent: tc.headSent}
			require.Equal(t, tc.want, c.maxServerWait(now))
		})
	}
}

// Guards against a deadline of a caller that overflows and ends its request at once.
func TestRequestTimeoutSaturates(t *testing.T) {
	for name, tc := range map[string]struct {
		deadline string
		route    time.Duration
		want     time.Duration
	}{
		"none":                  {"", 3 * time.Second, 3 * time.Second},
		"neither":               {"", 0, defaultRequestTimeout},
		"shorter":               {"1000", 3 * time.Second, time.Second},
		"longer":                {"5000", 3 * time.Second, 3 * time.Second},
		"overflows to negative": {"9223372036855", 3 * time.Second, 3 * time.Second},
		"overflows to little":   {"18446744073710", 3 * time.Second, 3 * time.Second},
		"largest":               {"9223372036854775807", 3 * time.Second, 3 * time.Second},
		"beyond the type":       {"9223372036854775808", 3 * time.Second, 3 * time.Second},
		"negative":              {"-1", 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := &http.Request{Header: http.Header{testHeaderNames.Deadline: {tc.deadline}}}
			require.Equal(t, tc.want, requestTimeout(testHeaderNames, r, routes.Route{Timeout: tc.route}))
		})
	}
}
