package trail

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// table writes aligned columns and retains the first write error.
type table struct {
	out *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table { return &table{out: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)} }

func (t *table) writeRow(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			t.writeText("\t")
		}
		t.writeText(fmt.Sprint(c))
	}
	t.writeText("\n")
}

func (t *table) writeText(text string) {
	if t.err == nil {
		_, t.err = io.WriteString(t.out, text)
	}
}

func (t *table) close() error {
	if t.err != nil {
		return fmt.Errorf("write the report: %w", t.err)
	}
	if err := t.out.Flush(); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

func formatShare(n, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(total))
}

func formatTime(at int64) string {
	if at == 0 {
		return "-"
	}
	return time.Unix(0, at).UTC().Format("15:04:05.000")
}
