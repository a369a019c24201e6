package hibiscuscart

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Profile is an accepted profile document with its version. It is immutable; a
// change creates a new Profile with a higher version.
type Profile struct {
	version int
	doc     wire.Profile
}

// NewProfile returns the Profile for a validated document. The version is that
// of the platform's object that contains the document.
func NewProfile(version int, doc wire.Profile) Profile {
	return Profile{version: version, doc: doc}
}

// Name returns the name by which callers select the profile.
func (p Profile) Name() string { return p.doc.Name }

// Version returns the version of the platform's object that contains the
// document.
func (p Profile) Version() int { return p.version }

// Retired reports whether the profile has been taken out of service.
func (p Profile) Retired() bool { return p.doc.Retired }

// IsService reports whether plain HTTP services serve the profile instead of
// inference engines.
func (p Profile) IsService() bool { return p.doc.Backend == wire.ProfileBackendService }

// Pool returns the name of the pool of backend servers that serve the profile.
func (p Profile) Pool() string { return p.doc.Pool }

// Models returns the models that the profile deploys. The caller must not
// modify the slice.
func (p Profile) Models() []wire.Model { return p.doc.Models }

// Model returns the named model and whether the profile deploys it.
func (p Profile) Model(name string) (wire.Model, bool) {
	i := slices.IndexFunc(p.doc.Models, func(m wire.Model) bool { return m.Name == name })
	if i < 0 {
		return wire.Model{}, false
	}
	return p.doc.Models[i], true
}

// FirstTokenTarget returns the target for the time to the first token.
func (p Profile) FirstTokenTarget() time.Duration { return milliseconds(p.doc.FirstTokenMs) }

// BetweenTokensTarget returns the target for the time between two tokens.
func (p Profile) BetweenTokensTarget() time.Duration { return milliseconds(p.doc.BetweenTokensMs) }

// ResponseTimeout returns the target for the time to the complete response. A
// request is canceled after this time.
func (p Profile) ResponseTimeout() time.Duration { return milliseconds(p.doc.WholeAnswerMs) }

// RunsAllowed returns how many times a request may be executed: 1 if requests
// are not idempotent.
func (p Profile) RunsAllowed() int { return max(p.doc.RunsAllowed, 1) }

// AtMostOnce reports whether a request may be executed at most once.
func (p Profile) AtMostOnce() bool { return p.RunsAllowed() == 1 }

// Priority returns the priority; 9 is the most urgent.
func (p Profile) Priority() int { return p.doc.Priority }

// ConcurrencyLimit returns how many requests may be in progress on all VMs
// together.
func (p Profile) ConcurrencyLimit() int { return p.doc.ConcurrencyLimit }

// QueueLimit returns how many requests may be queued on each VM.
func (p Profile) QueueLimit() int { return p.doc.QueueLimit }

// MaxTokens returns the maximum number of tokens of a response.
func (p Profile) MaxTokens() int { return p.doc.MaxTokens }

// KeyRetention returns how long an idempotency key is retained.
func (p Profile) KeyRetention() time.Duration {
	return time.Duration(p.doc.KeyRetentionS) * time.Second
}

// AttainmentWeight returns the weight of target attainment against the number of
// model loads and unloads, from 0 to 1.
func (p Profile) AttainmentWeight() float64 { return p.doc.AttainmentWeight }

// CallerWeight returns the weight of a caller in fair sharing; 1 if none is set.
func (p Profile) CallerWeight(caller string) int {
	for _, w := range p.doc.CallerWeights {
		if w.Caller == caller {
			return w.Weight
		}
	}
	return 1
}

// Document returns the profile document.
func (p Profile) Document() wire.Profile { return p.doc }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
