package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Guards against a VM whose process starts again and again sending more retries than its part of the budget of
// all VMs.
func TestRestartsDoNotRenewRetries(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings + "[retries]\nshare = 0.2\nextra = 54\nwindow = 10s\n"))
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	o := &stand.ObjectStore{}
	allowed := 0
	for range 4 {
		n := New(Config{Settings: settings, Objects: o.Client(), Now: func() time.Time { return now }, Log: zerolog.Nop()})
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			if n.retryBudget("s").Allow(now) {
				allowed++
			}
		}
	}
	require.LessOrEqual(t, allowed, 54/8, "in 8 s, by one of 8 VMs")
}
