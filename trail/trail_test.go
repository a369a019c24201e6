package trail_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/trail"
)

const recordedLog = "testdata/site.log"

// readRecordedLog reads the log of a deployment with backend server stand-ins: three VMs, 180
// requests, a model server that restarts, interrupted streams, and lost responses.
func readRecordedLog(t *testing.T, requestID string) *trail.Log {
	t.Helper()
	f, err := os.Open(recordedLog)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	l := &trail.Log{RequestID: requestID}
	require.NoError(t, l.Read(recordedLog, f))
	return l
}

// countRecordedLog counts lines and outcomes in the recorded log independently of the package, with
// only a JSON decoder.
func countRecordedLog(t *testing.T) (lines, bad int, outcomes map[trail.Outcome]int, lost map[string]int) {
	t.Helper()
	data, err := os.ReadFile(recordedLog)
	require.NoError(t, err)
	outcomes, lost = make(map[trail.Outcome]int), make(map[string]int)
	for _, text := range strings.Split(strings.TrimSuffix(string(data), "\n"), "\n") {
		lines++
		var fields map[string]any
		if json.Unmarshal([]byte(text), &fields) != nil {
			bad++
			continue
		}
		if fields["message"] != "request" {
			continue
		}
		number := func(name string) float64 { return fields[name].(float64) }
		stream := number("pause_limit") > 0
		switch {
		case number("status") >= 499:
			outcomes[trail.Lost]++
			lost[fmt.Sprint(fields["route"])]++
		case stream && (number("first_event") > number("objective") || number("longest_pause") > number("pause_limit")),
			!stream && number("took") > number("objective"):
			outcomes[trail.Late]++
		default:
			outcomes[trail.InTime]++
		}
	}
	return lines, bad, outcomes, lost
}

func TestReportMatchesLog(t *testing.T) {
	lines, bad, outcomes, lost := countRecordedLog(t)
	require.NotZero(t, outcomes[trail.Late])
	require.NotZero(t, outcomes[trail.Lost])
	l := readRecordedLog(t, "")
	gotLines, gotBad := l.Lines()
	require.Equal(t, lines, gotLines)
	require.Equal(t, bad, gotBad)
	got := make(map[trail.Outcome]int)
	for _, r := range l.Requests() {
		got[r.Outcome()]++
	}
	require.Equal(t, outcomes, got)
	var out bytes.Buffer
	require.NoError(t, l.Report(&out, trail.Options{}))
	text := out.String()
	require.Contains(t, text, fmt.Sprintf("%d requests: ", len(l.Requests())))
	require.Contains(t, text, "2 lines were not read")
	require.Contains(t, text, recordedLog+" line 286: cut off")
	for route, n := range lost {
		require.Regexp(t, fmt.Sprintf(`%s +60 .* %.1f%%`, route, 100*float64(n)/60), text)
	}
	for _, part := range []string{"waited for a server with its model or adapter", "read answer: unexpected EOF", "first event predicted", "loads"} {
		require.Contains(t, text, part)
	}
}

func TestReportOfOneModel(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, readRecordedLog(t, "").Report(&out, trail.Options{Model: "m4"}))
	require.Contains(t, out.String(), "30 requests: ")
	require.Regexp(t, `model-servers-\d +load +1`, out.String())
	require.NotContains(t, out.String(), "look")
}

func TestRequestTimeline(t *testing.T) {
	var id string
	for _, text := range recordedLines(t) {
		if strings.Contains(text, `"message":"try failed"`) && strings.Contains(text, "refused with 503") {
			var l struct{ Request string }
			require.NoError(t, json.Unmarshal([]byte(text), &l))
			id = l.Request
		}
	}
	require.NotEmpty(t, id)
	var out bytes.Buffer
	require.NoError(t, readRecordedLog(t, id).WriteTimeline(&out))
	require.Contains(t, out.String(), "did not answer: refused with 503")
	require.Regexp(t, "(in time|late|lost): status", out.String())
	require.ErrorContains(t, readRecordedLog(t, "nobody").WriteTimeline(&out), `request "nobody" is in none of the 286 lines`)
}

