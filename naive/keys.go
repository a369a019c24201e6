package naive

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Keys is the rule of claims written plainly, for one process that never fails:
// a map.
type Keys struct{ claims map[string]wire.Claim }

// Claim grants a key that is free.
func (k *Keys) Claim(now time.Time, r dedup.Request) dedup.Verdict {
	if k.claims == nil {
		k.claims = make(map[string]wire.Claim)
	}
	c, used := k.claims[r.StoredKey()]
	if used && !dedup.Expired(now, c) {
		return dedup.Decide(now, r, c).Verdict
	}
	k.claims[r.StoredKey()] = dedup.NewClaim(now, r)
	return dedup.Granted
}

// End records how a granted claim ended; a released one is free again.
func (k *Keys) End(r dedup.Request, state wire.ClaimState) {
	c, used := k.claims[r.StoredKey()]
	if !used || c.Grant != r.GrantID || c.State != wire.ClaimStateGranted {
		return
	}
	if state == wire.ClaimStateReleased {
		delete(k.claims, r.StoredKey())
		return
	}
	c.State = state
	k.claims[r.StoredKey()] = c
}
