package limit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate replaces lower rates, in requests per second. Some requests must still be sent,
	// because only a response shows that a limit has ended.
	minRate = 0.2
	// maxWait bounds the wait before the next attempt, because the limit may have ended.
	maxWait = 2 * time.Second
	// contendedThreshold is the average share of refused attempts at which a bucket becomes
	// contended. smoothingFactor is the weight of the latest attempt in that average.
	contendedThreshold = 0.4
	smoothingFactor    = 0.2
	// minWait keeps short waits apart from a permit when they are rounded.
	minWait = time.Millisecond
)

// bucket is a token bucket with a capacity of one permit. The zero value is ready to use. It starts
// empty, because requests sent before the limit was known count against it.
type bucket struct {
	limiter *rate.Limiter
	rate    float64
	// refused counts the refusals since the last permit.
	refused int
	// refusedShare is the exponentially weighted moving average of refused attempts.
	refusedShare float64
	// contended is set when refusedShare reaches contendedThreshold. It is not reset when the
	// share falls, because requests then go to other servers.
	contended bool
}

// acquire acquires a permit and returns 0, or returns how long to wait before the next attempt. Each
// consecutive refusal adds the time of one permit to the wait, so that callers do not retry at the
// same time.
func (b *bucket) acquire(now time.Time, perSecond float64) time.Duration {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
		b.limiter.AllowN(now, 1)
	} else if b.rate != perSecond {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	b.rate = perSecond
	allowed := b.limiter.AllowN(now, 1)
	b.recordAttempt(allowed)
	if allowed {
		b.refused = 0
		return 0
	}
	permits := 1 - b.limiter.TokensAt(now) + float64(b.refused)
	b.refused++
	return min(max(time.Duration(permits/perSecond*float64(time.Second)), minWait), maxWait)
}

func (b *bucket) recordAttempt(allowed bool) {
	refused := 1.0
	if allowed {
		refused = 0
	}
	b.refusedShare += smoothingFactor * (refused - b.refusedShare)
	b.contended = b.contended || b.refusedShare >= contendedThreshold
}