func recordedLines(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile(recordedLog)
	require.NoError(t, err)
	return strings.Split(string(data), "\n")
}

func TestUnreadableLines(t *testing.T) {
	validLine := `{"time":"2026-01-02T03:04:05Z","message":"request","vm":"v","route":"r","status":200}`
	tests := map[string]struct {
		text   string
		reason string
	}{
		"no object":        {"panic: something", "no JSON object"},
		"cut off":          {validLine[:40], "cut off"},
		"wrong type":       {strings.Replace(validLine, "200", `"ok"`, 1), "field of wrong type"},
		"no time":          {`{"message":"request"}`, "no time or message"},
		"no message":       {`{"time":"2026-01-02T03:04:05Z"}`, "no time or message"},
		"too long":         {"{" + strings.Repeat("x", 1<<20) + "}", "longer than the maximum line length"},
		"two lines joined": {validLine + validLine, "cut off"},
		"invalid UTF-8":    {"{\xff\x00", "cut off"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := &trail.Log{}
			require.NoError(t, l.Read("log", strings.NewReader(validLine+"\n"+tc.text+"\n\n  -1.5 vm-1 "+validLine+"\r\n"+validLine)))
			lines, bad := l.Lines()
			require.Equal(t, 4, lines)
			require.Equal(t, 1, bad)
			require.Len(t, l.Requests(), 3)
			require.Contains(t, l.BadLines()[0].String(), "log line 2: "+tc.reason)
		})
	}
}

func TestEmptyLog(t *testing.T) {
	l := &trail.Log{}
	require.NoError(t, l.Read("log", strings.NewReader("")))
	var out bytes.Buffer
	require.NoError(t, l.Report(&out, trail.Options{}))
	require.Contains(t, out.String(), "0 requests")
	require.NoError(t, l.Plot(&out, trail.SVG, trail.Options{}))
}

func TestReadError(t *testing.T) {
	err := (&trail.Log{}).Read("log", iotest.ErrReader(errors.New("disk gone")))
	require.ErrorContains(t, err, "read log, line 1: disk gone")
}

func TestPlots(t *testing.T) {
	tests := map[string]struct {
		format trail.Format
		begins string
	}{
		"svg": {trail.SVG, "<?xml"},
		"png": {trail.PNG, "\x89PNG"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, readRecordedLog(t, "").Plot(&out, tc.format, trail.Options{}))
			require.True(t, strings.HasPrefix(out.String(), tc.begins))
		})
	}
}

// A log line has about 600 bytes, and operators analyze a million lines at once.
func BenchmarkRead(b *testing.B) {
	data, err := os.ReadFile(recordedLog)
	require.NoError(b, err)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		require.NoError(b, (&trail.Log{}).Read("log", bytes.NewReader(data)))
	}
}

// Guards against a timeline that does not tell why a server was not used again: what it said in a response
// is in no other line about the request.
func TestTimelineNamesNotices(t *testing.T) {
	const lines = `{"vm":"vm-1","request":"r1","server":"s1","server_retry_after":"3","reason":"refused with 503","time":"2026-01-01T00:00:01Z","message":"try failed"}
{"vm":"vm-1","request":"r1","servers":["s1","s2"],"sends":2,"status":200,"server_leaving":true,"time":"2026-01-01T00:00:02Z","message":"request"}
`
	log := &trail.Log{RequestID: "r1"}
	require.NoError(t, log.Read("lines", strings.NewReader(lines)))
	var out strings.Builder
	require.NoError(t, log.WriteTimeline(&out))
	require.Contains(t, out.String(), "refused with 503 (predicted 0 ms, 0 running); its server asked for rest, Retry-After 3")
	require.Contains(t, out.String(), "its server said that it leaves")
}

