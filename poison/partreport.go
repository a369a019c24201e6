package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AddReport merges another VM's report.
func (t *PartTracker) AddReport(now time.Time, report PartReport) {
	if t == nil || report.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, r := range report.Crashes {
		c, _ := t.crash(now, r.Server)
		for i, p := range r.Parts[:min(len(r.Parts), len(r.Depths))] {
			t.addPart(now, c, p, r.Depths[i])
		}
	}
	for _, p := range report.Alone {
		t.endTie(p)
	}
	for _, p := range report.Survived {
		t.suspect(now, p)
		t.survive(now, p)
	}
}

// TakeReport returns what has not been reported yet, at most maxReportParts parts, and marks it as reported.
func (t *PartTracker) TakeReport() PartReport {
	if t == nil {
		return PartReport{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var report PartReport
	room := maxReportParts
	for _, p := range slices.Sorted(maps.Keys(t.unreported)) {
		if room--; room < 0 {
			break
		}
		report.Survived = append(report.Survived, p)
		delete(t.unreported, p)
	}
	report.Alone = t.takeAlone(max(room, 0))
	room -= len(report.Alone)
	for _, server := range slices.Sorted(maps.Keys(t.crashes)) {
		c := t.crashes[server]
		if c.reported || len(c.parts) > room {
			continue
		}
		room -= len(c.parts)
		c.reported = true
		if len(c.parts) > 0 {
			report.Crashes = append(report.Crashes, c.report(server))
		}
	}
	return report
}

func (c *partCrash) report(server string) PartCrash {
	r := PartCrash{Server: server}
	for _, p := range slices.Sorted(maps.Keys(c.parts)) {
		r.Parts, r.Depths = append(r.Parts, p), append(r.Depths, c.parts[p])
	}
	return r
}

// MarkUnreported makes all ended servers and parts that are blocked by themselves due for reporting again, as a new controller may not have received earlier
// reports.
func (t *PartTracker) MarkUnreported() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.crashes {
		c.reported = false
	}
	for p := range t.alone {
		t.alone[p] = true
	}
}

// Suspects returns the parts that are blocked, were cleared just now or have at least two ended servers: blocked ones
// first, then by ended servers.
func (t *PartTracker) Suspects(now time.Time) []PartSuspect {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	t.judge(now)
	var list []PartSuspect
	for p, until := range t.blocked {
		if left := until.Sub(now); left > 0 {
			list = append(list, PartSuspect{Part: p, Crashes: partCrashLimit, BlockedFor: left, Tied: t.toldTies(p)})
		}
	}
	for p := range t.cleared {
		list = append(list, PartSuspect{Part: p})
	}
	for _, s := range t.suspects {
		if !now.Before(t.blocked[s.Part]) && !now.Before(t.cleared[s.Part]) && !t.isCleared(now, s.Part) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, comparePartSuspects)
	return list
}

// comparePartSuspects orders suspects: blocked, cleared, then the others by ended servers.
func comparePartSuspects(a, b PartSuspect) int {
	return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
}

// rank orders suspects: blocked, cleared, then suspected only.
func (s PartSuspect) rank() int {
	switch {
	case s.BlockedFor > 0:
		return 2
	case s.Crashes == 0:
		return 1
	}
	return 0
}

// MergeSuspects merges the controller's suspects, or those of the lease record if told is false.
func (t *PartTracker) MergeSuspects(now time.Time, suspects []PartSuspect, told bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if told {
		t.toldAt, t.suspects = now, nil
	}
	for _, s := range suspects {
		switch {
		case s.BlockedFor > 0:
			t.mergeBlock(now, s, told)
		case s.Crashes == 0:
			t.clear(now, s.Part)
		}
		if told && s.BlockedFor == 0 && s.Crashes > 0 {
			// A relay passes them on, so that the VMs behind it report survivors.
			t.suspects = append(t.suspects, s)
		}
		t.suspect(now, s.Part)
		if t.isCleared(now, s.Part) && s.Crashes > 0 {
			t.survive(now, s.Part)
		}
	}
}

// mergeBlock blocks a part as another VM or the lease record has it. The record may be older than what this VM knows, so
// that only blocks which are new here take its ties. t.mu is held.
func (t *PartTracker) mergeBlock(now time.Time, s PartSuspect, told bool) {
	known := now.Before(t.blocked[s.Part])
	if until := now.Add(s.BlockedFor); until.After(t.blocked[s.Part]) && (known || len(t.blocked) < maxBlockedParts) {
		t.block(now, s.Part, until, s.Crashes)
	}
	if told || !known {
		t.mergeTies(s)
	}
}

// sweep removes expired state, at most once per sweepInterval. t.mu is held.
func (t *PartTracker) sweep(now time.Time) {
	if since := now.Sub(t.lastSweep); since >= 0 && since < sweepInterval {
		return
	}
	t.lastSweep = now
	expired := func(_ Part, until time.Time) bool { return !now.Before(until) }
	for _, m := range []map[Part]time.Time{t.blocked, t.convicted, t.cleared, t.suspected} {
		maps.DeleteFunc(m, expired)
	}
	maps.DeleteFunc(t.survived, func(_ Part, s survival) bool {
		age := now.Sub(s.last)
		return age >= partMemory || age >= survivalMemory && s.count < provenSurvivals
	})
	maps.DeleteFunc(t.crashes, func(_ string, c *partCrash) bool { return now.Sub(c.at) >= partMemory })
	t.sweepTies(now)
	t.confirmations.sweep(now)
}
