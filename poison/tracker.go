package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// defaultCrashLimit is the number of server processes that must have ended during a request
	// before it is blocked. Lower limits would also block requests that merely ran on a server
	// that crashed for another reason.
	defaultCrashLimit = 3
	// defaultBlockDuration is how long a blocked request is not sent to servers.
	defaultBlockDuration = time.Hour
	// maxRecords bounds the tracked requests, as the loss of a failure domain can interrupt
	// thousands at once.
	maxRecords = 4096
	// maxReportCrashes bounds the crashes in one report to another VM.
	maxReportCrashes = 256
	// sweepInterval is the minimum time between two removals of expired state.
	sweepInterval = time.Second
)

// Crash is the end of a server process while a request was in progress on it.
type Crash struct {
	Request Fingerprint
	// Server is the ID of the server instance. A restarted server has a new one.
	Server string
}

// Report holds the changes at a VM since its previous report.
type Report struct {
	Crashes []Crash
	// Answered are requests with recorded crashes to which a server has since responded completely.
	Answered []Fingerprint
}

// Empty reports whether there is nothing to report.
func (r Report) Empty() bool { return len(r.Crashes) == 0 && len(r.Answered) == 0 }

// Suspect is a request that is blocked or has at least two crashes, counted across all VMs.
type Suspect struct {
	Request Fingerprint
	// Crashes is the number of server processes that ended during the request.
	Crashes int
	// BlockedFor is the remaining block time, 0 if the request is not blocked.
	BlockedFor time.Duration
}

// Tracker counts server crashes by the request in progress and blocks requests that reach
// CrashLimit. Each VM has one. The controller's tracker merges the reports of the other VMs, and
// its suspects are distributed to all of them. The zero value is ready to use. A Tracker is safe
// for concurrent use.
type Tracker struct {
	// CrashLimit is the number of crashes at which a request is blocked, and BlockDuration how
	// long it stays blocked; 0 selects the default. After a block has expired, a single crash
	// renews it.
	CrashLimit    int
	BlockDuration time.Duration
	// OnCrash is called with the request's crash count for each crash that this VM detects.
	// OnBlock is called for each request that becomes blocked. Both may be nil and are called
	// with the Tracker's lock held.
	OnCrash func(c Crash, crashes int)
	OnBlock func(Suspect)

	mu      sync.Mutex
	records map[Fingerprint]*record
	// confirmations finds the requests that were in progress on servers that ended.
	confirmations confirmations[Fingerprint]
	// answered are the requests with a complete response, for the next report.
	answered  []Fingerprint
	lastSweep time.Time
}

// record holds the crashes of a request.
type record struct {
	// servers are the IDs of the server instances that ended, with true for those already reported.
	servers map[string]bool
	// carriedOver is the crash count retained from an expired block.
	carriedOver int
	// controllerCrashes is the highest crash count received from the controller.
	controllerCrashes int
	// updated is when a crash was last recorded or the controller's count received, or when
	// the last block expired.
	updated time.Time
	// blockedUntil is when the block expires, zero if there is none.
	blockedUntil time.Time
}

func (r *record) crashes() int { return max(r.carriedOver+len(r.servers), r.controllerCrashes) }

func (r *record) blocked(now time.Time) bool { return now.Before(r.blockedUntil) }

// ConnectionLost records that the connection to a server was lost while a request was in
// progress. It counts as a crash if ProcessEnded is called for the server within confirmWindow,
// before or after.
func (t *Tracker) ConnectionLost(now time.Time, request Fingerprint, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.confirmations.connectionLost(now, request, server) {
		t.addLocalCrash(now, Crash{Request: request, Server: server})
	}
}

// ProcessEnded records that the process of the server instance with the given ID has ended.
func (t *Tracker) ProcessEnded(now time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, request := range t.confirmations.processEnded(now, server) {
		t.addLocalCrash(now, Crash{Request: request, Server: server})
	}
}

// Answered records that a server responded to a request completely without crashing.
func (t *Tracker) Answered(now time.Time, request Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(now, request)
}

// clear removes the record of a request with a complete response. Blocked requests keep theirs,
// because the response is that of an attempt sent before the block. t.mu is held.
func (t *Tracker) clear(now time.Time, request Fingerprint) {
	r := t.records[request]
	if r == nil || r.blocked(now) {
		return
	}
	delete(t.records, request)
	t.answered = append(t.answered, request)
}

// BlockedFor returns the remaining block time of a request, 0 if it is not blocked.
func (t *Tracker) BlockedFor(now time.Time, request Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	r := t.records[request]
	if r == nil {
		return 0
	}
	return max(r.blockedUntil.Sub(now), 0)
}

// AddReport merges another VM's report.
func (t *Tracker) AddReport(now time.Time, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, c := range report.Crashes {
		t.addCrash(now, c)
	}
	for _, request := range report.Answered {
		t.clear(now, request)
	}
}

