package clock

import "time"

// MaxDuration bounds what Duration returns. A few of them can be added and multiplied by small numbers without overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// Duration returns a number of units as a time.Duration, MaxDuration or its negative for a number beyond these and 0 for
// one that is none. What Go makes of a float64 beyond the range of an integer differs between processors.
func Duration(n float64, unit time.Duration) time.Duration {
	switch d := n * float64(unit); {
	case d >= float64(MaxDuration):
		return MaxDuration
	case d <= -float64(MaxDuration):
		return -MaxDuration
	case d != d:
		return 0
	default:
		return time.Duration(d)
	}
}
