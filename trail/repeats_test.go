package trail_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/trail"
)

// Guards against a report that does not show whether repeats come from restarted processes or from parts of the
// retry budget that are too large.
func TestReportOfRepeats(t *testing.T) {
	retry := func(second int, vm string, vms int, allowed bool) string {
		return fmt.Sprintf(`{"time":"2026-01-02T03:04:%02dZ","message":"retry","vm":"%s","service":"desk","vms":%d,"allowed":%v}`, second, vm, vms, allowed)
	}
	started := func(second int, vm string) string {
		return fmt.Sprintf(`{"time":"2026-01-02T03:04:%02dZ","message":"started","vm":"%s"}`, second, vm)
	}
	request := `{"time":"2026-01-02T03:04:31Z","message":"request","vm":"a","service":"desk","route":"r","status":200}`
	tests := map[string]struct {
		lines []string
		want  string
	}{
		"a restarted process":                 {[]string{started(0, "a"), retry(30, "a", 7, true), started(32, "a"), retry(33, "a", 7, true), retry(34, "b", 7, true)}, `desk +03:04:30.000 +3 +1 +0 +2 +1 +a 2 +7`},
		"a part that is too large":            {[]string{started(0, "a"), retry(30, "a", 7, true), retry(31, "b", 3, true)}, `desk +03:04:30.000 +2 +1 +0 +2 +0 +a 1 +3`},
		"refused retries do not count":        {[]string{retry(29, "a", 7, false), retry(30, "a", 7, true), retry(31, "a", 7, false)}, `desk +03:04:29.000 +1 +1 +2 +1 +0 +a 1 +7`},
		"only the window with most is listed": {[]string{retry(5, "a", 7, true), retry(30, "a", 7, true), retry(39, "a", 7, true), retry(40, "a", 7, true)}, `desk +03:04:30.000 +2 +1 +0 +1 +0 +a 2 +7`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l trail.Log
			require.NoError(t, l.Read("log", strings.NewReader(strings.Join(append(tc.lines, request), "\n"))))
			var out bytes.Buffer
			require.NoError(t, l.Report(&out, trail.Options{}))
			require.Regexp(t, tc.want, out.String())
		})
	}
}
