package poison

import (
	"maps"
	"slices"
	"time"
)

// Parts that were in progress on the same ended servers have the same evidence against them, for instance a guilty part
// that stands now before, now after an innocent one. They are blocked together: only requests with all of them are
// refused. One with some of them goes on. If it survives, its parts are cleared, and if its server ends, they are blocked by
// themselves. The VM that judges the evidence tells the others what is blocked together.

// maxTied bounds the parts of a tie that other VMs are told. Prompts have fewer, and parts of a longer tie are blocked
// each at other VMs.
const maxTied = 16

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
			t.endTie(p)
		}
	}
}

// endTie blocks a part by itself for the rest of its block, and has that reported. t.mu is held.
func (t *PartTracker) endTie(p Part) {
	delete(t.ties, p)
	if _, known := t.alone[p]; known {
		return
	}
	if t.alone == nil {
		t.alone = make(map[Part]bool)
	}
	t.alone[p] = true
}

// takeAlone returns the parts that are blocked by themselves and have not been reported yet, at most limit of them, and
// marks them as reported. t.mu is held.
func (t *PartTracker) takeAlone(limit int) []Part {
	var parts []Part
	for _, p := range slices.Sorted(maps.Keys(t.alone)) {
		if t.alone[p] && len(parts) < limit {
			parts = append(parts, p)
			t.alone[p] = false
		}
	}
	return parts
}

// toldTies returns the parts that a part is blocked with, as other VMs are told. t.mu is held.
func (t *PartTracker) toldTies(p Part) []Part {
	if tied := t.ties[p]; len(tied) <= maxTied {
		return slices.Clone(tied)
	}
	return nil
}

// mergeTies takes over what another VM tells a part to be blocked with. t.mu is held.
func (t *PartTracker) mergeTies(s PartSuspect) {
	if _, alone := t.alone[s.Part]; alone || len(s.Tied) < 2 || !slices.Contains(s.Tied, s.Part) {
		delete(t.ties, s.Part)
		return
	}
	if t.ties == nil {
		t.ties = make(map[Part][]Part)
	}
	t.ties[s.Part] = slices.Clone(s.Tied)
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
	maps.DeleteFunc(t.alone, func(p Part, _ bool) bool { return !now.Before(t.blocked[p]) })
}
