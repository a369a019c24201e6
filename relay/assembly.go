// Package relay decides which frames of the attempts at a request belong to
// the answer, so that the caller gets each token of its own answer once. It
// does no I/O.
package relay

import (
	"errors"
	"strings"

	"github.com/hibiscuscart/hibiscuscart"
)

// Verdict says what to do with a frame.
type Verdict int

const (
	// Deliver means that the text is new and goes to the caller.
	Deliver Verdict = iota
	// DropForeign means that the frame belongs to another attempt.
	DropForeign
	// DropRepeated means that the frame was seen before.
	DropRepeated
	// DropReplayed means that the frame repeats text of an earlier attempt.
	DropReplayed
	// Whole means that the end frame came and the answer is complete.
	Whole
)

// Errors that end an attempt.
var (
	// ErrGap: a frame is missing; resume after Last.
	ErrGap = errors.New("a frame is missing")
	// ErrDiverged: a restarted run gave other text than the caller has already
	// been given; the two can not be joined.
	ErrDiverged = errors.New("the restarted run differs from what was delivered")
)

// Assembly joins the frames of successive attempts to one answer. The zero
// value waits for its first Restart.
type Assembly struct {
	attempt string
	last    int
	// delivered is the text given to the caller; replay is how much of it the
	// current attempt still has to repeat.
	delivered strings.Builder
	replayed  int
	tokens    int
	finish    string
	whole     bool
}

// Restart begins a new run under a new attempt identifier.
func (a *Assembly) Restart(attempt string) {
	a.attempt = attempt
	a.last = 0
	a.replayed = 0
}

// Last returns the sequence number after which the attempt is to be resumed.
func (a *Assembly) Last() int { return a.last }

// Tokens returns how many frames were delivered.
func (a *Assembly) Tokens() int { return a.tokens }

// Text returns the text delivered so far.
func (a *Assembly) Text() string { return a.delivered.String() }

// Finish returns the reason for which generation stopped.
func (a *Assembly) Finish() string { return a.finish }

// IsWhole reports whether the end frame has come.
func (a *Assembly) IsWhole() bool { return a.whole }

// Accept judges a frame. With Deliver it returns the text for the caller.
//
// The connection of the attempt vouches for the end frame, which carries no
// identifier of its own; its sequence number still has to be the next.
func (a *Assembly) Accept(f hibiscuscart.Frame) (Verdict, string, error) {
	if !f.End && f.Attempt != a.attempt {
		return DropForeign, "", nil
	}
	if f.Sequence <= a.last {
		return DropRepeated, "", nil
	}
	if f.Sequence != a.last+1 {
		return DropForeign, "", ErrGap
	}
	if f.End {
		return a.end()
	}
	a.last = f.Sequence
	if f.FinishReason != "" {
		a.finish = f.FinishReason
	}
	return a.take(f.Text)
}

func (a *Assembly) end() (Verdict, string, error) {
	if a.replayed < a.delivered.Len() && a.tokens > 0 {
		return DropReplayed, "", ErrDiverged
	}
	a.whole = true
	return Whole, "", nil
}

// take delivers text, less what repeats an earlier attempt.
func (a *Assembly) take(text string) (Verdict, string, error) {
	missing := a.delivered.String()[a.replayed:]
	if len(text) <= len(missing) {
		if !strings.HasPrefix(missing, text) {
			return DropReplayed, "", ErrDiverged
		}
		a.replayed += len(text)
		return DropReplayed, "", nil
	}
	if !strings.HasPrefix(text, missing) {
		return DropReplayed, "", ErrDiverged
	}
	fresh := text[len(missing):]
	a.delivered.WriteString(fresh)
	a.replayed = a.delivered.Len()
	a.tokens++
	return Deliver, fresh, nil
}
