package naive

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// MemoryClaims implements the rules for claims on idempotency keys in the simplest form: a map, for
// one process that never fails.
type MemoryClaims struct{ claims map[string]wire.Claim }

// Claim grants a key that is unclaimed or whose claim has expired.
func (m *MemoryClaims) Claim(now time.Time, r dedup.Request) dedup.Verdict {
	if m.claims == nil {
		m.claims = make(map[string]wire.Claim)
	}
	claim, exists := m.claims[r.StoredKey()]
	if exists && !dedup.Expired(now, claim) {
		return dedup.Decide(now, r, claim).Verdict
	}
	m.claims[r.StoredKey()] = dedup.NewClaim(now, r)
	return dedup.Granted
}

// Finish records the final state of a granted claim. A released key can be claimed again.
func (m *MemoryClaims) Finish(r dedup.Request, state wire.ClaimState) {
	claim, exists := m.claims[r.StoredKey()]
	if !exists || claim.Grant != r.GrantID || claim.State != wire.ClaimStateGranted {
		return
	}
	if state == wire.ClaimStateReleased {
		delete(m.claims, r.StoredKey())
		return
	}
	claim.State = state
	m.claims[r.StoredKey()] = claim
}
