// Package dedup decides whether a request that may run at most once may run.
// It grants claims of idempotency keys only by a conditional update in the
// platform's object store. It does no I/O and reads no clock.
package dedup

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Key identifies a request that must not run twice. Keys of different callers
// or profiles are distinct.
type Key struct {
	Profile string
	Caller  string
	Key     string
}

// String returns the stored form of the key. It is a digest, because the
// caller's text may be long and must not be disclosed to the platform. Its 128
// bits make an accidental collision negligible.
func (k Key) String() string {
	text := fmt.Sprintf("%d:%s%d:%s%s", len(k.Profile), k.Profile, len(k.Caller), k.Caller, k.Key)
	return fmt.Sprintf("%016x%016x", xxhash.Sum64String("a"+text), xxhash.Sum64String("b"+text))
}

// Verdict is the result of a claim.
type Verdict int

const (
	// Unavailable means that no claim can be granted now. This attempt did not
	// run the request.
	Unavailable Verdict = iota
	// Granted means that the request may be sent, once.
	Granted
	// InProgress means that another request with the key is running.
	InProgress
	// AlreadyRan means that a request with the key has completed.
	AlreadyRan
	// Unknown means that a request with the key was granted and its outcome is
	// not known.
	Unknown
	// Mismatch means that the key was used before with another body.
	Mismatch
)

var verdictTexts = [...]string{"unavailable", "granted", "in_progress", "already_ran", "unknown", "mismatch"}

// String returns the name used in logs and messages.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictTexts) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictTexts[v]
}

// ParseVerdict returns the Verdict with a name returned by String, or
// Unavailable for any other name.
func ParseVerdict(s string) Verdict {
	for i, name := range verdictTexts {
		if s == name {
			return Verdict(i)
		}
	}
	return Unavailable
}

// Request is a request for a claim.
type Request struct {
	Key Key
	// Digest, when set, is the stored form of the key and is used instead of
	// Key.
	Digest string
	// BodyHash is the digest of the content of the request to run.
	BodyHash string
	// GrantID identifies this request for a claim, and its grant.
	GrantID string
	// InProgressTimeout is how long a granted request can be in progress. After
	// that time a claim without an outcome counts as unknown.
	InProgressTimeout time.Duration
	// Retention is how long the key is retained.
	Retention time.Duration
}

// StoredKey returns the stored form of the key.
func (r Request) StoredKey() string {
	if r.Digest != "" {
		return r.Digest
	}
	return r.Key.String()
}

// Decision is the reply to a Request.
type Decision struct {
	Verdict Verdict
	// Response is the stored response for AlreadyRan; empty if it was not
	// stored.
	Response string
	// GrantID identifies the grant under which the request may be sent.
	GrantID string
	// Version is the version of the object that holds a granted claim, if each
	// claim is stored in an object of its own.
	Version int
	// RetryAfter is the retry delay for InProgress and Unavailable.
	RetryAfter time.Duration
}

// NewClaim returns the stored claim of a granted request.
func NewClaim(now time.Time, r Request) wire.Claim {
	return wire.Claim{
		Key: r.StoredKey(), BodyHash: r.BodyHash, Grant: r.GrantID, State: wire.ClaimStateGranted,
		GrantedMs: int(now.UnixMilli()), RetainUntilMs: int(now.Add(r.Retention).UnixMilli()),
	}
}

// Expired reports whether the retention time of a claim has passed.
func Expired(now time.Time, c wire.Claim) bool {
	return now.After(time.UnixMilli(int64(c.RetainUntilMs)))
}

// Decide returns the decision on a request whose key already has a claim.
// Clock skew between VMs can only turn InProgress into Unknown or the reverse,
// and neither allows the request to run.
func Decide(now time.Time, r Request, c wire.Claim) Decision {
	if c.Grant == r.GrantID {
		return decideOwnGrant(c)
	}
	if c.BodyHash != r.BodyHash {
		return Decision{Verdict: Mismatch}
	}
	switch c.State {
	case wire.ClaimStateDone:
		return Decision{Verdict: AlreadyRan, Response: c.Answer}
	case wire.ClaimStateUnknown:
		return Decision{Verdict: Unknown}
	}
	inProgressUntil := time.UnixMilli(int64(c.GrantedMs)).Add(r.InProgressTimeout)
	if now.Before(inProgressUntil) {
		return Decision{Verdict: InProgress, RetryAfter: inProgressRetryAfter}
	}
	return Decision{Verdict: Unknown}
}

// decideOwnGrant decides on a request whose own grant is stored. It is granted
// only while no outcome is recorded: a request whose claim has an outcome must
// not be sent.
func decideOwnGrant(c wire.Claim) Decision {
	if c.State == wire.ClaimStateGranted {
		return Decision{Verdict: Granted, GrantID: c.Grant}
	}
	return Decision{Verdict: Unavailable, RetryAfter: UnavailableRetryAfter}
}

// Retry delays returned to callers.
const (
	// UnavailableRetryAfter is the retry delay for Unavailable.
	UnavailableRetryAfter = time.Second
	inProgressRetryAfter  = time.Second
)
