package conns

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
)

// Guards against a timeout that overflows, so that a connection counts as closed as soon as it is unused, or for ever.
func TestKeepAliveTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                              0,
		"max=5":                         0,
		"timeout=5":                     5 * time.Second,
		"max=5, Timeout=7":              7 * time.Second,
		"timeout=-5":                    0,
		"timeout=x":                     0,
		"timeout=10000000000":           clock.MaxDuration,
		"timeout=18446744078":           clock.MaxDuration,
		"timeout=9223372036854775807":   clock.MaxDuration,
		"timeout=999999999999999999999": clock.MaxDuration,
		"timeout=-99999999999999999999": 0,
	} {
		t.Run(value, func(t *testing.T) { require.Equal(t, want, keepAliveTimeout(http.Header{"Keep-Alive": {value}})) })
	}
}
