package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Load pattern: requests that are all different share a part of their prompts, and each server that begins to write an
// answer on it ends. They come at any VM, among many sound requests that share their other parts. A fingerprint is
// never seen twice, so the evidence is kept at what the requests share.

const (
	// partCrashLimit is the number of ended servers at which a part is blocked if no other explains them, and
	// partSettleTime how long after that. Meanwhile the crashes and survivors that other VMs have seen arrive,
	// and a part that was merely present falls behind the one that is always there.
	partCrashLimit = 4
	partSettleTime = time.Second
	// firstPartCrashLimit is the limit for a part with which prompts only begin, and provenPartCrashLimit that for
	// one that provenSurvivals requests have survived: to block it by mistake refuses all requests of an
	// application, and none of these is left to clear it.
	firstPartCrashLimit  = 6
	provenPartCrashLimit = 8
	provenSurvivals      = 5
	// survivalMemory is how long a part that a sound request has survived is not suspected.
	survivalMemory = 10 * time.Second
	// partMemory is how long ended servers, and parts that were blocked once, are kept as evidence.
	partMemory = 10 * time.Minute
	// toldInterval is how recent the word of the controller, which knows what all VMs have seen, must be for this
	// VM not to judge by itself.
	toldInterval = 2 * time.Second
	// clearedNotice is how long the controller tells that a part is not blocked any more.
	clearedNotice = time.Minute

	// maxPartCrashes bounds the ended servers that are kept, maxCrashParts the parts of each, maxSurvivors the
	// parts that sound requests have survived, maxSuspectedParts those of which survivors are reported, and
	// maxBlockedParts the blocked ones.
	maxPartCrashes    = 256
	maxCrashParts     = 128
	maxSurvivors      = 8192
	maxSuspectedParts = 8192
	maxBlockedParts   = 64
	// judgeInterval is the minimum time between two judgements of the evidence, which go through all of it.
	judgeInterval = 250 * time.Millisecond
	// maxReportParts bounds the parts in one report to another VM.
	maxReportParts = 512
)

// Part is the ID of a part of a prompt that requests may share.
type Part string

// PartCrash is the end of a server process while requests with the parts were in progress on it.
type PartCrash struct {
	Server string
	// Parts are the suspected parts, and Depths their places in their prompts: 0 for a part with which prompts
	// begin.
	Parts  []Part
	Depths []int
}

// PartReport holds the changes at a VM since its previous report.
type PartReport struct {
	Crashes []PartCrash
	// Survived are suspected parts that a sound request has survived.
	Survived []Part
	// Alone are parts that were blocked with others, and under which a server has ended without all of these.
	Alone []Part
}

// Empty reports whether there is nothing to report.
func (r PartReport) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Survived) == 0 && len(r.Alone) == 0
}

// PartSuspect is a part that is blocked or under which at least two servers have ended.
type PartSuspect struct {
	Part Part
	// Crashes is the number of ended servers that no blocked part explains, 0 for a part that is cleared.
	Crashes int
	// BlockedFor is the remaining block time, 0 if the part is not blocked.
	BlockedFor time.Duration
	// Tied are the parts that it is blocked with, itself among them, nil if it is blocked alone.
	Tied []Part
}

// PartTracker finds parts of prompts under which servers end, and blocks them. Each VM has one. The controller's merges the
// reports of the others, and its suspects are distributed to all of them. The zero value is ready to use, and a nil
// *PartTracker blocks nothing. It is safe for concurrent use.
type PartTracker struct {
	// BlockDuration is how long a part stays blocked; 0 selects the default.
	BlockDuration time.Duration
	// OnCrash is called with the number of suspected parts for each ended server that this VM detects, and
	// OnBlock for each part that becomes blocked or, with a BlockedFor of 0, is cleared. Both may be nil and are
	// called with the lock held.
	OnCrash func(server string, parts int)
	OnBlock func(PartSuspect)

	mu sync.Mutex
	// confirmations finds the parts of requests that were in progress on servers that ended.
	confirmations confirmations[[]Part]
	// crashes holds the ended servers, by the ID of the instance.
	crashes map[string]*partCrash
	// survived holds the parts that sound requests have survived.
	survived map[Part]survival
	// suspected are the parts that others want to know survivors of, and until when.
	suspected map[Part]time.Time
	blocked   map[Part]time.Time
	// ties holds the parts that each blocked part is blocked with, itself among them, if it is not blocked alone.
	ties map[Part][]Part
	// alone holds the blocked parts under which a server has ended without those that they were blocked with, and
	// whether they are still to be reported.
	alone map[Part]bool
	// convicted is until when a part that was blocked once is blocked again by a single crash.
	convicted map[Part]time.Time
	// cleared is until when the controller tells that a part is not blocked any more.
	cleared map[Part]time.Time
	// unreported are the parts that were survived and are not reported yet.
	unreported map[Part]bool
	toldAt     time.Time
	// suspects are the parts with at least two ended servers as last judged, or as the controller has told.
	suspects []PartSuspect
	// changedAt is when evidence last came, judgedAt when it was last judged.
	changedAt, judgedAt, lastSweep time.Time
}

// survival is how many sound requests have survived a part, and when the last one did.
type survival struct {
	last  time.Time
	count int
}

// partCrash is an ended server. Its parts have their greatest places in prompts. explained is set once one of them was
// blocked: the crash is no evidence against another one, also after the block.
type partCrash struct {
	at                  time.Time
	parts               map[Part]int
	reported, explained bool
}

