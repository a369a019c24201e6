package limit

import (
	"math"
	"time"
)

const (
	// toleranceShare is the share of a quota's tolerance by which a bucket may be overdrawn, so that
	// large requests are not starved by small ones. The rest of the tolerance is for late reports.
	toleranceShare = 0.5
	// rankReserve is the share of the capacity that a request must leave per step of its rank, so
	// that the most urgent requests of a team get the last tokens. maxReserve bounds it.
	rankReserve = 0.15
	maxReserve  = 0.6
)

// Take takes the tokens of a request from this VM's bucket, which at a VM with a root is a substitute for an answer of
// the root. If granted is set, the request may be sent after wait; otherwise its caller should retry after wait. known
// is false if the team has no quota here.
func (q *Quotas) Take(now time.Time, r QuotaRequest) (wait time.Duration, granted, known bool) {
	q.mu.Lock()
	t := q.teams[r.Team]
	if t == nil {
		q.mu.Unlock()
		return 0, false, false
	}
	q.refill(now, t)
	wait, granted = q.take(now, t, r)
	if granted && !q.root {
		t.unreported += r.Tokens
	}
	becameTight := q.updateTight(now, t)
	q.mu.Unlock()
	q.notifyTight(becameTight)
	return wait, granted, true
}

// take grants or refuses a request. q.mu must be held.
func (q *Quotas) take(now time.Time, t *teamQuota, r QuotaRequest) (wait time.Duration, granted bool) {
	capacity, rate := q.capacity(t), q.share*t.quota.PerSecond
	required := max(min(rankReserve*float64(r.Rank), maxReserve)*capacity, float64(r.Tokens)-q.overdraft(t))
	if t.level > required {
		t.level -= float64(r.Tokens)
		return 0, true
	}
	if required >= capacity || rate <= 0 {
		return maxWait, false
	}
	wait = durationOf((required-t.level)/rate) + time.Microsecond
	if wait <= r.Patience {
		t.level -= float64(r.Tokens)
		return wait, true
	}
	// Each refused caller is told a time at which there are tokens for it, after those told before.
	at := now.Add(wait)
	if t.promisedUntil.After(at) {
		at = t.promisedUntil
	}
	t.promisedUntil = at.Add(min(durationOf(float64(r.Tokens)/rate), maxWait))
	return min(at.Sub(now), maxWait), false
}

// Spend records the use, or with a negative number the return, of a team's tokens that were taken
// without asking, and are to be reported to the root.
func (q *Quotas) Spend(now time.Time, team string, tokens int) { q.record(now, team, tokens, true) }

// Granted records the use of tokens that the root has granted to this VM's subtree.
func (q *Quotas) Granted(now time.Time, team string, tokens int) { q.record(now, team, tokens, false) }

func (q *Quotas) record(now time.Time, team string, tokens int, report bool) {
	q.mu.Lock()
	t := q.teams[team]
	if t == nil {
		q.mu.Unlock()
		return
	}
	q.refill(now, t)
	t.level -= float64(tokens)
	q.clamp(t)
	if report && !q.root {
		t.unreported += tokens
	}
	becameTight := q.updateTight(now, t)
	q.mu.Unlock()
	q.notifyTight(becameTight)
}

// TakeReport returns the uses that are to be reported to the root, sorted by team.
func (q *Quotas) TakeReport() []Spend {
	return q.list(func(t *teamQuota) int {
		unreported := t.unreported
		t.unreported = 0
		return unreported
	})
}

// overdraft returns the number of tokens by which one request may overdraw a team's bucket. q.mu must
// be held.
func (q *Quotas) overdraft(t *teamQuota) float64 {
	perWindow := q.rules.Window.Seconds()*t.quota.PerSecond + t.quota.Burst
	return q.share * toleranceShare * (q.rules.Overshoot*perWindow + q.rules.Slack)
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds*float64(time.Second), float64(time.Hour)))
}
