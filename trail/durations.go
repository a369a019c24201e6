package trail

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDurationMicros is an hour, which exceeds the duration of any request by far.
	// significantDigits is the precision of the percentiles.
	maxDurationMicros = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// durations records durations in milliseconds for percentiles.
type durations struct {
	hist *hdrhistogram.Histogram
	n    int
}

func newDurations() *durations {
	return &durations{hist: hdrhistogram.New(1, maxDurationMicros, significantDigits)}
}

func (d *durations) record(ms float32) {
	d.n++
	// Values outside the histogram's range count as its bounds.
	us := min(max(int64(ms*1000), 1), maxDurationMicros)
	if err := d.hist.RecordValue(us); err != nil {
		d.n--
	}
}

func (d *durations) atPercentile(percentile float64) string {
	if d.n == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(d.hist.ValueAtPercentile(percentile))/1000)
}
