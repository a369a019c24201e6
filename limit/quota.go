package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Load pattern: the requests of a team arrive at all VMs, a few a second at each, and one of them may
// take as much as a VM's equal part of the quota earns in half a minute. So no VM can hold a part of
// its own. Most teams use about half of their quota, and one now and then sends several times its
// quota for some seconds.
//
// The VMs form a tree. The one at its root, normally the controller, holds a token bucket for each
// team. While a bucket is well filled, the team's requests are sent at once and only reported, with the
// loads. When it runs low, the root announces the team as tight, and each of its requests then takes
// its tokens from the root before it is sent. The reports are older than the bucket by some hundred
// milliseconds, which the burst and the tolerance of the quota cover.
//
// Each VM also keeps a bucket with its subtree's part of each quota, less all that its subtree uses. It
// takes tokens from that bucket when the root does not answer, and when it has lost the root and is the
// root of its subtree itself. The root gives that part up when it loses the subtree, and gets the level
// of the bucket when the subtree links again. So the parts of all roots add up to one quota, whoever is
// cut off, and a process that starts brings an empty bucket.

// maxDebt is how far a bucket may be below zero, as a multiple of its capacity. A subtree with more than its part of a
// team's requests would otherwise refuse them all for long after it has lost the root.
const maxDebt = 2

// Quota is the limit of a team for all VMs together, in units per second and units.
type Quota struct {
	Team             string
	PerSecond, Burst float64
}

// QuotaRules is the tolerance of the quotas: in each Window, a team may use PerSecond x Window + Burst,
// times 1 + Overshoot, plus Slack.
type QuotaRules struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// QuotaRequest is a request for a team's tokens.
type QuotaRequest struct {
	Team   string
	Tokens int
	// Rank is the priority within the team; 0 is the highest.
	Rank int
	// Patience is how long the request can wait for its tokens.
	Patience time.Duration
}

// Spend is a use of a team's quota; Tokens is negative for tokens returned.
type Spend struct {
	Team   string
	Tokens int
}

// Quotas holds the quotas of all teams at one VM. The zero value has no quotas. It is safe for
// concurrent use.
type Quotas struct {
	// OnTight is called when a team becomes tight for the VMs linked to this one. Optional.
	OnTight func()
	// AlwaysTight makes every request take its tokens from the root.
	AlwaysTight bool

	mu    sync.Mutex
	rules QuotaRules
	teams map[string]*teamQuota
	// root is set if this VM is the root of its subtree. share is the share of the quotas that it
	// may grant.
	root  bool
	share float64
	// announced is set once the root has announced the tight teams.
	announced bool
}

// teamQuota is the state of one team's quota.
type teamQuota struct {
	quota Quota
	// level is the number of tokens in the bucket at the time at. It is negative while the bucket is
	// overdrawn.
	level float64
	at    time.Time
	// tight is set while each request must take its tokens from the root. full is since when the
	// bucket at the root has been above relaxedLevel, zero if it is not.
	tight bool
	full  time.Time
	// overdrawn is set while the bucket of a VM with a root makes the team tight.
	overdrawn bool
	// promisedUntil is the time up to which the tokens are promised to refused callers.
	promisedUntil time.Time
	// unreported is the number of tokens used and not yet reported to the root.
	unreported int
	// handed is the level handed over by linked VMs and not yet passed on to the root.
	handed int
}

// Configure replaces the quotas and their tolerance. The state of teams that remain is kept.
func (q *Quotas) Configure(now time.Time, rules QuotaRules, quotas []Quota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	teams := make(map[string]*teamQuota, len(quotas))
	for _, quota := range quotas {
		t := q.teams[quota.Team]
		if t == nil {
			t = &teamQuota{at: now, tight: q.root || !q.announced}
		} else {
			q.refill(now, t)
		}
		t.quota = quota
		teams[quota.Team] = t
	}
	q.rules, q.teams = rules, teams
	for _, t := range teams {
		q.clamp(t)
	}
}

// SetRole sets whether this VM is the root of its subtree, and the subtree's share of the quotas. A
// share that falls takes full buckets along, because the VMs that have left may use them. A share that
// grows brings nothing; AddLevels adds what the new VMs bring.
func (q *Quotas) SetRole(now time.Time, root bool, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if root == q.root && share == q.share {
		return
	}
	begins, lost := root && !q.root, max(q.share-share, 0)
	for _, t := range q.teams {
		q.refill(now, t)
		t.level -= lost * t.quota.Burst
	}
	if q.root && !root {
		q.announced = false
	}
	q.root, q.share = root, share
	for _, t := range q.teams {
		q.clamp(t)
		if begins {
			t.tight, t.full = t.level < tightLevel*q.capacity(t), time.Time{}
		}
	}
}

// Levels returns the levels of the buckets, which a VM hands to the hub that it links to.
func (q *Quotas) Levels(now time.Time) []Spend {
	return q.list(func(t *teamQuota) int {
		q.refill(now, t)
		t.handed = 0
		return int(t.level)
	})
}

// CurrentLevels returns the levels of the buckets.
func (q *Quotas) CurrentLevels(now time.Time) []Spend {
	return q.list(func(t *teamQuota) int {
		q.refill(now, t)
		return int(t.level)
	})
}

// Configured reports whether there are quotas.
func (q *Quotas) Configured() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.teams) > 0
}

// TakeHanded returns the levels that linked VMs have handed over since the last call, which are to be
// passed on to the hub.
func (q *Quotas) TakeHanded() []Spend {
	return q.list(func(t *teamQuota) int {
		handed := t.handed
		t.handed = 0
		return handed
	})
}

// list returns a number of tokens of each team, without the teams for which it is 0, sorted by team.
func (q *Quotas) list(tokens func(*teamQuota) int) []Spend {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Spend
	for team, t := range q.teams {
		if n := tokens(t); n != 0 {
			list = append(list, Spend{Team: team, Tokens: n})
		}
	}
	slices.SortFunc(list, func(a, b Spend) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// AddLevels adds the levels that a VM hands over. The share must include that VM already.
func (q *Quotas) AddLevels(now time.Time, levels []Spend) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range levels {
		if t := q.teams[l.Team]; t != nil {
			q.refill(now, t)
			t.level += float64(l.Tokens)
			q.clamp(t)
			if !q.root {
				t.handed += l.Tokens
			}
		}
	}
}

// Limited reports whether a team has a quota.
func (q *Quotas) Limited(team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.teams[team] != nil
}

// refill adds the tokens earned since the last call. q.mu must be held.
func (q *Quotas) refill(now time.Time, t *teamQuota) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		t.level = min(t.level+elapsed.Seconds()*q.share*t.quota.PerSecond, q.capacity(t))
		t.at = now
	}
}

// clamp keeps the level of a bucket within its bounds. q.mu must be held.
func (q *Quotas) clamp(t *teamQuota) {
	t.level = min(max(t.level, -maxDebt*q.capacity(t)), q.capacity(t))
}

// capacity returns the number of tokens that a team's bucket holds at most. q.mu must be held.
func (q *Quotas) capacity(t *teamQuota) float64 { return q.share * max(t.quota.Burst, 1) }
