package httpx

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const headerRetryAfter = "Retry-After"

// MaxRetryAfter bounds the time that a Retry-After header can ask for. It keeps any number of seconds
// representable.
const MaxRetryAfter = 366 * 24 * time.Hour

// ParseRetryAfter returns the time that a Retry-After header asks for: seconds, possibly with a fraction,
// or a date (RFC 9110, 10.2.3). It returns 0 if there is none. wall is the time of day; it serves for a date
// in a response without a Date.
func ParseRetryAfter(wall time.Time, h http.Header) (time.Duration, error) {
	value := strings.TrimSpace(h.Get(headerRetryAfter))
	if value == "" {
		return 0, nil
	}
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return 0, fmt.Errorf("parse seconds: %w", err)
		}
		return time.Duration(math.Min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, fmt.Errorf("parse date: %w", err)
	}
	if sentAt, err := http.ParseTime(h.Get("Date")); err == nil {
		wall = sentAt
	}
	return min(max(until.Sub(wall), 0), MaxRetryAfter), nil
}