// Guards against a timeline that ends at the VM with the caller although another VM sent the request, or that
// does not tell a response that may be cut short from others.
func TestTimelineNamesProxiesAndFraming(t *testing.T) {
	const lines = `{"vm":"vm-2","request":"r1","server":"s1","from":"10.0.0.1:4000","status":200,"framing":"close","result":"passed on","time":"2026-01-01T00:00:01Z","message":"request proxied"}
{"vm":"vm-1","request":"r1","server":"s2","proxy":"10.0.0.2:9000","framing":"chunked","partial_event":7,"reason":"read stream: EOF","time":"2026-01-01T00:00:02Z","message":"try failed"}
{"vm":"vm-1","request":"r1","servers":["s2","s1"],"sends":2,"status":200,"proxy":"10.0.0.2:9000","framing":"close","time":"2026-01-01T00:00:03Z","message":"request"}
`
	log := &trail.Log{RequestID: "r1"}
	require.NoError(t, log.Read("lines", strings.NewReader(lines)))
	var out strings.Builder
	require.NoError(t, log.WriteTimeline(&out))
	require.Contains(t, out.String(), "sent to s1 for the VM at 10.0.0.1:4000: status 200, passed on; the response ends with its connection")
	require.Contains(t, out.String(), "s2 did not answer: read stream: EOF (predicted 0 ms, 0 running); sent through the VM at 10.0.0.2:9000; it ended 7 bytes into an event")
	require.Contains(t, out.String(), "sent through the VM at 10.0.0.2:9000; the response ends with its connection")
}

// Guards against a timeline that ends where a caller took its stream up, or that does not tell the software
// versions which wrote it: the events of two do not fit together.
func TestTimelineNamesSoftwareVersions(t *testing.T) {
	const lines = `{"vm":"vm-1","request":"r1","server":"s1","software_version":"v1","reason":"read stream: EOF","time":"2026-01-01T00:00:01Z","message":"try failed"}
{"vm":"vm-1","request":"r1","servers":["s1","s2"],"software_versions":["v1","v2"],"sends":2,"status":599,"time":"2026-01-01T00:00:02Z","message":"request"}
{"vm":"vm-2","request":"r2","servers":["s3"],"software_versions":["v3"],"resumes":"r1","resumed_after":"7","bound_by":"record","bound_version":"v3","sends":1,"status":200,"time":"2026-01-01T00:00:03Z","message":"request"}
`
	log := &trail.Log{RequestID: "r1"}
	require.NoError(t, log.Read("lines", strings.NewReader(lines)))
	var out strings.Builder
	require.NoError(t, log.WriteTimeline(&out))
	require.Contains(t, out.String(), "s1 (v1) did not answer: read stream: EOF")
	require.Contains(t, out.String(), "software versions v1, v2")
	require.Contains(t, out.String(), "software versions v3; request r2 takes up attempt r1 after event 7; bound to v3 by record")
}

// Guards against a lost answer whose timeline does not tell that its server was only silent when it was left.
func TestTimelineNamesSilentServers(t *testing.T) {
	const lines = `{"vm":"vm-1","request":"r1","servers":["s1","s2"],"left_silent":["s1"],"sends":2,"status":599,"reason":"refused with 503","time":"2026-01-01T00:00:02Z","message":"request"}
`
	log := &trail.Log{RequestID: "r1"}
	require.NoError(t, log.Read("lines", strings.NewReader(lines)))
	var out strings.Builder
	require.NoError(t, log.WriteTimeline(&out))
	require.Contains(t, out.String(), "left [s1], which were silent")
}

// Guards against a request refused by a VM that stops whose timeline does not tell when the VM exits.
func TestTimelineNamesStop(t *testing.T) {
	const lines = `{"vm":"vm-1","request":"r1","servers":[],"sends":0,"status":503,"stops_in":6400,"expected":9000,"reason":"this VM is shutting down and would exit before the end of the answer","time":"2026-01-01T00:00:02Z","message":"request"}
`
	log := &trail.Log{RequestID: "r1"}
	require.NoError(t, log.Read("lines", strings.NewReader(lines)))
	var out strings.Builder
	require.NoError(t, log.WriteTimeline(&out))
	require.Contains(t, out.String(), "arrived 6400 ms before its VM exits, expected to take 9000 ms")
}
