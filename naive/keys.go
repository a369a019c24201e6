package naive

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Keys implements the rules for claims on idempotency keys in the simplest form: a map, for one process
// that never fails.
type Keys struct{ claims map[string]wire.Claim }

// Claim grants a key that is unclaimed or whose claim has expired.
func (k *Keys) Claim(now time.Time, r dedup.Request) dedup.Verdict {
	if k.claims == nil {
		k.claims = make(map[string]wire.Claim)
	}
	c, used := k.claims[r.StoredKey()]
	if used && !dedup.Expired(now, c) {
		return dedup.Judge(now, r, c).Verdict
	}
	k.claims[r.StoredKey()] = dedup.NewClaim(now, r)
	return dedup.Granted
}

// End records the final state of a granted claim. A released key can be claimed again.
func (k *Keys) End(r dedup.Request, state wire.ClaimState) {
	c, used := k.claims[r.StoredKey()]
	if !used || c.Grant != r.Grant || c.State != wire.ClaimStateGranted {
		return
	}
	if state == wire.ClaimStateReleased {
		delete(k.claims, r.StoredKey())
		return
	}
	c.State = state
	k.claims[r.StoredKey()] = c
}