// ConnectionLost records that the connection to a server was lost while a request was in progress that the server may
// have begun to answer. parts are those of its prompt without the last one.
func (t *PartTracker) ConnectionLost(now time.Time, parts []Part, server string) {
	if t == nil || len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.confirmations.connectionLost(now, parts, server) {
		t.addCrash(now, server, parts)
	}
}

// ProcessEnded records that the process of the server instance with the given ID has ended.
func (t *PartTracker) ProcessEnded(now time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, parts := range t.confirmations.processEnded(now, server) {
		t.addCrash(now, server, parts)
	}
}

// addCrash records an ended server with the parts of a request that was in progress on it. t.mu is held.
func (t *PartTracker) addCrash(now time.Time, server string, parts []Part) {
	t.blockAlone(parts)
	c, known := t.crash(now, server)
	for depth, p := range parts {
		t.addPart(now, c, p, depth)
	}
	if !known && t.OnCrash != nil {
		t.OnCrash(server, len(c.parts))
	}
}

// crash returns the record of an ended server, which it creates if needed. t.mu is held.
func (t *PartTracker) crash(now time.Time, server string) (c *partCrash, known bool) {
	if c := t.crashes[server]; c != nil {
		return c, true
	}
	if t.crashes == nil {
		t.crashes = make(map[string]*partCrash)
	}
	if len(t.crashes) >= maxPartCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b string) int {
			return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a, b))
		})
		delete(t.crashes, oldest)
	}
	c = &partCrash{at: now, parts: make(map[Part]int)}
	t.crashes[server] = c
	return c, false
}

// addPart adds a part to an ended server, unless a sound request has survived it of late. t.mu is held.
func (t *PartTracker) addPart(now time.Time, c *partCrash, p Part, depth int) {
	known, present := c.parts[p]
	if present && known >= depth || !present && (t.isCleared(now, p) || len(c.parts) >= maxCrashParts) {
		return
	}
	c.parts[p], c.reported, t.changedAt = depth, false, now
	t.suspect(now, p)
}

// suspect makes survivors of a part worth reporting. t.mu is held.
func (t *PartTracker) suspect(now time.Time, p Part) {
	if t.suspected == nil {
		t.suspected = make(map[Part]time.Time)
	}
	if _, known := t.suspected[p]; known || len(t.suspected) < maxSuspectedParts {
		t.suspected[p] = now.Add(partMemory)
	}
}

// isCleared reports whether a sound request has survived a part of late. t.mu is held.
func (t *PartTracker) isCleared(now time.Time, p Part) bool {
	s, ok := t.survived[p]
	return ok && now.Sub(s.last) < survivalMemory
}

// limit returns the number of ended servers at which a part is blocked. t.mu is held.
func (t *PartTracker) limit(now time.Time, p Part, e *partEvidence) int {
	switch {
	case now.Before(t.convicted[p]):
		return 1
	case t.survived[p].count >= provenSurvivals:
		return provenPartCrashLimit
	case e.depth == 0:
		return firstPartCrashLimit
	}
	return partCrashLimit
}

// Survived records that a server has answered a request with the parts without ending. parts may include the first
// one, but not the last.
func (t *PartTracker) Survived(now time.Time, parts []Part) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, p := range parts {
		t.survive(now, p)
	}
}

func (t *PartTracker) survive(now time.Time, p Part) {
	if t.survived == nil {
		t.survived = make(map[Part]survival)
	}
	if s, known := t.survived[p]; known || len(t.survived) < maxSurvivors {
		t.survived[p] = survival{last: now, count: s.count + 1}
	}
	if _, suspected := t.suspected[p]; !suspected {
		return
	}
	for _, c := range t.crashes {
		if _, suspected := c.parts[p]; suspected {
			delete(c.parts, p)
			c.explained, t.changedAt = false, now
		}
	}
	if t.unreported == nil {
		t.unreported = make(map[Part]bool)
	}
	t.unreported[p] = true
	t.clear(now, p)
}

// clear ends the block of a part. t.mu is held.
func (t *PartTracker) clear(now time.Time, p Part) {
	delete(t.convicted, p)
	t.untie(p)
	if !now.Before(t.blocked[p]) {
		return
	}
	delete(t.blocked, p)
	if t.cleared == nil {
		t.cleared = make(map[Part]time.Time)
	}
	t.cleared[p] = now.Add(clearedNotice)
	if t.OnBlock != nil {
		t.OnBlock(PartSuspect{Part: p})
	}
}

// BlockedFor returns the blocked part with the longest remaining block time among parts, or 0 if none is blocked.
func (t *PartTracker) BlockedFor(now time.Time, parts []Part) (blocked Part, remaining time.Duration) {
	if t == nil {
		return "", 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	for _, p := range parts {
		if left := t.blocked[p].Sub(now); left > remaining && !t.excused(p, parts) {
			blocked, remaining = p, left
		}
	}
	return blocked, remaining
}

// block blocks a part, or extends its block. t.mu is held.
func (t *PartTracker) block(now time.Time, p Part, until time.Time, servers int) {
	if t.blocked == nil {
		t.blocked, t.convicted = make(map[Part]time.Time), make(map[Part]time.Time)
	}
	newlyBlocked := !now.Before(t.blocked[p])
	t.blocked[p], t.convicted[p] = until, until.Add(partMemory)
	delete(t.cleared, p)
	t.suspect(now, p)
	for _, c := range t.crashes {
		if _, present := c.parts[p]; present {
			c.explained = true
		}
	}
	if newlyBlocked && t.OnBlock != nil {
		t.OnBlock(PartSuspect{Part: p, Crashes: servers, BlockedFor: until.Sub(now)})
	}
}

func (t *PartTracker) blockDuration() time.Duration {
	return cmp.Or(t.BlockDuration, defaultBlockDuration)
}
