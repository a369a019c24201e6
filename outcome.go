package hibiscuscart

import "fmt"

// OutcomeHeader is the response header that carries the Outcome of a request. A
// stream that has started has none, because its headers are sent before its end.
const OutcomeHeader = "Hibiscuscart-Outcome"

// Outcome is what a caller may conclude about a request that has ended.
type Outcome int

const (
	// OutcomeUnknown means that the request was sent to a backend server and its
	// end was not observed. It is the zero value, so that an unhandled case
	// guarantees nothing.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request provably reached no backend server.
	OutcomeNotRun
	// OutcomeDone means that the request ran and its response is complete.
	OutcomeDone
)

var outcomeNames = [...]string{"unknown", "not_run", "done"}

// String returns the name used in headers, logs and problem documents.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// ParseOutcome returns the Outcome for a name returned by String.
func ParseOutcome(s string) (Outcome, error) {
	for i, name := range outcomeNames {
		if s == name {
			return Outcome(i), nil
		}
	}
	return OutcomeUnknown, fmt.Errorf("outcome %q is not one of unknown, not_run, done", s)
}