// TakeReport returns what has not been reported yet, at most maxReportCrashes crashes, and marks
// it as reported.
func (t *Tracker) TakeReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{Answered: t.answered}
	t.answered = nil
	for request, r := range t.records {
		for server, reported := range r.servers {
			if reported || len(report.Crashes) >= maxReportCrashes {
				continue
			}
			r.servers[server] = true
			report.Crashes = append(report.Crashes, Crash{Request: request, Server: server})
		}
	}
	return report
}

// MarkUnreported makes all crashes due for reporting again, as a new controller may not have
// received earlier reports.
func (t *Tracker) MarkUnreported() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		for server := range r.servers {
			r.servers[server] = false
		}
	}
}

// Suspects returns the requests that are blocked or have at least two crashes, in descending
// order of remaining block time.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	var list []Suspect
	for request, r := range t.records {
		if r.crashes() > 1 || r.blocked(now) {
			list = append(list, Suspect{Request: request, Crashes: r.crashes(), BlockedFor: max(r.blockedUntil.Sub(now), 0)})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.BlockedFor, a.BlockedFor), cmp.Compare(a.Request, b.Request))
	})
	return list
}

// MergeSuspects merges the controller's suspects. It never shortens or ends a block, because this
// VM may have recorded crashes that have not reached the controller yet.
func (t *Tracker) MergeSuspects(now time.Time, suspects []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		r := t.record(now, s.Request)
		r.controllerCrashes, r.updated = max(r.controllerCrashes, s.Crashes), now
		if until := now.Add(s.BlockedFor); s.BlockedFor > 0 && until.After(r.blockedUntil) {
			t.block(s.Request, r, now, until)
		}
	}
}

func (t *Tracker) crashLimit() int { return cmp.Or(t.CrashLimit, defaultCrashLimit) }

func (t *Tracker) blockDuration() time.Duration {
	return cmp.Or(t.BlockDuration, defaultBlockDuration)
}

// addLocalCrash records a crash that this VM detected and calls OnCrash. t.mu is held.
func (t *Tracker) addLocalCrash(now time.Time, c Crash) {
	if t.addCrash(now, c) && t.OnCrash != nil {
		t.OnCrash(c, t.records[c.Request].crashes())
	}
}

// addCrash records a crash, at most one per request and instance, and blocks the request at
// the crash limit. It reports whether the crash was new. t.mu is held.
func (t *Tracker) addCrash(now time.Time, c Crash) bool {
	r := t.record(now, c.Request)
	if _, known := r.servers[c.Server]; known {
		return false
	}
	if r.servers == nil {
		r.servers = make(map[string]bool)
	}
	r.servers[c.Server] = false
	r.updated = now
	if r.crashes() >= t.crashLimit() && !r.blocked(now) {
		t.block(c.Request, r, now, now.Add(t.blockDuration()))
	}
	return true
}

// block blocks a request, or extends its block, and calls OnBlock if it was not blocked. t.mu is
// held.
func (t *Tracker) block(request Fingerprint, r *record, now, until time.Time) {
	newlyBlocked := !r.blocked(now)
	r.blockedUntil = until
	if newlyBlocked && t.OnBlock != nil {
		t.OnBlock(Suspect{Request: request, Crashes: r.crashes(), BlockedFor: until.Sub(now)})
	}
}

// record returns the record of a request, which it creates if needed. t.mu is held.
func (t *Tracker) record(now time.Time, request Fingerprint) *record {
	r := t.records[request]
	if r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[Fingerprint]*record)
	}
	if len(t.records) >= maxRecords {
		t.evict()
	}
	r = &record{updated: now}
	t.records[request] = r
	return r
}

// evict removes half of the records: first those not blocked or with the earliest end of their
// block, then those with the fewest crashes, then the least recently updated. t.mu is held.
func (t *Tracker) evict() {
	list := make([]Fingerprint, 0, len(t.records))
	for request := range t.records {
		list = append(list, request)
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(x.blockedUntil.Compare(y.blockedUntil), cmp.Compare(x.crashes(), y.crashes()), x.updated.Compare(y.updated))
	})
	for _, request := range list[:len(list)/2] {
		delete(t.records, request)
	}
}

// sweep ends expired blocks and removes expired state, at most once per sweepInterval. t.mu is
// held.
func (t *Tracker) sweep(now time.Time) {
	if since := now.Sub(t.lastSweep); since >= 0 && since < sweepInterval {
		return
	}
	t.lastSweep = now
	for request, r := range t.records {
		switch {
		case r.blocked(now):
		case !r.blockedUntil.IsZero():
			*r = record{carriedOver: t.crashLimit() - 1, updated: now}
		case now.Sub(r.updated) >= t.blockDuration():
			delete(t.records, request)
		}
	}
	t.confirmations.sweep(now)
}
