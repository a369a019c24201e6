package naive

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// ClaimKind is the kind of the objects that hold one claim each.
const ClaimKind = "claims"

// Claims grants claims with one conditional update each. Its function fields
// are the platform's calls.
type Claims struct {
	Get    func(ctx context.Context, kind, name string) (store.Object, error)
	Put    func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	Delete func(ctx context.Context, kind, name string, ifVersion int) error
}

// NewClaims returns Claims that use a client.
func NewClaims(c *store.Client) *Claims {
	return &Claims{Get: c.Get, Put: c.Put, Delete: c.Delete}
}

// Claim asks for a claim. It is granted only when the platform has answered
// that the update won, or when reading back shows that it did.
func (c *Claims) Claim(ctx context.Context, now time.Time, r dedup.Request) (dedup.Decision, error) {
	return c.claimAt(ctx, now, r, 0)
}

func (c *Claims) claimAt(ctx context.Context, now time.Time, r dedup.Request, ifVersion int) (dedup.Decision, error) {
	version, err := c.Put(ctx, ClaimKind, r.StoredKey(), ifVersion, dedup.NewClaim(now, r))
	switch {
	case err == nil:
		return dedup.Decision{Verdict: dedup.Granted, GrantID: r.GrantID, Version: version}, nil
	case store.IsConflict(err), store.IsResponseLost(err):
		return c.readBack(ctx, now, r)
	}
	return unavailable(), fmt.Errorf("claim: %w", err)
}

// readBack settles a conflict or a lost answer by what the platform holds.
func (c *Claims) readBack(ctx context.Context, now time.Time, r dedup.Request) (dedup.Decision, error) {
	obj, err := c.Get(ctx, ClaimKind, r.StoredKey())
	if trace.IsNotFound(err) {
		// The lost update has not taken effect, though it still may. The
		// request is not sent, so a claim that appears later only leaves the
		// key unknown.
		return unavailable(), nil
	}
	if err != nil {
		return unavailable(), fmt.Errorf("read claim back: %w", err)
	}
	var claim wire.Claim
	if err := json.Unmarshal(obj.Value, &claim); err != nil {
		return unavailable(), fmt.Errorf("decode claim: %w", err)
	}
	if claim.Grant != r.GrantID && dedup.Expired(now, claim) {
		return c.claimAt(ctx, now, r, obj.Version)
	}
	d := dedup.Decide(now, r, claim)
	d.Version = obj.Version
	return d, nil
}

func unavailable() dedup.Decision {
	return dedup.Decision{Verdict: dedup.Unavailable, RetryAfter: dedup.UnavailableRetryAfter}
}

// Finish records how a granted request ended, with its answer if it is to be
// kept. When it fails, the claim stays granted and turns unknown.
func (c *Claims) Finish(ctx context.Context, now time.Time, r dedup.Request, d dedup.Decision, state wire.ClaimState, answer string) error {
	claim := dedup.NewClaim(now, r)
	claim.State, claim.Answer = state, answer
	if _, err := c.Put(ctx, ClaimKind, r.StoredKey(), d.Version, claim); err != nil {
		return fmt.Errorf("finish claim: %w", err)
	}
	return nil
}

// Release gives up a granted claim whose request provably was not sent.
func (c *Claims) Release(ctx context.Context, r dedup.Request, d dedup.Decision) error {
	if err := c.Delete(ctx, ClaimKind, r.StoredKey(), d.Version); err != nil {
		return fmt.Errorf("release claim: %w", err)
	}
	return nil
}
