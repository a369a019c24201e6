// Package relay decides which frames of a request's attempts belong to the response, so that
// the caller gets each token exactly once. It does no I/O.
package relay

import (
	"errors"
	"strings"

	"github.com/hibiscuscart/hibiscuscart"
)

// Verdict is the decision on a frame.
type Verdict int

const (
	// Deliver means that the text is new and is sent to the caller.
	Deliver Verdict = iota
	// DropForeign means that the frame belongs to another attempt.
	DropForeign
	// DropRepeated means that the frame was received before.
	DropRepeated
	// DropReplayed means that the frame repeats text of an earlier attempt.
	DropReplayed
	// Complete means that the end frame arrived and the response is complete.
	Complete
)

// Errors that end an attempt.
var (
	// ErrGap is returned when a frame is missing. The attempt is resumed after
	// LastSequence.
	ErrGap = errors.New("frame sequence has a gap")
	// ErrDiverged is returned when a restarted run generates text that differs from the
	// text already sent to the caller. The two can't be joined.
	ErrDiverged = errors.New("text of the restarted run differs from the delivered text")
	// ErrTooLong is returned when the text is longer than maxTextBytes.
	ErrTooLong = errors.New("text is longer than any run writes")
)

// maxTextBytes bounds the text of a response. It is kept until the response ends, and a faulty engine may write without end;
// the longest sound ones have less than a million bytes.
const maxTextBytes = 4 << 20

// Assembly joins the frames of successive attempts into one response. Restart must be called
// before the first frame.
type Assembly struct {
	attemptID    string
	lastSequence int
	// delivered is the text sent to the caller; replayed is how many bytes of it the
	// current attempt has repeated.
	delivered       strings.Builder
	replayed        int
	deliveredFrames int
	finishReason    string
	complete        bool
}

// Restart begins a new run with the given attempt identifier.
func (a *Assembly) Restart(attemptID string) {
	a.attemptID = attemptID
	a.lastSequence = 0
	a.replayed = 0
}

// LastSequence returns the sequence number after which the attempt is to be resumed.
func (a *Assembly) LastSequence() int { return a.lastSequence }

// DeliveredFrames returns how many frames were delivered.
func (a *Assembly) DeliveredFrames() int { return a.deliveredFrames }

// Text returns the text delivered so far.
func (a *Assembly) Text() string { return a.delivered.String() }

// FinishReason returns the reason for which generation stopped.
func (a *Assembly) FinishReason() string { return a.finishReason }

// IsComplete reports whether the end frame has arrived.
func (a *Assembly) IsComplete() bool { return a.complete }

// Accept decides on a frame. With Deliver it returns the text for the caller.
//
// The end frame carries no attempt identifier; the attempt's connection identifies it. Its
// sequence number still has to be the next one.
func (a *Assembly) Accept(f hibiscuscart.Frame) (Verdict, string, error) {
	if !f.End && f.Attempt != a.attemptID {
		return DropForeign, "", nil
	}
	if f.Sequence <= a.lastSequence {
		return DropRepeated, "", nil
	}
	if f.Sequence != a.lastSequence+1 {
		return DropForeign, "", ErrGap
	}
	if f.End {
		return a.acceptEnd()
	}
	a.lastSequence = f.Sequence
	if f.FinishReason != "" {
		a.finishReason = f.FinishReason
	}
	return a.deliverNew(f.Text)
}

func (a *Assembly) acceptEnd() (Verdict, string, error) {
	if a.replayed < a.delivered.Len() && a.deliveredFrames > 0 {
		return DropReplayed, "", ErrDiverged
	}
	a.complete = true
	return Complete, "", nil
}

// deliverNew delivers the part of text that does not repeat an earlier attempt.
func (a *Assembly) deliverNew(text string) (Verdict, string, error) {
	unreplayed := a.delivered.String()[a.replayed:]
	if len(text) <= len(unreplayed) {
		if !strings.HasPrefix(unreplayed, text) {
			return DropReplayed, "", ErrDiverged
		}
		a.replayed += len(text)
		return DropReplayed, "", nil
	}
	if !strings.HasPrefix(text, unreplayed) {
		return DropReplayed, "", ErrDiverged
	}
	newText := text[len(unreplayed):]
	if a.delivered.Len()+len(newText) > maxTextBytes {
		return DropForeign, "", ErrTooLong
	}
	a.delivered.WriteString(newText)
	a.replayed = a.delivered.Len()
	a.deliveredFrames++
	return Deliver, newText, nil
}
