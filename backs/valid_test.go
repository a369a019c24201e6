package backs_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// oddEntries change an entry so that no server can have it.
func oddEntries() map[string]func(*backs.Entry) {
	return map[string]func(*backs.Entry){
		"port":            func(e *backs.Entry) { e.Address = "127.0.0.1:99999" },
		"host":            func(e *backs.Entry) { e.Address = "a b:80" },
		"slots":           func(e *backs.Entry) { e.Slots = math.MaxInt },
		"warm-up":         func(e *backs.Entry) { e.WarmupRemaining = math.MaxInt64 },
		"start":           func(e *backs.Entry) { e.Name, e.StartedAt = e.ID, time.UnixMilli(math.MaxInt64) },
		"service":         func(e *backs.Entry) { e.Service = "a\nb" },
		"many models":     func(e *backs.Entry) { e.Models = []backs.LoadedModel{{Model: "m", Adapters: manyNames()}} },
		"model's version": func(e *backs.Entry) { e.Models = []backs.LoadedModel{{Model: "m", Version: math.MinInt}} },
	}
}

func manyNames() []string { return strings.Split(strings.Repeat("adapter,", 100_000), ",") }

// Guards against an odd entry that a VM of an older build passes on: the server is not used, what is known of it stays,
// and the servers beside it stay in use.
func TestOddStateFromOlderBuild(t *testing.T) {
	for name, change := range oddEntries() {
		for _, full := range []bool{true, false} {
			for _, known := range []bool{true, false} {
				t.Run(map[bool]string{true: "full, ", false: "changes, "}[full]+name+map[bool]string{true: ", known", false: ", new"}[known], func(t *testing.T) {
					var hub, v backs.View
					before := []backs.Entry{entry("a"), entry("b")}
					if !known {
						before = before[1:]
					}
					hub.Replace(at(0), before)
					states, revision := hub.Since(at(0), 0)
					v.Merge(at(0), backs.Update{States: states, Full: true})

					odd := entry("a")
					change(&odd)
					require.Error(t, odd.Validate())
					if odd.StartedAt.IsZero() {
						hub.Put(at(5), odd)
						if full {
							revision = 0
						}
						states, _ = hub.Since(at(5), revision)
					} else {
						states = []backs.State{{Entry: odd}, {Entry: entry("b")}}
					}
					v.Merge(at(5), backs.Update{States: states, Full: full})
					require.False(t, v.Usable(at(5), "a"))
					require.True(t, v.Usable(at(5), "b"))
					for _, stored := range v.StoredEntries(at(5)) {
						require.NoError(t, stored.Validate(), "an odd entry goes no further")
					}

					v.Merge(at(10), backs.Update{States: []backs.State{{Entry: entry("a")}}})
					require.True(t, v.Usable(at(10), "a"), "it is used again as soon as its entry is sound")
				})
			}
		}
	}
}
