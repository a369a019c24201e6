package relay_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/relay"
)

// A fixed seed generates the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

func text(attempt string, seq int, s string) hibiscuscart.Frame {
	return hibiscuscart.Frame{Attempt: attempt, Sequence: seq, Text: s}
}

func end(seq int) hibiscuscart.Frame { return hibiscuscart.Frame{Sequence: seq, End: true} }

func TestAccept(t *testing.T) {
	cases := map[string]struct {
		frames   []hibiscuscart.Frame
		verdicts []relay.Verdict
		text     string
		complete bool
		err      error
	}{
		"complete": {
			frames:   []hibiscuscart.Frame{text("a", 1, "x"), text("a", 2, "y"), end(3)},
			verdicts: []relay.Verdict{relay.Deliver, relay.Deliver, relay.Complete}, text: "xy", complete: true,
		},
		"frame of another attempt": {
			frames:   []hibiscuscart.Frame{text("a", 1, "x"), text("b", 2, "no"), text("a", 2, "y")},
			verdicts: []relay.Verdict{relay.Deliver, relay.DropForeign, relay.Deliver}, text: "xy",
		},
		"repeated frame": {
			frames:   []hibiscuscart.Frame{text("a", 1, "x"), text("a", 1, "x"), text("a", 2, "y")},
			verdicts: []relay.Verdict{relay.Deliver, relay.DropRepeated, relay.Deliver}, text: "xy",
		},
		"missing frame": {
			frames:   []hibiscuscart.Frame{text("a", 1, "x"), text("a", 3, "z")},
			verdicts: []relay.Verdict{relay.Deliver, relay.DropForeign}, text: "x", err: relay.ErrGap,
		},
		"end frame after a missing frame": {
			frames:   []hibiscuscart.Frame{text("a", 1, "x"), end(5)},
			verdicts: []relay.Verdict{relay.Deliver, relay.DropForeign}, text: "x", err: relay.ErrGap,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var a relay.Assembly
			a.Restart("a")
			var last error
			for i, f := range c.frames {
				v, _, err := a.Accept(f)
				require.Equal(t, c.verdicts[i], v, "frame %d", i)
				last = err
			}
			require.ErrorIs(t, last, c.err)
			require.Equal(t, c.text, a.Text())
			require.Equal(t, c.complete, a.IsComplete())
		})
	}
}

// An engine writes text without an end. Guards against a VM that keeps it until its memory is used up.
func TestEndlessText(t *testing.T) {
	const most = 8 << 20
	var a relay.Assembly
	a.Restart("a")
	piece := strings.Repeat("x", 1<<10)
	for i := 1; ; i++ {
		_, _, err := a.Accept(text("a", i, piece))
		require.Less(t, len(a.Text()), most)
		if err != nil {
			require.ErrorIs(t, err, relay.ErrTooLong)
			return
		}
	}
}

func TestDivergedRestart(t *testing.T) {
	var a relay.Assembly
	a.Restart("a.1")
	_, _, err := a.Accept(text("a.1", 1, "peanut "))
	require.NoError(t, err)
	a.Restart("a.2")
	_, _, err = a.Accept(text("a.2", 1, "sesame "))
	require.ErrorIs(t, err, relay.ErrDiverged)

	a.Restart("a.3")
	_, _, err = a.Accept(end(1))
	require.ErrorIs(t, err, relay.ErrDiverged, "a response shorter than the delivered text")
}

// TestEachTokenOnce breaks runs at random points, resumes and restarts them, splits the
// text into other frames at each restart, and adds repeated and foreign frames. The
// delivered text must always be the response, exactly once.
func TestEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,4} `), 1, 12).Draw(t, "words")
		response := strings.Join(words, "")
		var a relay.Assembly
		var got strings.Builder
		for run := 1; !a.IsComplete(); run++ {
			attempt := fmt.Sprintf("a.%d", run)
			a.Restart(attempt)
			frames := splitFrames(t, attempt, response)
			stop := len(frames)
			if run < 4 {
				stop = rapid.IntRange(0, len(frames)).Draw(t, "stop")
			}
			for _, f := range frames[:stop] {
				for _, sent := range addStrayFrames(t, f) {
					v, newText, err := a.Accept(sent)
					require.NoError(t, err)
					if v == relay.Deliver {
						got.WriteString(newText)
					}
				}
			}
		}
		require.Equal(t, response, got.String())
	})
}

func splitFrames(t *rapid.T, attempt, response string) []hibiscuscart.Frame {
	var frames []hibiscuscart.Frame
	for len(response) > 0 {
		n := rapid.IntRange(1, len(response)).Draw(t, "cut")
		frames = append(frames, text(attempt, len(frames)+1, response[:n]))
		response = response[n:]
	}
	return append(frames, end(len(frames)+1))
}

func addStrayFrames(t *rapid.T, f hibiscuscart.Frame) []hibiscuscart.Frame {
	sent := []hibiscuscart.Frame{f}
	if rapid.Bool().Draw(t, "foreign") {
		sent = append([]hibiscuscart.Frame{text("other", f.Sequence, "other ")}, sent...)
	}
	if rapid.Bool().Draw(t, "repeated") && !f.End {
		sent = append(sent, f)
	}
	return sent
}
