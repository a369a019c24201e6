package poison

import (
	"slices"
	"time"
)

// judge blocks the parts that explain most ended servers, until none is left that explains enough. A VM that hears the
// controller leaves that to it. t.mu is held.
func (t *PartTracker) judge(now time.Time) {
	if len(t.crashes) == 0 || !t.toldAt.IsZero() && now.Sub(t.toldAt) < toldInterval {
		return
	}
	settled := now.Sub(t.changedAt) >= partSettleTime
	if t.judgedAt.Sub(t.changedAt) >= partSettleTime || !settled && now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	t.judgedAt = now
	defer t.listSuspects(now)
	for len(t.blocked) < maxBlockedParts {
		culprits, servers := t.culprits(now)
		if len(culprits) == 0 {
			return
		}
		t.tie(culprits)
		for _, p := range culprits {
			t.block(now, p, now.Add(t.blockDuration()), servers)
		}
	}
}

// listSuspects lists the parts with at least two ended servers that no blocked part explains. t.mu is held.
func (t *PartTracker) listSuspects(now time.Time) {
	t.suspects = nil
	for p, e := range t.unexplained(now) {
		if len(e.crashes) > 1 {
			t.suspects = append(t.suspects, PartSuspect{Part: p, Crashes: len(e.crashes)})
		}
	}
	slices.SortFunc(t.suspects, comparePartSuspects)
	t.suspects = t.suspects[:min(len(t.suspects), maxBlockedParts)]
}

// culprits returns the parts that explain the most ended servers, if these are enough to block them. Of parts that
// explain the same ones, the last in the prompts is blocked: while servers end all the time, no sound request may survive
// the parts before it, which more requests share.
func (t *PartTracker) culprits(now time.Time) (parts []Part, servers int) {
	evidence := t.unexplained(now)
	for p, e := range evidence {
		limit := t.limit(now, p, e)
		if len(e.crashes) < limit || len(e.crashes) < servers {
			continue
		}
		slices.SortFunc(e.crashes, time.Time.Compare)
		if now.Sub(e.crashes[limit-1]) < partSettleTime {
			continue
		}
		if len(e.crashes) > servers {
			parts, servers = nil, len(e.crashes)
		}
		parts = append(parts, p)
	}
	deepest := 0
	for _, p := range parts {
		deepest = max(deepest, evidence[p].depth)
	}
	parts = slices.DeleteFunc(parts, func(p Part) bool { return evidence[p].depth < deepest })
	slices.Sort(parts)
	return parts, servers
}

// partEvidence is when servers ended under a part, and its greatest place in a prompt.
type partEvidence struct {
	crashes []time.Time
	depth   int
}

// unexplained returns the evidence against each part by the ended servers that no blocked part explains.
// t.mu is held.
func (t *PartTracker) unexplained(now time.Time) map[Part]*partEvidence {
	evidence := make(map[Part]*partEvidence)
	for _, c := range t.crashes {
		if c.explained = c.explained || t.hasBlocked(now, c); c.explained {
			continue
		}
		for p, depth := range c.parts {
			if t.isCleared(now, p) {
				continue
			}
			e := evidence[p]
			if e == nil {
				e = &partEvidence{}
				evidence[p] = e
			}
			e.crashes = append(e.crashes, c.at)
			e.depth = max(e.depth, depth)
		}
	}
	return evidence
}

// hasBlocked reports whether a blocked part was in progress on an ended server. t.mu is held.
func (t *PartTracker) hasBlocked(now time.Time, c *partCrash) bool {
	for p := range c.parts {
		if now.Before(t.blocked[p]) {
			return true
		}
	}
	return false
}
