package trail_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/trail"
)

// spreadLine returns a line that a VM logged at a number of milliseconds.
func spreadLine(vm string, ms int, message, fields string) string {
	return fmt.Sprintf(`{"vm":%q,"time":"2026-12-03T03:01:%02d.%03dZ","message":%q%s}`+"\n", vm, ms/1000, ms%1000, message, fields)
}

func writeSpread(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	l := &trail.Log{}
	require.NoError(t, l.Read("log", strings.NewReader(strings.Join(lines, ""))))
	var out bytes.Buffer
	err := l.WriteSpread(&out)
	return strings.Join(strings.Fields(out.String()), " "), err
}

func TestSpread(t *testing.T) {
	var lines []string
	for i := range 10 {
		vm := fmt.Sprint("vm-", i)
		lines = append(lines, spreadLine(vm, 0, "started", ""), spreadLine(vm, 20000, "stopped", ""),
			spreadLine(vm, 1000+10*i, "configuration in force", fmt.Sprintf(`,"config_version":7,"revision":%d`, 90+i)),
			spreadLine(vm, 5000+i, "controller lease has another holder", `,"holder":"vm-3"`))
		if i < 9 {
			lines = append(lines, spreadLine(vm, 3000+100*i, "entry missing; server no longer used", `,"server":"i-1"`))
		}
	}
	// A VM that starts later and one that has ended do not count, although they state the change.
	lines = append(lines, spreadLine("late", 9000, "started", ""), spreadLine("late", 9100, "configuration in force", `,"config_version":7,"revision":88`),
		spreadLine("ended", 0, "started", ""), spreadLine("ended", 500, "stopped", ""), `{"vm":"vm-1","time":"2026-`+"\n")
	got, err := writeSpread(t, lines...)
	require.NoError(t, err)
	require.Contains(t, got, "configuration version 7 03:01:01.000 11 10 40 90 90")
	require.Contains(t, got, "server gone i-1 03:01:03.000 9 10 400 never never")
	require.Contains(t, got, "lease holder vm-3 03:01:05.000 10 10 4 9 9")
	require.Contains(t, got, "1 lines were not read, the first: log line")
}

func TestSpreadWithoutChanges(t *testing.T) {
	_, err := writeSpread(t, spreadLine("vm-1", 0, "started", ""))
	require.ErrorContains(t, err, "none of the 1 lines states a change")
}
