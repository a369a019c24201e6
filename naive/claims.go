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

// ClaimKind is the kind of the store objects, each of which holds one claim.
const ClaimKind = "claims"

// Claims grants each claim with one conditional update of a store object. Its function fields are the
// calls of the platform store.
type Claims struct {
	Get    func(ctx context.Context, kind, name string) (store.Object, error)
	Put    func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	Delete func(ctx context.Context, kind, name string, ifVersion int) error
}

// NewClaims returns Claims that use the store client c.
func NewClaims(c *store.Client) *Claims {
	return &Claims{Get: c.Get, Put: c.Put, Delete: c.Delete}
}

// Claim requests a claim. It is granted only if the store confirms the conditional update, or if
// reading the claim back shows that the update was applied.
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

// readBack decides a claim after a conflict or a lost response, from the claim in the store.
func (c *Claims) readBack(ctx context.Context, now time.Time, r dedup.Request) (dedup.Decision, error) {
	obj, err := c.Get(ctx, ClaimKind, r.StoredKey())
	if trace.IsNotFound(err) {
		// The update with the lost response is not applied yet, but may be applied later. The
		// request is not sent, so a claim that is stored later only leaves the outcome of the key
		// unknown.
		return unavailable(), nil
	}
	if err != nil {
		return unavailable(), fmt.Errorf("read back claim: %w", err)
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

// Finish records the final state of a granted claim, and the response if it is to be stored. If Finish
// fails, the claim stays granted and later becomes unknown.
func (c *Claims) Finish(ctx context.Context, now time.Time, r dedup.Request, d dedup.Decision, state wire.ClaimState, response string) error {
	claim := dedup.NewClaim(now, r)
	claim.State, claim.Answer = state, response
	if _, err := c.Put(ctx, ClaimKind, r.StoredKey(), d.Version, claim); err != nil {
		return fmt.Errorf("finish claim: %w", err)
	}
	return nil
}

// Release deletes a granted claim whose request was definitely not sent.
func (c *Claims) Release(ctx context.Context, r dedup.Request, d dedup.Decision) error {
	if err := c.Delete(ctx, ClaimKind, r.StoredKey(), d.Version); err != nil {
		return fmt.Errorf("release claim: %w", err)
	}
	return nil
}
