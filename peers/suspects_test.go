package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Guards against what is known of parts of prompts being lost on the way to another VM.
func TestPartsOfPromptsOnTheWire(t *testing.T) {
	suspects := []poison.PartSuspect{
		{Part: "tied", Crashes: 4, BlockedFor: time.Minute, Tied: []poison.Part{"other", "tied"}},
		{Part: "alone", Crashes: 4, BlockedFor: time.Minute},
		{Part: "suspected", Crashes: 2},
	}
	require.Equal(t, suspects, partSuspectsOf(suspectParts(suspects, false)))
	require.Equal(t, suspects[:2], partSuspectsOf(suspectParts(suspects, true)))

	report := poison.PartReport{
		Crashes:  []poison.PartCrash{{Server: "s", Parts: []poison.Part{"a", "b"}, Depths: []int{0, 1}}},
		Survived: []poison.Part{"c"},
		Alone:    []poison.Part{"a"},
	}
	var sent wire.VMReport
	addPartReport(&sent, report)
	require.Equal(t, report, partReportOf(&sent))
}
