package poison

import (
	"slices"
	"time"
)

// Parts that were in progress on the same ended servers have the same evidence against them, for instance a guilty part
// that stands now before, now after an innocent one. They are blocked together: only requests with all of them are
// refused. One with some of them goes on. If it survives, its parts are cleared, and if its server ends, they are blocked by
// themselves. The VM that judges the evidence keeps ties; others block each of the parts until it tells that one is cleared.

// tie blocks parts together. t.mu is held.
func (t *PartTracker) tie(parts []Part) {
	for _, p := range parts {
		members := slices.DeleteFunc(slices.Clone(parts), func(q Part) bool { return !t.sameCrashes(p, q) })
		if len(members) < 2 {
			delete(t.ties, p)
			continue
		}
		if t.ties == nil {
			t.ties = make(map[Part][]Part)
		}
		t.ties[p] = members
	}
}

// sameCrashes reports whether each ended server without an explanation had both parts or neither. t.mu is held.
func (t *PartTracker) sameCrashes(p, q Part) bool {
	for _, c := range t.crashes {
		_, hasP := c.parts[p]
		_, hasQ := c.parts[q]
		if !c.explained && hasP != hasQ {
			return false
		}
	}
	return true
}

// excused reports whether a request with parts goes on although one of them is blocked, as it lacks others that the part
// is blocked with. t.mu is held.
func (t *PartTracker) excused(blocked Part, parts []Part) bool {
	return slices.ContainsFunc(t.ties[blocked], func(member Part) bool { return !slices.Contains(parts, member) })
}

// blockAlone blocks the parts of a request whose server has ended by themselves, if the request lacked others that they are
// blocked with. t.mu is held.
func (t *PartTracker) blockAlone(parts []Part) {
	for _, p := range parts {
		if t.excused(p, parts) {
			delete(t.ties, p)
		}
	}
}

// untie takes a cleared part out of what it was blocked with. t.mu is held.
func (t *PartTracker) untie(cleared Part) {
	for _, member := range t.ties[cleared] {
		rest := slices.DeleteFunc(slices.Clone(t.ties[member]), func(p Part) bool { return p == cleared })
		if t.ties[member] = rest; len(rest) < 2 {
			delete(t.ties, member)
		}
	}
	delete(t.ties, cleared)
}

// sweepTies forgets the ties of parts that are not blocked any more. t.mu is held.
func (t *PartTracker) sweepTies(now time.Time) {
	for p := range t.ties {
		if !now.Before(t.blocked[p]) {
			delete(t.ties, p)
		}
	}
}
