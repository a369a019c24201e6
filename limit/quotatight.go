package limit

import (
	"slices"
	"time"
)

const (
	// tightLevel is the share of its capacity below which a team's bucket is tight, and relaxedLevel
	// the share that it must keep for relaxAfter to be no longer tight.
	tightLevel   = 0.5
	relaxedLevel = 0.9
	relaxAfter   = 2 * time.Second
	// overdrawnLevel is the level, as a multiple of its capacity, below which the bucket of a VM with a
	// root makes the team tight in its subtree until it is no longer below zero. The root may not
	// get the reports: a lost link is noticed after a second, in which a team could use several
	// times its quota.
	overdrawnLevel = -1
)

// Tight reports whether a request of a team must take its tokens from the root before it is sent.
func (q *Quotas) Tight(now time.Time, team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.teams[team]
	if t == nil {
		return false
	}
	q.refill(now, t)
	q.updateTight(now, t)
	return q.AlwaysTight || q.root || q.tightBelow(t)
}

// tightBelow reports whether a team is tight for the VMs linked to this one. q.mu must be held.
func (q *Quotas) tightBelow(t *teamQuota) bool {
	return t.tight || !q.root && (!q.announced || t.overdrawn)
}

// TightTeams returns the names of the tight teams, as determined at the root or as announced by it,
// sorted.
func (q *Quotas) TightTeams(now time.Time) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []string
	for team, t := range q.teams {
		q.refill(now, t)
		q.updateTight(now, t)
		if q.tightBelow(t) {
			list = append(list, team)
		}
	}
	slices.Sort(list)
	return list
}

// Announce applies the root's list of tight teams and reports whether it changed.
func (q *Quotas) Announce(teams []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.root {
		return false
	}
	changed := !q.announced
	q.announced = true
	for team, t := range q.teams {
		tight := slices.Contains(teams, team)
		changed = changed || tight != t.tight
		t.tight = tight
	}
	return changed
}

func (q *Quotas) notifyTight(becameTight bool) {
	if becameTight && q.OnTight != nil {
		q.OnTight()
	}
}

// updateTight updates whether a team is tight at the root, or overdrawn elsewhere, and reports whether
// it has become so. q.mu must be held.
func (q *Quotas) updateTight(now time.Time, t *teamQuota) (became bool) {
	capacity := q.capacity(t)
	if !q.root {
		was := t.overdrawn
		t.overdrawn = t.level < overdrawnLevel*capacity || was && t.level < 0
		return t.overdrawn && !was
	}
	if t.level < relaxedLevel*capacity {
		t.full = time.Time{}
	} else if t.full.IsZero() {
		t.full = now
	}
	switch {
	case t.level < tightLevel*capacity && !t.tight:
		t.tight = true
		return true
	case t.tight && !t.full.IsZero() && now.Sub(t.full) >= relaxAfter:
		t.tight = false
	}
	return false
}
